// Package settings reads the daemon's settings file.
package settings

import (
	"os"
	"time"

	"github.com/samber/oops"

	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/strictjson"
)

// Duration is a time.Duration that is a string such as "3s" in JSON.
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
	// DataCentre is the name of the data centre that this instance runs in.
	DataCentre string `json:"dataCentre"`
	// CallerAddress is the listen address for callers' requests, IP:port.
	CallerAddress string `json:"callerAddress"`
	// PeerAddress is the listen address for requests forwarded by other instances,
	// IP:port.
	PeerAddress string `json:"peerAddress"`
	// ControlAddress is the listen address for control calls (twirp) from other
	// instances, IP:port.
	ControlAddress string `json:"controlAddress"`
	// PlatformAddress is the address of the platform's configuration service,
	// IP:port.
	PlatformAddress string `json:"platformAddress"`
	// HeartbeatEvery is the interval between heartbeats to each peer. A shorter
	// interval detects failures sooner and costs more control traffic. Default:
	// 500ms.
	HeartbeatEvery Duration `json:"heartbeatEvery"`
	// LeaseTerm is the lease duration. It must be the same on all instances. With
	// a shorter one a failed instance is replaced sooner; a longer one tolerates
	// more lost calls and needs fewer calls. Default: 4s.
	LeaseTerm Duration `json:"leaseTerm"`
	// LeaseListLag is the largest delay with which one instance may read a change
	// of the platform's instance list after another has read it. It must be the
	// same on all instances. Default: 2s.
	LeaseListLag Duration `json:"leaseListLag"`
	// LeaseAloneTerm is how long an instance without another voter keeps its
	// leases after it last read the instance list. It must be the same on all
	// instances. Default: 4s.
	LeaseAloneTerm Duration `json:"leaseAloneTerm"`
	// ServeGrace is how long adapters that are already loaded stay in use after a
	// lease has expired. A longer one serves more requests while no voter
	// responds, but the next owner evicts nothing for the same time. Default: 10s.
	ServeGrace Duration `json:"serveGrace"`
	// WatchWait is how long a watch of the instance and endpoint lists may block
	// at the platform. It bounds how long a broken watch can hide a change; a
	// shorter wait costs the platform more calls. Default: 4s.
	WatchWait Duration `json:"watchWait"`
	// TableReaders is how many instances of each data centre watch the platform
	// for tables. More of them tolerate more failures at once and cost the
	// platform more calls. Default: 3.
	TableReaders int `json:"tableReaders"`
	// TableWatchWait is how long a watch for tables may block at the platform. It
	// bounds how long a broken watch can hide a change; a shorter wait costs the
	// platform more calls. Default: 2s.
	TableWatchWait Duration `json:"tableWatchWait"`
	// TableAskEvery is the interval between queries to random peers for newer
	// tables. A shorter interval spreads a table sooner and costs more control
	// traffic. Default: 1s.
	TableAskEvery Duration `json:"tableAskEvery"`
	// TableCatchUp is how long a forwarded request waits for the table revision
	// that it was resolved with before it is rejected. Default: 1s.
	TableCatchUp Duration `json:"tableCatchUp"`
	// ConnectTimeout bounds a connection attempt to a peer or an endpoint.
	// Default: 1s.
	ConnectTimeout Duration `json:"connectTimeout"`
	// ProgressTimeout is how long a peer or an endpoint may send nothing in the
	// middle of a response. Default: 10s.
	ProgressTimeout Duration `json:"progressTimeout"`
	// StoreLoadsPerSecond is the rate that the weight store allows all instances
	// together, in loads per second. It must be the same on all instances.
	// Default: 2.
	StoreLoadsPerSecond float64 `json:"storeLoadsPerSecond"`
	// StoreTransit is the number of loads that all instances together may have in
	// transit at once. It must be the same on all instances. Default: 8.
	StoreTransit int `json:"storeTransit"`
	// QueueLimit is the most requests that may be queued for one worker. Default:
	// 1,000.
	QueueLimit int `json:"queueLimit"`
	// BodyLimit is the largest size of a request body, in bytes. Default: 1 MiB.
	BodyLimit int `json:"bodyLimit"`
	// MemoryLimitMB is the memory that the process may use, in megabytes. A quarter
	// of it is for the bodies of requests. Default: 512.
	MemoryLimitMB int `json:"memoryLimitMB"`
	// MaxCallerConnections is the most connections of callers; 0 for what a quarter
	// of MemoryLimitMB and the file descriptors of the process allow. Default: 0.
	MaxCallerConnections int `json:"maxCallerConnections"`
	// DispatchConcurrency is the most calls to endpoints that run at once.
	// Default: 1,024.
	DispatchConcurrency int `json:"dispatchConcurrency"`
	// ControlConcurrency is the most control calls that run at once. Default: 64.
	ControlConcurrency int `json:"controlConcurrency"`
	// Processors is the number of processors that run the instance at once. More
	// of them handle a burst faster; fewer spend less on waking each other, which
	// takes a third of the processor time when there are many short writes.
	// Default: 2.
	Processors int `json:"processors"`
	// Keys configures what is remembered of idempotency keys.
	Keys Keys `json:"keys"`
	// OperatorAddress is the listen address for metrics and the instance's state,
	// IP:port; empty for none. It must not be reachable by callers. Default:
	// empty.
	OperatorAddress string `json:"operatorAddress"`
	// TraceFile is the file that spans are appended to as JSON lines; empty for
	// none. Default: empty.
	TraceFile string `json:"traceFile"`
	// TraceURL is the collector that receives spans by OTLP over HTTP, such as
	// http://10.0.0.9:4318/v1/traces; empty for none. Default: empty.
	TraceURL string `json:"traceUrl"`
	// TraceShare is the fraction of the traces begun by this instance that are
	// recorded, from 0 to 1. A larger one costs more processor time at each hop.
	// The sampled flag of a caller's traceparent takes precedence. Default: 1.
	TraceShare float64 `json:"traceShare"`
}

// Default returns the default settings; names and addresses are empty.
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
		MemoryLimitMB:       512,
		DispatchConcurrency: 1024,
		ControlConcurrency:  64,
		Processors:          2,
		Keys:                DefaultKeys(),
		TraceShare:          1,
	}
}

// Load reads a settings file; fields that it leaves out keep their defaults. The
// error has the code settings_unreadable if the file can't be read, and is a
// strictjson.Findings if it is not valid.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, oops.Code("settings_unreadable").With("file", path).Wrap(err)
	}
	return Parse(data)
}

// Parse reads settings from JSON; fields that it leaves out keep their defaults.
// Unknown and duplicate fields are errors. The error is a strictjson.Findings with
// all findings in the order of their position.
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
