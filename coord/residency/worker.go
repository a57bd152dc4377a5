package residency

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Worker is the state machine of one worker. It is not safe for concurrent use.
type Worker struct {
	name    string
	config  Config
	queue   *admission.Queue
	wants   *wants
	uses    *uses
	slots   map[table.AdapterVersion]*slot
	running map[uint64]run
	loading int
	service time.Duration                // mean time from dispatch to end
	fails   map[table.AdapterVersion]int // failed loads since the last success
	// suspended says that nothing may be loaded or evicted.
	suspended bool
}

type slot struct {
	ready    bool
	since    time.Duration // ready
	draining bool          // takes no more requests
	pins     int
	right    Right // that its load ran on
	// protected is until when requests of a former holder may use the adapter.
	protected time.Duration
}

// run is a dispatched request. It pins the slot that it began on, and not the
// slot that the same adapter has after a restart.
type run struct {
	slot  *slot
	since time.Duration
}

// NewWorker returns a worker with empty slots.
func NewWorker(name string, config Config) *Worker {
	return &Worker{
		name:    name,
		config:  config,
		queue:   admission.NewQueue(config.Queue),
		wants:   newWants(config),
		uses:    newUses(config),
		slots:   make(map[table.AdapterVersion]*slot),
		running: make(map[uint64]run),
		fails:   make(map[table.AdapterVersion]int),
	}
}

// Resident lists the adapters that are ready.
func (w *Worker) Resident() []table.AdapterVersion {
	var ready []table.AdapterVersion
	for adapter, s := range w.slots {
		if s.ready {
			ready = append(ready, adapter)
		}
	}
	return ready
}

// Held lists the adapters that occupy a slot or have requests that wait for one.
func (w *Worker) Held() []table.AdapterVersion {
	held := make([]table.AdapterVersion, 0, len(w.slots)+len(w.wants.byName))
	for adapter := range w.slots {
		held = append(held, adapter)
	}
	for adapter := range w.wants.byName {
		held = append(held, adapter)
	}
	return held
}

// Waiting returns the number of queued requests.
func (w *Worker) Waiting() int { return w.queue.Len() }

// parkedWeight is what a request that waits for a load counts in Load.
const parkedWeight = 0.25

// Load returns the number of requests that run or could run, and a part of those
// that wait for a load: the worker could serve others meanwhile, but will have to
// serve them in the end.
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

// Step applies an event at now and returns the actions that follow. It takes a
// time logarithmic in the number of waiting requests and linear in the slots.
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
	case Abandoned:
		w.abandon(now, e.Order)
	case Tick:
	}
	actions = append(actions, w.expire(now)...)
	actions = append(actions, w.dispatch(now)...)
	return append(actions, w.load(now)...)
}

func (w *Worker) arrive(now time.Duration, r admission.Request) []Action {
	if late := w.late(now, r); late > 0 {
		return []Action{Reject{ID: r.ID, Reason: WouldBeLate, RetryAfter: late}}
	}
	displaced, queued := w.queue.Push(r)
	if !queued {
		return []Action{Reject{ID: r.ID, Reason: QueueFull}}
	}
	var actions []Action
	for _, out := range displaced {
		w.wants.drop(out)
		actions = append(actions, Reject{ID: out.ID, Reason: QueueFull})
	}
	w.uses.count(now, r.Adapter)
	if _, held := w.slots[r.Adapter]; !held {
		w.wants.add(now, r)
	}
	return actions
}

func (w *Worker) cancel(id uint64) {
	if r, found := w.queue.Remove(id); found {
		w.wants.drop(r)
	}
}

func (w *Worker) finished(now time.Duration, id uint64) {
	ended, found := w.running[id]
	if !found {
		return
	}
	delete(w.running, id)
	ended.slot.pins--
	w.observe(now - ended.since)
}

// restarted empties the slots; what waits for them wants them again.
func (w *Worker) restarted(now time.Duration) {
	for adapter := range w.slots {
		w.empty(now, adapter)
	}
}

// empty gives up a slot.
func (w *Worker) empty(now time.Duration, adapter table.AdapterVersion) {
	if s := w.slots[adapter]; !s.ready {
		w.loadEnded(now, s)
	}
	delete(w.slots, adapter)
	w.queue.Park(adapter)
	for _, r := range w.queue.Requests(adapter) {
		w.wants.add(now, r)
	}
}

func (w *Worker) expire(now time.Duration) []Action {
	var actions []Action
	for _, r := range w.queue.RemoveExpired(now + w.spare()) {
		w.wants.drop(r)
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
		w.running[r.ID] = run{slot: s, since: now}
		actions = append(actions, Dispatch{ID: r.ID})
	}
	return actions
}
