package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// synced returns a planner of a worker that holds the model and the adapters.
func synced(capacity int, adapters ...string) *Planner {
	p := NewPlanner(DefaultConfig(capacity), "m", time.Second)
	p.Reported(0, Held{HasModel: true, Adapters: adapters})
	return p
}

func next(t *testing.T, p *Planner, now time.Duration) Order {
	t.Helper()
	order, ok := p.Next(now)
	require.True(t, ok, "no order at %v", now)
	return order
}

func none(t *testing.T, p *Planner, now time.Duration) {
	t.Helper()
	order, ok := p.Next(now)
	require.False(t, ok, "unexpected order %+v", order)
}

func TestNothingIsOrderedBeforeAReport(t *testing.T) {
	p := NewPlanner(DefaultConfig(2), "m", time.Second)
	p.Want(0, "a", 0, time.Minute)
	none(t, p, time.Second)
}

func TestTheModelIsBroughtBackFirst(t *testing.T) {
	p := NewPlanner(DefaultConfig(2), "m", time.Second)
	p.Reported(0, Held{})
	p.Want(0, "a", 0, time.Minute)
	require.Equal(t, Order{Model: "m", FromStore: true}, next(t, p, 0))
	p.Ordered(0, Accepted)
	none(t, p, 10*ms)
	p.Reported(900*ms, Held{HasModel: true})
	require.Equal(t, Order{Model: "m", Adapter: "a"}, next(t, p, 900*ms))
}

func TestALoadIsReadyOnlyWhenTheWorkerSaysSo(t *testing.T) {
	p := synced(2)
	p.Want(0, "a", 0, time.Minute)
	next(t, p, 0)
	p.Ordered(0, Accepted)
	require.False(t, p.Ready("a"))
	none(t, p, 100*ms)
	require.Equal(t, Order{Model: "m", Adapter: "a"}, next(t, p, 250*ms))
	p.Ordered(250*ms, Accepted) // still on its way
	require.False(t, p.Ready("a"))
	next(t, p, 280*ms)
	p.Ordered(280*ms, Done)
	require.True(t, p.Ready("a"))
}

// TestAnAdapterInTransitIsNotEvicted covers an engine that answers the eviction
// of an adapter in transit as done, and then holds it all the same.
func TestAnAdapterInTransitIsNotEvicted(t *testing.T) {
	p := synced(1)
	p.Want(0, "a", 0, 100*ms)
	next(t, p, 0)
	p.Ordered(0, Accepted)
	p.Want(200*ms, "b", 0, time.Minute)
	for at := 200 * ms; at < 2*time.Second; at += 10 * ms {
		order, ok := p.Next(at)
		if !ok {
			continue
		}
		require.Equal(t, Order{Model: "m", Adapter: "a"}, order, "only the end of the load may be asked for")
		p.Ordered(at, Accepted)
	}
}

// TestAnEvictedAdapterInALateReportIsNoSlot covers a report that is older than
// an eviction: its adapter was once loaded again as if it were held.
func TestAnEvictedAdapterInALateReportIsNoSlot(t *testing.T) {
	p := synced(1, "a")
	p.Want(time.Second, "b", 0, time.Minute)
	require.Equal(t, Order{Unload: true, Model: "m", Adapter: "a"}, next(t, p, time.Second))
	p.Ordered(time.Second, Done)
	next(t, p, time.Second)
	p.Ordered(time.Second, Accepted)
	p.Reported(1100*ms, Held{HasModel: true, Adapters: []string{"a"}, Pending: []string{"b"}})
	p.Missing(1110*ms, "a")
	p.Want(1110*ms, "a", 0, time.Minute)
	for at := 1110 * ms; at < 1240*ms; at += 10 * ms {
		none(t, p, at)
	}
}

// TestAnAdapterInUseIsDrainedBeforeItsEviction covers an engine that takes no
// other order while an eviction waits for requests.
func TestAnAdapterInUseIsDrainedBeforeItsEviction(t *testing.T) {
	p := synced(1, "a")
	p.Use(time.Second, map[string]int{"a": 3})
	p.Want(time.Second, "b", 0, time.Minute)
	none(t, p, time.Second)
	require.Empty(t, p.Slots(), "a draining adapter takes no new request")
	p.Use(2*time.Second, nil)
	none(t, p, 2*time.Second)
	require.Equal(t, Order{Unload: true, Model: "m", Adapter: "a"}, next(t, p, 2*time.Second+p.config.IdleGrace))
}

func TestTheMostUrgentWantGoesFirst(t *testing.T) {
	p := synced(2)
	p.Want(0, "late", 2, time.Minute)
	p.Want(1, "soon", 0, time.Minute)
	require.Equal(t, "soon", next(t, p, 10).Adapter)
}

func TestAnUnreachableWorkerIsLeftAloneForAWhile(t *testing.T) {
	p := synced(1)
	p.Want(0, "a", 0, time.Minute)
	next(t, p, 0)
	p.Ordered(0, Unreachable)
	none(t, p, unreachableWait-ms)
	next(t, p, unreachableWait)
}

// engine is a worker with slots as the orders' protocol describes it.
type engine struct {
	capacity int
	held     map[string]bool
	pending  map[string]time.Duration
	inUse    map[string]bool
	waiting  string
	overfull bool
}

func (e *engine) advance(now time.Duration) {
	for adapter, at := range e.pending {
		if now >= at {
			delete(e.pending, adapter)
			e.held[adapter] = true
		}
	}
	if e.waiting != "" && !e.inUse[e.waiting] {
		delete(e.held, e.waiting)
		e.waiting = ""
	}
}

func (e *engine) order(now time.Duration, o Order, took time.Duration) Result {
	e.advance(now)
	_, coming := e.pending[o.Adapter]
	switch {
	case e.waiting != "":
		return Rejected
	case o.Unload && !e.held[o.Adapter]:
		return Done
	case o.Unload && e.inUse[o.Adapter]:
		e.waiting = o.Adapter
		return Accepted
	case o.Unload:
		delete(e.held, o.Adapter)
		return Done
	case e.held[o.Adapter]:
		return Done
	case coming:
		return Accepted
	case len(e.pending) >= 4:
		return Rejected
	}
	e.overfull = e.overfull || len(e.held)+len(e.pending) >= e.capacity
	e.pending[o.Adapter] = now + took
	return Accepted
}

// TestAWorkerIsNeverOrderedToHoldTooMuch plays random wants, uses, late reports,
// denials and lost answers.
func TestAWorkerIsNeverOrderedToHoldTooMuch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &engine{capacity: 3, held: map[string]bool{}, pending: map[string]time.Duration{}, inUse: map[string]bool{}}
		p := NewPlanner(DefaultConfig(e.capacity), "m", time.Second)
		var old []Held
		names := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"})
		for now := time.Duration(0); now < 4*time.Second; now += 10 * ms {
			e.advance(now)
			old = append(old, e.report())
			late := min(len(old)-1, rapid.IntRange(0, 60).Draw(t, "lag"))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				p.Want(now, names.Draw(t, "wanted"), rapid.IntRange(0, 2).Draw(t, "rank"), now+time.Second)
			case 3:
				p.Missing(now, names.Draw(t, "missing"))
			case 4:
				adapter := names.Draw(t, "used")
				e.inUse[adapter] = e.held[adapter] && !e.inUse[adapter]
			case 5:
				p.Reported(now, old[len(old)-1-late])
			}
			p.Use(now, map[string]int{})
			if order, ok := p.Next(now); ok {
				result := e.order(now, order, time.Duration(rapid.IntRange(10, 600).Draw(t, "took"))*ms)
				if rapid.IntRange(0, 15).Draw(t, "lost") == 0 {
					result = Unknown
				}
				p.Ordered(now, result)
			}
			if e.overfull {
				t.Fatalf("ordered to hold more than %d at %v", e.capacity, now)
			}
		}
	})
}

func (e *engine) report() Held {
	h := Held{HasModel: true}
	for adapter := range e.held {
		h.Adapters = append(h.Adapters, adapter)
	}
	for adapter := range e.pending {
		h.Pending = append(h.Pending, adapter)
	}
	return h
}

func TestACopyOfTheModelSparesTheStore(t *testing.T) {
	p := NewPlanner(DefaultConfig(2), "m", time.Second)
	p.Reported(0, Held{ModelCopied: true})
	require.Equal(t, Order{Model: "m"}, next(t, p, 0))
}

// TestModelLoadsKeepTheirShare plays instances that all have many empty workers.
func TestModelLoadsKeepTheirShare(t *testing.T) {
	const perSecond, members = 2.9, 6
	shares := make([]*StoreShare, members)
	for i := range shares {
		shares[i] = NewStoreShare(0)
	}
	var begun []time.Duration
	for now := time.Duration(0); now < 30*time.Second; now += 50 * ms {
		for _, s := range shares {
			if s.Take(now, perSecond, members) {
				begun = append(begun, now)
			}
		}
	}
	const window, overage, extra = 5 * time.Second, 1.1, 3 // the operators' bound
	for i, from := range begun {
		count := 0
		for _, at := range begun[i:] {
			if at-from < window {
				count++
			}
		}
		require.LessOrEqual(t, float64(count), perSecond*window.Seconds()*overage+extra)
	}
	require.Greater(t, len(begun), 30, "the store is used")
}
