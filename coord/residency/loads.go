package residency

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// loadsAtOnce bounds the loads in progress on a worker.
const loadsAtOnce = 1

// load begins the best load for which there is a slot and the right.
func (w *Worker) load(now time.Duration) []Action {
	best := w.wants.best(now)
	if best == nil || w.loading >= loadsAtOnce {
		w.withdraw()
		return nil
	}
	evict, possible := w.room(now, best)
	if !possible {
		w.withdraw()
		return nil
	}
	right, granted := w.take(now, best)
	if !granted {
		return nil
	}
	w.wants.remove(best)
	if evict != nil {
		w.empty(now, *evict)
	}
	w.slots[best.adapter] = &slot{right: right}
	w.loading++
	return []Action{Load{Adapter: best.adapter, Evict: evict}}
}

func (w *Worker) take(now time.Duration, best *want) (Right, bool) {
	if w.config.Loads == nil {
		return Right{}, true
	}
	return w.config.Loads.Take(now, w.name, Want{Rank: best.rank(), Waiting: best.waiting})
}

func (w *Worker) withdraw() {
	if w.config.Loads != nil {
		w.config.Loads.Withdraw(w.name)
	}
}

// room returns the adapter to unload for a want, nil where a slot is free.
func (w *Worker) room(now time.Duration, best *want) (evict *table.AdapterVersion, possible bool) {
	if len(w.slots) < w.config.Slots {
		return nil, true
	}
	var victim table.AdapterVersion
	found := false
	lowest := 0.0
	for adapter, s := range w.slots {
		if !s.ready || s.pins > 0 || w.waitsAhead(adapter, best.rank()) {
			continue
		}
		value := w.value(now, adapter)
		if !found || value < lowest || value == lowest && adapter.String() < victim.String() {
			victim, lowest, found = adapter, value, true
		}
	}
	return &victim, found
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
