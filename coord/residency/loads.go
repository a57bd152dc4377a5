package residency

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// loadsAtOnce bounds the loads in progress on a worker.
const loadsAtOnce = 1

// load begins the load whose turn it is, if there is a slot and the right.
func (w *Worker) load(now time.Duration) []Action {
	work := w.wants.settle(now)
	if w.suspended || w.loading >= loadsAtOnce {
		w.withdraw()
		return nil
	}
	for remaining := work; ; {
		rank, owed, found := w.wants.floors.Next(remaining)
		if !found {
			w.withdraw()
			w.endDrain(work)
			return nil
		}
		best := w.wants.asking[rank].First()
		evict, possible := w.room(now, rank)
		if !possible {
			w.drain(now, rank, owed)
			remaining[rank] = false
			continue
		}
		right, granted := w.take(now, best, owed)
		if !granted {
			return nil
		}
		w.wants.floors.RecordTurn(rank, owed, work)
		return w.begin(now, best, evict, right)
	}
}

// begin orders a load.
func (w *Worker) begin(now time.Duration, best *want, evict *table.AdapterVersion, right Right) []Action {
	w.wants.remove(best)
	if evict != nil {
		w.empty(now, *evict)
	}
	w.slots[best.adapter] = &slot{right: right}
	w.loading++
	return []Action{Load{Adapter: best.adapter, Evict: evict}}
}

// take asks for the right to load. A rank that is owed its floor comes first.
func (w *Worker) take(now time.Duration, best *want, owed bool) (Right, bool) {
	if w.config.Loads == nil {
		return Right{}, true
	}
	return w.config.Loads.Take(now, w.name, Want{Rank: best.rank, Owed: owed, Waiting: best.waiting})
}

func (w *Worker) withdraw() {
	if w.config.Loads != nil {
		w.config.Loads.Withdraw(w.name)
	}
}

// room returns the adapter to unload for a load of that rank, nil where a slot
// is free.
func (w *Worker) room(now time.Duration, rank table.Rank) (evict *table.AdapterVersion, possible bool) {
	if len(w.slots) < w.config.Slots {
		return nil, true
	}
	return w.cheapest(now, func(adapter table.AdapterVersion, s *slot) bool {
		return s.pins == 0 && (s.draining || !w.waitsAhead(adapter, rank))
	})
}

// LoadCost returns what the worker's next load would cost, in decayed uses of
// the adapter to be unloaded: 0 with a free slot. Each adapter that waits for a
// slot adds to it.
func (w *Worker) LoadCost(now time.Duration) float64 {
	waiting := float64(len(w.wants.byName))
	if len(w.slots) < w.config.Slots {
		return waiting
	}
	evict, found := w.cheapest(now, func(table.AdapterVersion, *slot) bool { return true })
	if !found {
		return waiting
	}
	return waiting + w.uses.score(now, *evict)
}

// cheapest returns the ready adapter of the least value that suits.
func (w *Worker) cheapest(now time.Duration, suits func(table.AdapterVersion, *slot) bool) (*table.AdapterVersion, bool) {
	var cheapest table.AdapterVersion
	found := false
	lowest := 0.0
	for adapter, s := range w.slots {
		if !s.ready || now < s.protected || !suits(adapter, s) {
			continue
		}
		value := w.value(now, adapter)
		if !found || value < lowest || value == lowest && adapter.String() < cheapest.String() {
			cheapest, lowest, found = adapter, value, true
		}
	}
	return &cheapest, found
}

// drain stops the dispatches on one adapter, so that its slot comes free for a
// load that goes before what waits there. One slot drains at a time.
func (w *Worker) drain(now time.Duration, rank table.Rank, owed bool) {
	for _, s := range w.slots {
		if s.draining {
			return
		}
	}
	adapter, found := w.cheapest(now, func(adapter table.AdapterVersion, s *slot) bool {
		return now >= s.since+w.config.MinStay && (owed || !w.waitsAhead(adapter, rank))
	})
	if found {
		w.slots[*adapter].draining = true
		w.queue.Park(*adapter)
	}
}

// endDrain resumes the dispatches when no load is wanted any more.
func (w *Worker) endDrain(work admission.Work) {
	if work != (admission.Work{}) {
		return
	}
	for adapter, s := range w.slots {
		if s.draining {
			s.draining = false
			w.queue.SetReady(adapter)
		}
	}
}

// waitsAhead tells whether a request waits for a resident adapter that is not
// less urgent than rank.
func (w *Worker) waitsAhead(adapter table.AdapterVersion, rank table.Rank) bool {
	for waiting, n := range w.queue.Waiting(adapter) {
		if n > 0 && table.Rank(waiting) <= rank {
			return true
		}
	}
	return false
}

// value is what keeping an adapter is worth.
func (w *Worker) value(now time.Duration, adapter table.AdapterVersion) float64 {
	if w.config.Eviction == LeastRecent {
		return w.uses.last(adapter).Seconds()
	}
	return w.uses.score(now, adapter)
}

func (w *Worker) loaded(now time.Duration, adapter table.AdapterVersion) {
	s, found := w.slots[adapter]
	if !found || s.ready {
		return
	}
	w.loadEnded(now, s)
	s.ready = true
	s.since = now
	delete(w.fails, adapter)
	w.queue.SetReady(adapter)
}

func (w *Worker) loadEnded(now time.Duration, s *slot) {
	w.loading--
	if w.config.Loads != nil {
		w.config.Loads.Done(now, s.right)
	}
}

// loadFailed frees the slot. The requests wait for the next try after a back-off
// or, after several, are rejected so that another worker can try.
func (w *Worker) loadFailed(now time.Duration, e LoadFailed) []Action {
	s, found := w.slots[e.Adapter]
	if !found || s.ready {
		return nil
	}
	w.fails[e.Adapter]++
	fails := w.fails[e.Adapter]
	w.empty(now, e.Adapter)
	if fails >= w.config.LoadTries {
		delete(w.fails, e.Adapter)
		return w.rejectAll(e.Adapter)
	}
	if again, wanted := w.wants.byName[e.Adapter]; wanted {
		again.fails = fails
		w.wants.postpone(again, now+w.backOff(fails, e.Jitter))
	}
	return nil
}

func (w *Worker) rejectAll(adapter table.AdapterVersion) []Action {
	var actions []Action
	for _, r := range w.queue.RemoveAll(adapter) {
		w.wants.drop(r)
		actions = append(actions, Reject{ID: r.ID, Reason: LoadError})
	}
	return actions
}

// backOff returns the wait after failed loads: between a half and the whole of
// an interval that doubles.
func (w *Worker) backOff(fails int, jitter float64) time.Duration {
	interval := w.config.BackOff
	for range fails - 1 {
		interval = min(2*interval, w.config.BackOffLimit)
	}
	return time.Duration(float64(interval) * (0.5 + 0.5*jitter))
}
