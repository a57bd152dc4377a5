package settings

import "net/netip"

// reportFunc records a finding about the field at a path of the settings.
type reportFunc func(path, format string, args ...any)

// check reports every value that is missing or out of range.
func (s Settings) check(report reportFunc) {
	if s.Instance == "" {
		report("instance", "is empty")
	}
	if s.DataCentre == "" {
		report("dataCentre", "is empty")
	}
	if s.TraceShare < 0 || s.TraceShare > 1 {
		report("traceShare", "must be from 0 to 1")
	}
	if s.StoreLoadsPerSecond <= 0 {
		report("storeLoadsPerSecond", "must be above zero")
	}
	if s.MaxCallerConnections < 0 {
		report("maxCallerConnections", "must not be negative")
	}
	s.checkAddresses(report)
	s.checkDurations(report)
	s.checkCounts(report)
}

func (s Settings) checkAddresses(report reportFunc) {
	addresses := []struct{ field, value string }{
		{"callerAddress", s.CallerAddress},
		{"peerAddress", s.PeerAddress},
		{"controlAddress", s.ControlAddress},
		{"platformAddress", s.PlatformAddress},
	}
	if s.OperatorAddress != "" {
		addresses = append(addresses, struct{ field, value string }{"operatorAddress", s.OperatorAddress})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			report(a.field, "%q is not an IP address and port", a.value)
		}
	}
}

func (s Settings) checkDurations(report reportFunc) {
	durations := []struct {
		field string
		value Duration
	}{
		{"heartbeatEvery", s.HeartbeatEvery},
		{"leaseTerm", s.LeaseTerm},
		{"leaseListLag", s.LeaseListLag},
		{"leaseAloneTerm", s.LeaseAloneTerm},
		{"serveGrace", s.ServeGrace},
		{"watchWait", s.WatchWait},
		{"tableWatchWait", s.TableWatchWait},
		{"tableAskEvery", s.TableAskEvery},
		{"tableCatchUp", s.TableCatchUp},
		{"connectTimeout", s.ConnectTimeout},
		{"progressTimeout", s.ProgressTimeout},
		{"keys.futureLimit", s.Keys.FutureLimit},
		{"keys.clockSkew", s.Keys.ClockSkew},
		{"keys.retention", s.Keys.Retention},
	}
	for _, d := range durations {
		if d.value <= 0 {
			report(d.field, "must be above zero")
		}
	}
}

func (s Settings) checkCounts(report reportFunc) {
	counts := []struct {
		field string
		value int
	}{
		{"tableReaders", s.TableReaders},
		{"storeTransit", s.StoreTransit},
		{"queueLimit", s.QueueLimit},
		{"bodyLimit", s.BodyLimit},
		{"memoryLimitMB", s.MemoryLimitMB},
		{"dispatchConcurrency", s.DispatchConcurrency},
		{"controlConcurrency", s.ControlConcurrency},
		{"processors", s.Processors},
		{"keys.limit", s.Keys.Limit},
		{"keys.byteLimit", s.Keys.ByteLimit},
	}
	for _, c := range counts {
		if c.value < 1 {
			report(c.field, "must be at least 1")
		}
	}
}
