package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/bulrushwick/bulrushwick/entry/forward"
	"github.com/bulrushwick/bulrushwick/entry/ingress"
	"github.com/bulrushwick/bulrushwick/entry/operator"
	"github.com/bulrushwick/bulrushwick/entry/owner"
	"github.com/bulrushwick/bulrushwick/entry/settings"
	"github.com/bulrushwick/bulrushwick/entry/telemetry"
)

// operatorListener is the index of the operators' listener, if there is one.
const operatorListener = 3

// stateInterval is the interval at which the state gauges are updated.
const stateInterval = time.Second

// Bounds on the log lines that a flood of failing requests may cause: sampleBurst
// in each second, and beyond that one of each sampleEvery.
const (
	sampleBurst = 50
	sampleEvery = 1000
)

// sampled returns a logger for events that callers can cause at any rate.
func sampled(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{
		Burst:       sampleBurst,
		Period:      time.Second,
		NextSampler: &zerolog.BasicSampler{N: sampleEvery},
	})
}

func telemetryConfig(s settings.Settings) telemetry.Config {
	return telemetry.Config{
		Instance:   s.Instance,
		DataCentre: s.DataCentre,
		TraceFile:  s.TraceFile,
		TraceURL:   s.TraceURL,
		TraceShare: s.TraceShare,
	}
}

func newOperator(s *operator.Server) *http.Server {
	return &http.Server{Handler: s, ReadHeaderTimeout: headerReadTimeout}
}

// observeState updates the state gauges until ctx is done.
func (d *Daemon) observeState(ctx context.Context) {
	ticker := time.NewTicker(stateInterval)
	defer ticker.Stop()
	for {
		d.telemetry.RecordState(d.state())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// state returns the current values of the state gauges.
func (d *Daemon) state() telemetry.State {
	view := d.fleet.View()
	s := telemetry.State{
		Revision:       view.Revision,
		RejectedTables: d.follower.Rejected(),
		PlatformCalls:  d.platform.Calls(),
	}
	for _, instance := range view.Instances {
		switch {
		case instance.Silent:
			s.Silent++
		case !instance.Leaving:
			s.Usable++
		}
		if instance.Name == d.fleet.Self() {
			s.Owned = instance.Workers
		}
	}
	d.recordMemory(&s)
	t := d.fleet.Table()
	if t == nil {
		return s
	}
	for _, summary := range d.owner.Summaries() {
		if _, pool, found := t.Endpoint(summary.Worker); found && summary.Running > 0 {
			s.Running += summary.Running
			s.Capacity += pool.Batch
		}
	}
	return s
}

// newTelemetry returns the telemetry and makes own, peers and
// ingressServer report to it.
func newTelemetry(s settings.Settings, own *owner.Owner, peers *forward.Client, ingressServer *ingress.Server) (*telemetry.Telemetry, error) {
	observed, err := telemetry.New(telemetryConfig(s))
	if err != nil {
		return nil, err
	}
	own.Observe(observed)
	peers.Observe(observed)
	ingressServer.Observe(observed)
	return observed, nil
}
