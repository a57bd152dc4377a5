// Package settings reads the daemon's settings file.
package settings

import (
	"os"
	"time"

	"github.com/samber/oops"

	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/strictjson"
)

// Duration is a time.Duration written as "3s" in JSON.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Settings configures one entry instance.
type Settings struct {
	// Instance is this instance's name, unique over all data centres.
	Instance string `json:"instance"`
	// DataCentre names where this instance stands.
	DataCentre string `json:"dataCentre"`
	// CallerAddress receives callers' requests, IP:port.
	CallerAddress string `json:"callerAddress"`
	// PeerAddress receives forwarded requests from other instances, IP:port.
	PeerAddress string `json:"peerAddress"`
	// ControlAddress receives twirp calls from other instances, IP:port.
	ControlAddress string `json:"controlAddress"`
	// PlatformAddress is the platform's configuration service, IP:port.
	PlatformAddress string `json:"platformAddress"`
	// HeartbeatEvery is the interval between heartbeats to each peer. Shorter
	// finds a failure sooner and costs more control traffic. Default: 500ms.
	HeartbeatEvery Duration `json:"heartbeatEvery"`
	// LeaseTerm is how long a lease counts. All instances use the same. Shorter
	// takes over sooner from a lost instance; longer rides out more lost calls
	// and needs fewer of them. Default: 4s.
	LeaseTerm Duration `json:"leaseTerm"`
	// LeaseListLag is how much later than another instance one may read a change
	// of the platform's list. All instances use the same. Default: 2s.
	LeaseListLag Duration `json:"leaseListLag"`
	// LeaseAloneTerm is how long an instance without another voter goes on after
	// its last reading of the list. All instances use the same. Default: 4s.
	LeaseAloneTerm Duration `json:"leaseAloneTerm"`
	// ServeGrace is for how long adapters that are loaded are used after a lease
	// has ended. Longer serves more while no voter answers; the next owner evicts
	// nothing for as long. Default: 10s.
	ServeGrace Duration `json:"serveGrace"`
	// WatchWait is how long a watch for the lists of instances and endpoints may
	// wait at the platform. It bounds how long a watch that has gone silent hides
	// a change; shorter costs the platform more calls. Default: 4s.
	WatchWait Duration `json:"watchWait"`
	// TableReaders is how many instances of each data centre watch the platform
	// for tables. More ride out more failures at once and cost the platform more
	// calls. Default: 3.
	TableReaders int `json:"tableReaders"`
	// TableWatchWait is how long a watch for tables may wait at the platform. It
	// bounds how long a watch that has gone silent hides a change; shorter costs
	// the platform more calls. Default: 2s.
	TableWatchWait Duration `json:"tableWatchWait"`
	// TableAskEvery is the interval between questions to random peers about
	// newer tables. Shorter spreads a table sooner and costs more control
	// traffic. Default: 1s.
	TableAskEvery Duration `json:"tableAskEvery"`
	// TableCatchUp is how long a forwarded request waits for the table that it
	// was resolved by before it is refused. Default: 1s.
	TableCatchUp Duration `json:"tableCatchUp"`
	// ConnectTimeout bounds a connection attempt to a peer or an endpoint.
	// Default: 1s.
	ConnectTimeout Duration `json:"connectTimeout"`
	// ProgressTimeout is how long a peer or an endpoint may send nothing in the
	// middle of an answer. Default: 10s.
	ProgressTimeout Duration `json:"progressTimeout"`
	// StoreLoadsPerSecond is the rate that the weight store allows all instances
	// together, in loads a second. It must be the same on all of them. Default: 2.
	StoreLoadsPerSecond float64 `json:"storeLoadsPerSecond"`
	// StoreTransit is the number of loads that may be in transit at once from all
	// instances together. It must be the same on all of them. Default: 8.
	StoreTransit int `json:"storeTransit"`
	// QueueLimit bounds the requests that wait for one worker. Default: 1,000.
	QueueLimit int `json:"queueLimit"`
	// BodyLimit bounds a caller's request body, in bytes. Default: 1 MiB.
	BodyLimit int `json:"bodyLimit"`
	// DispatchConcurrency bounds the calls to endpoints that run at once.
	// Default: 1,024.
	DispatchConcurrency int `json:"dispatchConcurrency"`
	// ControlConcurrency bounds the control calls that run at once.
	// Default: 64.
	ControlConcurrency int `json:"controlConcurrency"`
	// Processors is how many processors run the instance at once. More take a
	// burst faster; fewer spend less on waking each other, which at many short
	// writes is a third of the processor time. Default: 2.
	Processors int `json:"processors"`
	// Keys configures what is remembered of idempotency keys.
	Keys Keys `json:"keys"`
	// OperatorAddress serves metrics and the instance's state to operators,
	// IP:port; empty for none. Keep it from callers. Default: empty.
	OperatorAddress string `json:"operatorAddress"`
	// TraceFile receives spans as JSON lines; empty for none. Default: empty.
	TraceFile string `json:"traceFile"`
	// TraceURL receives spans by OTLP over HTTP, such as
	// http://10.0.0.9:4318/v1/traces; empty for none. Default: empty.
	TraceURL string `json:"traceUrl"`
	// TraceShare is the part of the traces that begin here and are recorded,
	// from 0 to 1. More costs processor time at each hop. A caller's choice in
	// traceparent comes first. Default: 1.
	TraceShare float64 `json:"traceShare"`
}

// Default returns the settings with every default filled in and no addresses.
func Default() Settings {
	leases := ownership.DefaultConfig(0)
	return Settings{
		HeartbeatEvery:      Duration(500 * time.Millisecond),
		LeaseTerm:           Duration(leases.TTL),
		LeaseListLag:        Duration(leases.ListLag),
		LeaseAloneTerm:      Duration(leases.SoloTTL),
		ServeGrace:          Duration(10 * time.Second),
		WatchWait:           Duration(4 * time.Second),
		TableReaders:        3,
		TableWatchWait:      Duration(2 * time.Second),
		TableAskEvery:       Duration(time.Second),
		TableCatchUp:        Duration(time.Second),
		ConnectTimeout:      Duration(time.Second),
		ProgressTimeout:     Duration(10 * time.Second),
		StoreLoadsPerSecond: 2,
		StoreTransit:        8,
		QueueLimit:          1000,
		BodyLimit:           1 << 20,
		DispatchConcurrency: 1024,
		ControlConcurrency:  64,
		Processors:          2,
		Keys:                DefaultKeys(),
		TraceShare:          1,
	}
}

// Load reads a settings file over the defaults. Where the file is not valid the
// error is strictjson.Findings.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, oops.Code("settings_unreadable").With("file", path).Wrap(err)
	}
	return Parse(data)
}

// Parse reads settings strictly over the defaults. Its error is
// strictjson.Findings, every finding together.
func Parse(data []byte) (Settings, error) {
	s := Default()
	findings, usable := strictjson.Decode(data, &s)
	if usable {
		c := &strictjson.Collector{}
		s.check(c.Addf)
		findings = append(findings, c.Locate(data)...)
	}
	findings.Sort()
	return s, findings.Err()
}
