package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// syncedPlanner returns a planner whose worker has reported the model and the given
// adapters.
func syncedPlanner(capacity int, adapters ...string) *Planner {
	p := NewPlanner(DefaultConfig(capacity), "m", time.Second)
	p.HandleReport(0, WorkerState{HasModel: true, Adapters: adapters})
	return p
}

// requireOrder returns the next order and fails if there is none.
func requireOrder(t *testing.T, p *Planner, now time.Duration) Order {
	t.Helper()
	order, ok := p.Next(now)
	require.True(t, ok, "no order at %v", now)
	return order
}

// requireNoOrder fails if there is an order.
func requireNoOrder(t *testing.T, p *Planner, now time.Duration) {
	t.Helper()
	order, ok := p.Next(now)
	require.False(t, ok, "unexpected order %+v", order)
}

func TestNothingIsOrderedBeforeAReport(t *testing.T) {
	p := NewPlanner(DefaultConfig(2), "m", time.Second)
	p.Want(0, "a", Priority{}, time.Minute)
	requireNoOrder(t, p, time.Second)
}

func TestTheModelIsLoadedFirst(t *testing.T) {
	p := NewPlanner(DefaultConfig(2), "m", time.Second)
	p.HandleReport(0, WorkerState{})
	p.Want(0, "a", Priority{}, time.Minute)
	require.Equal(t, Order{Model: "m", FromStore: true}, requireOrder(t, p, 0))
	p.HandleResult(0, Accepted)
	requireNoOrder(t, p, 10*ms)
	p.HandleReport(900*ms, WorkerState{HasModel: true})
	require.Equal(t, Order{Model: "m", Adapter: "a"}, requireOrder(t, p, 900*ms))
}

func TestALoadIsReadyOnlyWhenTheWorkerConfirmsIt(t *testing.T) {
	p := syncedPlanner(2)
	p.Want(0, "a", Priority{}, time.Minute)
	requireOrder(t, p, 0)
	p.HandleResult(0, Accepted)
	require.False(t, p.Ready("a"))
	requireNoOrder(t, p, 100*ms)
	require.Equal(t, Order{Model: "m", Adapter: "a"}, requireOrder(t, p, 250*ms))
	p.HandleResult(250*ms, Accepted) // still loading
	require.False(t, p.Ready("a"))
	requireOrder(t, p, 280*ms)
	p.HandleResult(280*ms, Done)
	require.True(t, p.Ready("a"))
}

// TestAnAdapterInTransitIsNotEvicted covers engines that respond with done to an
// unload of an adapter in transit but load it nevertheless.
func TestAnAdapterInTransitIsNotEvicted(t *testing.T) {
	p := syncedPlanner(1)
	p.Want(0, "a", Priority{}, 100*ms)
	requireOrder(t, p, 0)
	p.HandleResult(0, Accepted)
	p.Want(200*ms, "b", Priority{}, time.Minute)
	for at := 200 * ms; at < 2*time.Second; at += 10 * ms {
		order, ok := p.Next(at)
		if !ok {
			continue
		}
		require.Equal(t, Order{Model: "m", Adapter: "a"}, order, "only the load may be checked")
		p.HandleResult(at, Accepted)
	}
}

// TestALateReportDoesNotRestoreAnEvictedAdapter covers a report that is older than
// an eviction: the planner took its adapter as held and ordered its load again.
func TestALateReportDoesNotRestoreAnEvictedAdapter(t *testing.T) {
	p := syncedPlanner(1, "a")
	p.Want(time.Second, "b", Priority{}, time.Minute)
	require.Equal(t, Order{Unload: true, Model: "m", Adapter: "a"}, requireOrder(t, p, time.Second))
	p.HandleResult(time.Second, Done)
	requireOrder(t, p, time.Second)
	p.HandleResult(time.Second, Accepted)
	p.HandleReport(1100*ms, WorkerState{HasModel: true, Adapters: []string{"a"}, Pending: []string{"b"}})
	p.MarkMissing(1110*ms, "a")
	p.Want(1110*ms, "a", Priority{}, time.Minute)
	for at := 1110 * ms; at < 1240*ms; at += 10 * ms {
		requireNoOrder(t, p, at)
	}
}

// TestAnAdapterInUseIsDrainedBeforeItsEviction covers engines that reject other
// orders while an eviction waits for requests.
func TestAnAdapterInUseIsDrainedBeforeItsEviction(t *testing.T) {
	p := syncedPlanner(1, "a")
	p.SetRunning(time.Second, map[string]int{"a": 3})
	p.Want(time.Second, "b", Priority{}, time.Minute)
	requireNoOrder(t, p, time.Second)
	require.Empty(t, p.Slots(), "a draining adapter gets no new request")
	p.SetRunning(2*time.Second, nil)
	requireNoOrder(t, p, 2*time.Second)
	require.Equal(t, Order{Unload: true, Model: "m", Adapter: "a"}, requireOrder(t, p, 2*time.Second+p.config.IdleGrace))
}

func TestTheMostUrgentWantGoesFirst(t *testing.T) {
	p := syncedPlanner(2)
	p.Want(0, "late", Priority{Rank: 2}, time.Minute)
	p.Want(1, "soon", Priority{}, time.Minute)
	require.Equal(t, "soon", requireOrder(t, p, 10).Adapter)
}

func TestOrdersToAnUnreachableWorkerBackOff(t *testing.T) {
	p := syncedPlanner(1)
	p.Want(0, "a", Priority{}, time.Minute)
	requireOrder(t, p, 0)
	p.HandleResult(0, Unreachable)
	requireNoOrder(t, p, unreachableBackoff-ms)
	requireOrder(t, p, unreachableBackoff)
}

// engine simulates a worker with adapter slots that follows the protocol of orders.
type engine struct {
	capacity int
	held     map[string]bool
	pending  map[string]time.Duration
	inUse    map[string]bool
	// evicting is the adapter in use whose eviction waits for its requests.
	evicting string
	// overfull is set once a load was ordered beyond the capacity.
	overfull bool
}

// advance completes the loads and the eviction that end by now.
func (e *engine) advance(now time.Duration) {
	for adapter, readyAt := range e.pending {
		if now >= readyAt {
			delete(e.pending, adapter)
			e.held[adapter] = true
		}
	}
	if e.evicting != "" && !e.inUse[e.evicting] {
		delete(e.held, e.evicting)
		e.evicting = ""
	}
}

// order executes an order; a load takes the given time.
func (e *engine) order(now time.Duration, o Order, took time.Duration) Result {
	e.advance(now)
	_, isPending := e.pending[o.Adapter]
	switch {
	case e.evicting != "":
		return Rejected
	case o.Unload && !e.held[o.Adapter]:
		return Done
	case o.Unload && e.inUse[o.Adapter]:
		e.evicting = o.Adapter
		return Accepted
	case o.Unload:
		delete(e.held, o.Adapter)
		return Done
	case e.held[o.Adapter]:
		return Done
	case isPending:
		return Accepted
	case len(e.pending) >= 4:
		return Rejected
	}
	e.overfull = e.overfull || len(e.held)+len(e.pending) >= e.capacity
	e.pending[o.Adapter] = now + took
	return Accepted
}

// TestAWorkerIsNeverOrderedToHoldTooMuch runs random sequences of wants, uses, late
// reports, missing adapters and lost responses.
func TestAWorkerIsNeverOrderedToHoldTooMuch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &engine{capacity: 3, held: map[string]bool{}, pending: map[string]time.Duration{}, inUse: map[string]bool{}}
		p := NewPlanner(DefaultConfig(e.capacity), "m", time.Second)
		var reports []WorkerState
		names := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"})
		for now := time.Duration(0); now < 4*time.Second; now += 10 * ms {
			e.advance(now)
			reports = append(reports, e.report())
			age := min(len(reports)-1, rapid.IntRange(0, 60).Draw(t, "lag"))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				p.Want(now, names.Draw(t, "wanted"), Priority{Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Share: rapid.IntRange(0, 4).Draw(t, "share")}, now+time.Second)
			case 3:
				p.MarkMissing(now, names.Draw(t, "missing"))
			case 4:
				adapter := names.Draw(t, "used")
				e.inUse[adapter] = e.held[adapter] && !e.inUse[adapter]
			case 5:
				p.HandleReport(now, reports[len(reports)-1-age])
			}
			p.SetRunning(now, map[string]int{})
			if order, ok := p.Next(now); ok {
				result := e.order(now, order, time.Duration(rapid.IntRange(10, 600).Draw(t, "took"))*ms)
				if rapid.IntRange(0, 15).Draw(t, "lost") == 0 {
					result = Unknown
				}
				p.HandleResult(now, result)
			}
			if e.overfull {
				t.Fatalf("ordered to hold more than %d at %v", e.capacity, now)
			}
		}
	})
}

// report returns the present state as a report.
func (e *engine) report() WorkerState {
	h := WorkerState{HasModel: true}
	for adapter := range e.held {
		h.Adapters = append(h.Adapters, adapter)
	}
	for adapter := range e.pending {
		h.Pending = append(h.Pending, adapter)
	}
	return h
}

func TestAModelWithLocalWeightsIsNotLoadedFromTheStore(t *testing.T) {
	p := NewPlanner(DefaultConfig(2), "m", time.Second)
	p.HandleReport(0, WorkerState{HasLocalWeights: true})
	require.Equal(t, Order{Model: "m"}, requireOrder(t, p, 0))
}

// TestModelLoadsKeepTheirShare simulates instances that each order many workers
// without a model.
func TestModelLoadsKeepTheirShare(t *testing.T) {
	const perSecond, members = 2.9, 6
	shares := make([]*StoreShare, members)
	for i := range shares {
		shares[i] = NewStoreShare(0)
	}
	var started []time.Duration
	for now := time.Duration(0); now < 30*time.Second; now += 50 * ms {
		for _, s := range shares {
			if s.Take(now, perSecond, members) {
				started = append(started, now)
			}
		}
	}
	const window, overage, extra = 5 * time.Second, 1.1, 3 // the bound that the operators check
	for i, from := range started {
		count := 0
		for _, at := range started[i:] {
			if at-from < window {
				count++
			}
		}
		require.LessOrEqual(t, float64(count), perSecond*window.Seconds()*overage+extra)
	}
	require.Greater(t, len(started), 30, "the store is used")
}

// TestAReportOlderThanTheLastOrderIsNotAdopted guards against a planner that takes over a
// worker, after a restart of the worker or from another planner, and misses what was just
// ordered.
func TestAReportOlderThanTheLastOrderIsNotAdopted(t *testing.T) {
	p := NewPlanner(DefaultConfig(1), "m", time.Second)
	p.AssumeOrder(10 * time.Second)
	usableFrom := 10*time.Second + p.config.ReportLag
	require.Equal(t, usableFrom, p.ReportsUsableFrom())
	p.Want(10*time.Second, "b", Priority{}, time.Minute)
	p.HandleReport(usableFrom-ms, WorkerState{HasModel: true})
	requireNoOrder(t, p, usableFrom)
	p.HandleReport(usableFrom, WorkerState{HasModel: true, Adapters: []string{"a"}})
	require.Equal(t, Order{Unload: true, Model: "m", Adapter: "a"}, requireOrder(t, p, usableFrom+time.Second))
}

// TestAWorkerThatLostItsModelIsReadAnew covers a restart that only a report shows: orders
// sent since then have reached the new process.
func TestAWorkerThatLostItsModelIsReadAnew(t *testing.T) {
	p := syncedPlanner(1)
	p.Want(2*time.Second, "a", Priority{}, time.Minute)
	requireOrder(t, p, 2*time.Second)
	p.HandleResult(2*time.Second, Accepted)
	p.HandleReport(2100*ms, WorkerState{})
	require.False(t, p.Synced())
	p.Want(2100*ms, "b", Priority{}, time.Minute)
	p.HandleReport(2200*ms, WorkerState{HasModel: true})
	requireNoOrder(t, p, 2200*ms)
	p.HandleReport(3*time.Second, WorkerState{HasModel: true, Adapters: []string{"a"}})
	require.Equal(t, Order{Unload: true, Model: "m", Adapter: "a"}, requireOrder(t, p, 4*time.Second))
}

// TestAReportFromBeforeTheModelWasLoadedChangesNothing covers a report that is older than
// the answer which showed that the worker holds its model.
func TestAReportFromBeforeTheModelWasLoadedChangesNothing(t *testing.T) {
	p := NewPlanner(DefaultConfig(1), "m", time.Second)
	p.HandleReport(0, WorkerState{})
	requireOrder(t, p, 0)
	p.HandleResult(2*time.Second, Done)
	p.Want(2*time.Second, "a", Priority{}, time.Minute)
	requireOrder(t, p, 2*time.Second)
	p.HandleResult(2*time.Second, Accepted)
	p.HandleReport(2100*ms, WorkerState{})
	require.True(t, p.Usable())
	require.Len(t, p.Slots(), 1)
}
