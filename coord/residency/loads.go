package residency

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// maxConcurrentLoads bounds the loads in progress on a worker.
const maxConcurrentLoads = 1

// scheduleLoad orders the next load if the worker may load, a slot is available
// and a permit is granted. Where a rank has no slot, it starts to drain one and
// tries the next rank.
func (w *Worker) scheduleLoad(now time.Duration) []Action {
	work := w.pending.promoteDue(now)
	if w.suspended || w.loadsInProgress >= maxConcurrentLoads {
		w.withdrawClaim()
		return nil
	}
	for remaining := work; ; {
		rank, owed, found := w.pending.floors.Next(remaining)
		if !found {
			w.withdrawClaim()
			w.endDrain(work)
			return nil
		}
		next := w.pending.due[rank].First()
		evict, available := w.findSlot(now, rank)
		if !available {
			w.startDrain(now, rank, owed)
			remaining[rank] = false
			continue
		}
		permit, granted := w.acquirePermit(now, next, owed)
		if !granted {
			return nil
		}
		w.pending.floors.RecordTurn(rank, owed, work)
		return w.orderLoad(now, next, evict, permit)
	}
}

// orderLoad assigns a slot to the load, freed by evict if that is not nil, and
// returns the order.
func (w *Worker) orderLoad(now time.Duration, load *pendingLoad, evict *table.AdapterVersion, permit Permit) []Action {
	w.pending.remove(load)
	if evict != nil {
		w.freeSlot(now, *evict)
	}
	w.slots[load.adapter] = &slot{permit: permit}
	w.loadsInProgress++
	return []Action{Load{Adapter: load.adapter, Evict: evict}}
}

// acquirePermit requests a permit for the load. A load that its rank's floor owes
// goes first.
func (w *Worker) acquirePermit(now time.Duration, load *pendingLoad, owed bool) (Permit, bool) {
	if w.config.Limiter == nil {
		return Permit{}, true
	}
	return w.config.Limiter.Acquire(now, w.name, LoadDemand{Rank: load.heapRank, Owed: owed, Waiting: load.waiting})
}

// withdrawClaim drops the claim that an earlier refused acquirePermit left.
func (w *Worker) withdrawClaim() {
	if w.config.Limiter != nil {
		w.config.Limiter.Withdraw(w.name)
	}
}

// findSlot returns the adapter to unload for a load of the rank, or nil if a slot
// is free. It reports false if no slot is free and none can be freed now.
func (w *Worker) findSlot(now time.Duration, rank table.Rank) (evict *table.AdapterVersion, available bool) {
	if len(w.slots) < w.config.Slots {
		return nil, true
	}
	return w.leastUseful(now, func(adapter table.AdapterVersion, s *slot) bool {
		return s.pins == 0 && (s.draining || !w.hasWaitingAtLeast(adapter, rank))
	})
}

// LoadCost returns the cost of one more load on the worker, in decayed uses: those
// of the adapter that it would unload, 0 if a slot is free, and 1 for each
// adapter that waits for a load.
func (w *Worker) LoadCost(now time.Duration) float64 {
	waiting := float64(len(w.pending.byAdapter))
	if len(w.slots) < w.config.Slots {
		return waiting
	}
	evict, found := w.leastUseful(now, func(table.AdapterVersion, *slot) bool { return true })
	if !found {
		return waiting
	}
	return waiting + w.usage.score(now, *evict)
}

// leastUseful returns the eligible adapter with the lowest utility that is ready
// and not protected. Ties go to the first by name, so that the choice is
// deterministic.
func (w *Worker) leastUseful(now time.Duration, isEligible func(table.AdapterVersion, *slot) bool) (*table.AdapterVersion, bool) {
	var least table.AdapterVersion
	found := false
	lowestUtility := 0.0
	for adapter, s := range w.slots {
		if !s.ready || now < s.protectedUntil || !isEligible(adapter, s) {
			continue
		}
		utility := w.utility(now, adapter)
		if !found || utility < lowestUtility || utility == lowestUtility && adapter.String() < least.String() {
			least, lowestUtility, found = adapter, utility, true
		}
	}
	return &least, found
}

// startDrain stops dispatching to one adapter, so that its slot becomes free for a
// load that goes first. At most one slot drains at a time.
func (w *Worker) startDrain(now time.Duration, rank table.Rank, owed bool) {
	for _, s := range w.slots {
		if s.draining {
			return
		}
	}
	adapter, found := w.leastUseful(now, func(adapter table.AdapterVersion, s *slot) bool {
		return now >= s.readyAt+w.config.MinStay && (owed || !w.hasWaitingAtLeast(adapter, rank))
	})
	if found {
		w.slots[*adapter].draining = true
		w.queue.Park(*adapter)
	}
}

// endDrain resumes dispatching to the draining adapter when no load is due.
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

// hasWaitingAtLeast reports whether a request at least as urgent as rank waits for
// the adapter.
func (w *Worker) hasWaitingAtLeast(adapter table.AdapterVersion, rank table.Rank) bool {
	for waitingRank, n := range w.queue.Waiting(adapter) {
		if n > 0 && table.Rank(waitingRank) <= rank {
			return true
		}
	}
	return false
}

// utility returns how useful it is to keep an adapter, by the eviction rule: its
// decayed uses, or the time of its last request in seconds.
func (w *Worker) utility(now time.Duration, adapter table.AdapterVersion) float64 {
	if w.config.Eviction == LeastRecent {
		return w.usage.lastRequest(adapter).Seconds()
	}
	return w.usage.score(now, adapter)
}

func (w *Worker) loaded(now time.Duration, adapter table.AdapterVersion) {
	s, found := w.slots[adapter]
	if !found || s.ready {
		return
	}
	w.loadEnded(now, s)
	s.ready = true
	s.readyAt = now
	delete(w.loadFailures, adapter)
	w.queue.SetReady(adapter)
}

// loadEnded returns the permit of a load that has ended.
func (w *Worker) loadEnded(now time.Duration, s *slot) {
	w.loadsInProgress--
	if w.config.Limiter != nil {
		w.config.Limiter.Release(now, s.permit)
	}
}

// loadFailed frees the slot. The waiting requests wait for a retry after a delay
// or, after MaxLoadAttempts failures, are rejected so that another worker can serve
// them.
func (w *Worker) loadFailed(now time.Duration, e LoadFailed) []Action {
	s, found := w.slots[e.Adapter]
	if !found || s.ready {
		return nil
	}
	w.loadFailures[e.Adapter]++
	failures := w.loadFailures[e.Adapter]
	w.freeSlot(now, e.Adapter)
	if failures >= w.config.MaxLoadAttempts {
		delete(w.loadFailures, e.Adapter)
		return w.rejectAll(e.Adapter)
	}
	if load, found := w.pending.byAdapter[e.Adapter]; found {
		load.failures = failures
		w.pending.postpone(load, now+w.retryDelay(failures, e.Jitter))
	}
	return nil
}

func (w *Worker) rejectAll(adapter table.AdapterVersion) []Action {
	var actions []Action
	for _, r := range w.queue.RemoveAll(adapter) {
		w.pending.drop(r)
		actions = append(actions, Reject{ID: r.ID, Reason: LoadError})
	}
	return actions
}

// retryDelay returns the delay after a number of consecutive failed loads: between
// half and all of an interval that doubles with each failure, by jitter from 0
// to 1.
func (w *Worker) retryDelay(failures int, jitter float64) time.Duration {
	interval := w.config.BackOff
	for range failures - 1 {
		interval = min(2*interval, w.config.BackOffLimit)
	}
	return time.Duration(float64(interval) * (0.5 + 0.5*jitter))
}
