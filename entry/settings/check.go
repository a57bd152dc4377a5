package settings

import "net/netip"

// finder reports a value that can't be used.
type finder func(path, format string, args ...any)

// check reports every value that can't be used.
func (s Settings) check(find finder) {
	if s.Instance == "" {
		find("instance", "is empty")
	}
	if s.DataCentre == "" {
		find("dataCentre", "is empty")
	}
	if s.TraceShare < 0 || s.TraceShare > 1 {
		find("traceShare", "must be from 0 to 1")
	}
	if s.StoreLoadsPerSecond <= 0 {
		find("storeLoadsPerSecond", "must be above zero")
	}
	s.checkAddresses(find)
	s.checkDurations(find)
	s.checkCounts(find)
}

func (s Settings) checkAddresses(find finder) {
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
			find(a.field, "%q is not an IP address and port", a.value)
		}
	}
}

func (s Settings) checkDurations(find finder) {
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
			find(d.field, "must be above zero")
		}
	}
}

func (s Settings) checkCounts(find finder) {
	counts := []struct {
		field string
		value int
	}{
		{"tableReaders", s.TableReaders},
		{"storeTransit", s.StoreTransit},
		{"queueLimit", s.QueueLimit},
		{"bodyLimit", s.BodyLimit},
		{"dispatchConcurrency", s.DispatchConcurrency},
		{"controlConcurrency", s.ControlConcurrency},
		{"processors", s.Processors},
		{"keys.limit", s.Keys.Limit},
		{"keys.byteLimit", s.Keys.ByteLimit},
	}
	for _, c := range counts {
		if c.value < 1 {
			find(c.field, "must be at least 1")
		}
	}
}
