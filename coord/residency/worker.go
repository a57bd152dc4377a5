package residency

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Worker is the state machine that schedules the requests and loads of one worker.
// It is not safe for concurrent use.
type Worker struct {
	name            string
	config          Config
	queue           *admission.Queue
	pending         *pendingLoads
	usage           *usageTracker
	slots           map[table.AdapterVersion]*slot
	running         map[uint64]runningRequest
	loadsInProgress int
	meanServiceTime time.Duration                // from dispatch to end, moving average
	loadFailures    map[table.AdapterVersion]int // consecutive
	// suspended reports that nothing may be loaded or evicted, because this instance
	// does not hold the right to send orders to the worker.
	suspended bool
}

// slot holds one adapter that is resident or being loaded.
type slot struct {
	ready    bool // resident, else being loaded
	readyAt  time.Duration
	draining bool   // no request is dispatched to it
	pins     int    // requests in progress, which prevent the eviction
	permit   Permit // of its load
	// protectedUntil is the time until which requests of the former holder of the
	// right may use the adapter; it is not evicted before.
	protectedUntil time.Duration
}

// runningRequest is a dispatched request. It pins the slot to which it was
// dispatched, not the slot that the same adapter has after a restart.
type runningRequest struct {
	slot         *slot
	dispatchedAt time.Duration
}

// NewWorker returns a worker with empty slots.
func NewWorker(name string, config Config) *Worker {
	return &Worker{
		name:         name,
		config:       config,
		queue:        admission.NewQueue(config.Queue),
		pending:      newPendingLoads(config),
		usage:        newUsageTracker(config),
		slots:        make(map[table.AdapterVersion]*slot),
		running:      make(map[uint64]runningRequest),
		loadFailures: make(map[table.AdapterVersion]int),
	}
}

// Resident lists the adapters that are loaded and ready, in no order.
func (w *Worker) Resident() []table.AdapterVersion {
	var ready []table.AdapterVersion
	for adapter, s := range w.slots {
		if s.ready {
			ready = append(ready, adapter)
		}
	}
	return ready
}

// Held lists, in no order, the adapters that occupy a slot and those whose requests
// wait for one.
func (w *Worker) Held() []table.AdapterVersion {
	held := make([]table.AdapterVersion, 0, len(w.slots)+len(w.pending.byAdapter))
	for adapter := range w.slots {
		held = append(held, adapter)
	}
	for adapter := range w.pending.byAdapter {
		held = append(held, adapter)
	}
	return held
}

// Waiting returns the number of queued requests.
func (w *Worker) Waiting() int { return w.queue.Len() }

// parkedWeight is the weight in Load of a request that waits for its adapter's
// load. It is less than 1 because the worker can serve other requests meanwhile,
// and more than 0 because it has to serve this one in the end.
const parkedWeight = 0.25

// Load returns the number of requests that run or could run, plus those that wait
// for a load, weighted by parkedWeight.
func (w *Worker) Load() int {
	runnable := 0
	for _, rank := range table.Ranks {
		runnable += w.queue.Runnable(rank)
	}
	parked := w.queue.Len() - runnable
	return len(w.running) + runnable + int(parkedWeight*float64(parked))
}

// Running returns the number of dispatched requests.
func (w *Worker) Running() int { return len(w.running) }

// Step applies an event at now, the time since the process started, and returns
// the actions to carry out, in order. Its running time is logarithmic in the
// number of waiting requests and linear in the number of slots.
func (w *Worker) Step(now time.Duration, event Event) []Action {
	var actions []Action
	switch e := event.(type) {
	case Arrive:
		actions = w.arrive(now, e.Request)
	case Loaded:
		w.loaded(now, e.Adapter)
	case LoadFailed:
		actions = w.loadFailed(now, e)
	case Finished:
		w.finished(now, e.ID)
	case Cancel:
		w.cancel(e.ID)
	case Restarted:
		w.restarted(now)
	case Adopted:
		w.adopt(now, e)
	case Suspended:
		w.suspended = true
	case LoadSkipped:
		w.abandon(now, e.Order)
	case Tick:
	}
	actions = append(actions, w.expire(now)...)
	actions = append(actions, w.dispatch(now)...)
	return append(actions, w.scheduleLoad(now)...)
}

func (w *Worker) arrive(now time.Duration, r admission.Request) []Action {
	if lateness := w.expectedLateness(now, r); lateness > 0 {
		return []Action{Reject{ID: r.ID, Reason: WouldBeLate, RetryAfter: lateness}}
	}
	displaced, queued := w.queue.Push(r)
	if !queued {
		return []Action{Reject{ID: r.ID, Reason: QueueFull}}
	}
	var actions []Action
	for _, dropped := range displaced {
		w.pending.drop(dropped)
		actions = append(actions, Reject{ID: dropped.ID, Reason: QueueFull})
	}
	w.usage.record(now, r.Adapter)
	if _, held := w.slots[r.Adapter]; !held {
		w.pending.add(now, r)
	}
	return actions
}

func (w *Worker) cancel(id uint64) {
	if r, found := w.queue.Remove(id); found {
		w.pending.drop(r)
	}
}

func (w *Worker) finished(now time.Duration, id uint64) {
	request, found := w.running[id]
	if !found {
		return
	}
	delete(w.running, id)
	request.slot.pins--
	w.observeServiceTime(now - request.dispatchedAt)
}

// restarted frees every slot. Adapters with waiting requests are loaded again.
func (w *Worker) restarted(now time.Duration) {
	for adapter := range w.slots {
		w.freeSlot(now, adapter)
	}
}

// freeSlot removes the adapter from its slot. Its waiting requests wait for a new
// load.
func (w *Worker) freeSlot(now time.Duration, adapter table.AdapterVersion) {
	if s := w.slots[adapter]; !s.ready {
		w.loadEnded(now, s)
	}
	delete(w.slots, adapter)
	w.queue.Park(adapter)
	for _, r := range w.queue.Requests(adapter) {
		w.pending.add(now, r)
	}
}

func (w *Worker) expire(now time.Duration) []Action {
	var actions []Action
	for _, r := range w.queue.RemoveExpired(now + w.minTimeLeft()) {
		w.pending.drop(r)
		actions = append(actions, Reject{ID: r.ID, Reason: DeadlinePassed})
	}
	return actions
}

func (w *Worker) dispatch(now time.Duration) []Action {
	var actions []Action
	for len(w.running) < w.config.Batch {
		r, found := w.queue.Next()
		if !found {
			break
		}
		s := w.slots[r.Adapter]
		s.pins++
		w.running[r.ID] = runningRequest{slot: s, dispatchedAt: now}
		actions = append(actions, Dispatch{ID: r.ID})
	}
	return actions
}
