package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// newRegistry returns a registry for one instance, so that several instances in one
// process have separate metrics.
func newRegistry() *prometheus.Registry { return prometheus.NewRegistry() }

// metrics holds the instruments. They are created once, so that recording needs no
// lookup by name and labels.
type metrics struct {
	requests  map[table.Rank]map[attempt.Outcome]tally.Counter
	latency   map[table.Rank]tally.Histogram
	queued    map[table.Rank]*upDownGauge
	stalls    map[table.Rank]tally.Histogram
	loads     map[bool]tally.Histogram
	evictions tally.Counter
	state     stateGauges
}

// stateGauges are the gauges that are set from a State.
type stateGauges struct {
	revision, rejected, platformCalls, owned, running, capacity, usable, silent,
	bodyBudget, bodyHeld, bodiesRefused, connectionsClosed, callerConnections tally.Gauge
}

// Bucket bounds of the histograms: 5 ms to 82 s for requests, 50 ms to 51 s for
// loads and load stalls.
var (
	requestBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 15)
	stallBuckets   = tally.MustMakeExponentialDurationBuckets(50*time.Millisecond, 2, 11)
)

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		requests:  make(map[table.Rank]map[attempt.Outcome]tally.Counter),
		latency:   make(map[table.Rank]tally.Histogram),
		queued:    make(map[table.Rank]*upDownGauge),
		stalls:    make(map[table.Rank]tally.Histogram),
		loads:     make(map[bool]tally.Histogram),
		evictions: scope.Counter("evictions"),
		state: stateGauges{
			revision:      scope.Gauge("revision"),
			rejected:      scope.Gauge("tables_rejected"),
			platformCalls: scope.Gauge("platform_calls"),
			owned:         scope.Gauge("workers_owned"),
			running:       scope.Gauge("batch_running"),
			capacity:      scope.Gauge("batch_capacity"),
			usable:        scope.Gauge("instances_usable"),
			silent:        scope.Gauge("instances_silent"),

			bodyBudget:        scope.Gauge("body_budget_bytes"),
			bodyHeld:          scope.Gauge("body_held_bytes"),
			bodiesRefused:     scope.Gauge("bodies_refused"),
			connectionsClosed: scope.Gauge("connections_closed"),
			callerConnections: scope.Gauge("caller_connections"),
		},
	}
	for _, rank := range table.Ranks {
		ranked := scope.Tagged(map[string]string{"rank": rank.String()})
		m.requests[rank] = make(map[attempt.Outcome]tally.Counter)
		for _, outcome := range []attempt.Outcome{attempt.Served, attempt.NotRun, attempt.Unknown} {
			m.requests[rank][outcome] = ranked.Tagged(map[string]string{"outcome": string(outcome)}).Counter("requests")
		}
		m.latency[rank] = ranked.Histogram("request_seconds", requestBuckets)
		m.stalls[rank] = ranked.Histogram("load_stall_seconds", stallBuckets)
		m.queued[rank] = newUpDownGauge(ranked.Gauge("queue"))
	}
	for _, loaded := range []bool{true, false} {
		result := map[string]string{"result": resultOf(loaded)}
		m.loads[loaded] = scope.Tagged(result).Histogram("load_seconds", stallBuckets)
	}
	return m
}

func resultOf(loaded bool) string {
	if loaded {
		return "loaded"
	}
	return "failed"
}

// State is a snapshot of the values that are exported as gauges.
type State struct {
	// Revision is the table revision in force.
	Revision uint64
	// RejectedTables counts the tables rejected for findings since the start.
	RejectedTables uint64
	// PlatformCalls counts the calls to the platform since the start.
	PlatformCalls uint64
	// Owned is the number of workers that this instance owns, which means that it
	// sends their orders.
	Owned int
	// Running is the number of requests that run on the workers owned here.
	// Capacity is the sum of the batch sizes of those workers that run any.
	Running  int
	Capacity int
	// Usable and Silent count the instances of the published list: those that take
	// requests, and those whose heartbeats have stopped.
	Usable int
	Silent int
	// BodyBudget is the number of bytes that may be held for bodies, and BodyHeld the
	// number held, for callers and peers together.
	BodyBudget, BodyHeld int64
	// BodiesRefused counts bodies over the limit or without room, and
	// ConnectionsClosed the connections closed for want of memory, since the start.
	BodiesRefused, ConnectionsClosed uint64
	// CallerConnections is the number of connections of callers.
	CallerConnections int
}

// RecordState sets the state gauges.
func (t *Telemetry) RecordState(s State) {
	if t == nil {
		return
	}
	g := t.metrics.state
	g.revision.Update(float64(s.Revision))
	g.rejected.Update(float64(s.RejectedTables))
	g.platformCalls.Update(float64(s.PlatformCalls))
	g.owned.Update(float64(s.Owned))
	g.running.Update(float64(s.Running))
	g.capacity.Update(float64(s.Capacity))
	g.usable.Update(float64(s.Usable))
	g.silent.Update(float64(s.Silent))
	g.bodyBudget.Update(float64(s.BodyBudget))
	g.bodyHeld.Update(float64(s.BodyHeld))
	g.bodiesRefused.Update(float64(s.BodiesRefused))
	g.connectionsClosed.Update(float64(s.ConnectionsClosed))
	g.callerConnections.Update(float64(s.CallerConnections))
}

// recordLoad records the duration and the result of a load order.
func (t *Telemetry) recordLoad(took time.Duration, ok bool) { t.metrics.loads[ok].RecordDuration(took) }

// Evicted counts an adapter that was unloaded to free a slot.
func (t *Telemetry) Evicted() {
	if t != nil {
		t.metrics.evictions.Inc(1)
	}
}
