package residency

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Config sizes a worker.
type Config struct {
	// Slots is the number of adapters the worker holds.
	Slots int
	// Batch is the number of requests that run at once.
	Batch int
	// QueueLimit bounds the waiting requests; more are rejected at once.
	QueueLimit int
}

// Worker is the state machine of one worker. It is not safe for concurrent use.
type Worker struct {
	config  Config
	queue   *admission.Queue
	slots   map[table.AdapterVersion]*slot
	running map[uint64]table.AdapterVersion
	loading bool
}

type slot struct {
	ready    bool
	pins     int
	lastUsed time.Duration
}

// NewWorker returns a worker with empty slots.
func NewWorker(config Config) *Worker {
	return &Worker{
		config:  config,
		queue:   admission.NewQueue(config.QueueLimit),
		slots:   make(map[table.AdapterVersion]*slot),
		running: make(map[uint64]table.AdapterVersion),
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

// Waiting returns the number of queued requests.
func (w *Worker) Waiting() int { return w.queue.Len() }

// Running returns the number of dispatched requests.
func (w *Worker) Running() int { return len(w.running) }

// Step applies an event at now and returns the actions that follow.
func (w *Worker) Step(now time.Duration, event Event) []Action {
	var actions []Action
	switch e := event.(type) {
	case Arrive:
		if !w.queue.Push(e.Request) {
			return []Action{Reject{ID: e.Request.ID, Reason: QueueFull}}
		}
	case Loaded:
		w.loaded(now, e.Adapter)
	case LoadFailed:
		actions = w.loadFailed(e.Adapter)
	case Finished:
		w.finished(now, e.ID)
	case Cancel:
		w.queue.Remove(e.ID)
	case Restarted:
		w.slots = make(map[table.AdapterVersion]*slot)
		w.loading = false
	case Tick:
	}
	return append(actions, w.schedule(now)...)
}

func (w *Worker) loaded(now time.Duration, adapter table.AdapterVersion) {
	w.loading = false
	if s, found := w.slots[adapter]; found {
		s.ready = true
		s.lastUsed = now
	}
}

func (w *Worker) loadFailed(adapter table.AdapterVersion) []Action {
	w.loading = false
	delete(w.slots, adapter)
	var actions []Action
	for _, r := range w.queue.Waiting() {
		if r.Adapter == adapter {
			w.queue.Remove(r.ID)
			actions = append(actions, Reject{ID: r.ID, Reason: LoadError})
		}
	}
	return actions
}

func (w *Worker) finished(now time.Duration, id uint64) {
	adapter, found := w.running[id]
	if !found {
		return
	}
	delete(w.running, id)
	if s, resident := w.slots[adapter]; resident {
		s.pins--
		s.lastUsed = now
	}
}

func (w *Worker) schedule(now time.Duration) []Action {
	var actions []Action
	for _, r := range w.queue.Expired(now) {
		actions = append(actions, Reject{ID: r.ID, Reason: DeadlinePassed})
	}
	for _, r := range w.queue.Waiting() {
		s, found := w.slots[r.Adapter]
		switch {
		case found && s.ready && len(w.running) < w.config.Batch:
			w.queue.Remove(r.ID)
			s.pins++
			w.running[r.ID] = r.Adapter
			actions = append(actions, Dispatch{ID: r.ID})
		case !found && !w.loading:
			if load, possible := w.load(r.Adapter); possible {
				actions = append(actions, load)
			}
		}
	}
	return actions
}

func (w *Worker) load(adapter table.AdapterVersion) (Load, bool) {
	order := Load{Adapter: adapter}
	if len(w.slots) >= w.config.Slots {
		victim, found := w.victim()
		if !found {
			return Load{}, false
		}
		delete(w.slots, victim)
		order.Evict = &victim
	}
	w.slots[adapter] = &slot{}
	w.loading = true
	return order, true
}

// victim returns the least recently used adapter without a request in progress.
func (w *Worker) victim() (table.AdapterVersion, bool) {
	var oldest table.AdapterVersion
	found := false
	for adapter, s := range w.slots {
		if !s.ready || s.pins > 0 {
			continue
		}
		if !found || s.lastUsed < w.slots[oldest].lastUsed {
			oldest, found = adapter, true
		}
	}
	return oldest, found
}
