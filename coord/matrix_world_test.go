package coord_test

import (
	"container/heap"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/residency"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Times of the matrix's world.
const (
	hop             = time.Millisecond
	tokenTime       = 10 * time.Millisecond
	loadTime        = 250 * time.Millisecond
	progressTimeout = 3 * time.Second
	requestDeadline = 30 * time.Second
	probeAt         = 60 * time.Second
	worldEnd        = 120 * time.Second
	outage          = 5 * time.Second
	tokens          = 5
	tickEvery       = 100 * time.Millisecond
)

// timed is one event of the world.
type timed struct {
	at    time.Duration
	order int
	run   func()
}

type agenda []timed

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(timed)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// lifeRule is what decides on a request's attempts.
type lifeRule interface {
	Step(now time.Duration, event attempt.LifecycleEvent) []attempt.LifecycleAction
}

// world is one ingress, two workers with an owner each, and the network between
// them, in virtual time.
type world struct {
	now    time.Duration
	agenda agenda
	order  int

	cell       cell
	left       int // faults still to come
	idempotent bool
	newLife    func(w *world, deadline time.Duration) lifeRule
	trusting   bool // broken: the ingress takes every answer
	patient    bool // broken: the ingress waits for ever
	unchecked  bool // broken: the owner does not look whether it holds the right

	sites        [2]*site
	storeFailing time.Duration
	runs         map[int]int // runs by request
	evictedInUse int
	requests     []*request
}

// site is a worker with its owner and the link to it.
type site struct {
	w       *world
	index   int
	machine *residency.Worker
	calls   map[uint64]*exchange
	held    bool
	life    int           // incarnation of the owner
	frozen  time.Duration // the owner handles nothing before
	cut     time.Duration // the link passes nothing before
	delay   time.Duration // added to each message of the link

	engineLife int
	resident   map[table.AdapterVersion]bool
	inUse      map[table.AdapterVersion]int
	leaving    bool
}

// request is one caller's request at the ingress.
type request struct {
	id       int
	adapter  table.AdapterVersion
	deadline time.Duration
	life     lifeRule
	current  *exchange
	tried    [2]bool
	got      []int
	told     []attempt.Outcome
	cutOff   bool // the answer was cut, or the caller's connection ended
	lost     bool // the ingress died
}

// exchange is one attempt between the ingress and an owner.
type exchange struct {
	r       *request
	s       *site
	number  int
	offset  int
	id      uint64
	silent  bool
	late    time.Duration
	crossed bool
	heard   time.Duration // the ingress heard of it
	over    bool
}

func newWorld(c cell, idempotent bool) *world {
	w := &world{cell: c, left: c.times, idempotent: idempotent, runs: make(map[int]int)}
	budget := attempt.NewBudget(attempt.DefaultBudgetConfig())
	w.newLife = func(w *world, deadline time.Duration) lifeRule {
		return attempt.NewLifecycle(attempt.DefaultLifecycleConfig(), budget, w.idempotent, deadline)
	}
	for i := range w.sites {
		s := &site{w: w, index: i, held: true, calls: make(map[uint64]*exchange)}
		s.resident, s.inUse = make(map[table.AdapterVersion]bool), make(map[table.AdapterVersion]int)
		s.boot()
		w.sites[i] = s
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.agenda, timed{at: w.now + d, order: w.order, run: run})
}

// run sends one request, and a second one long after every fault has ended.
func (w *world) run() {
	for _, s := range w.sites {
		s.tick()
	}
	w.after(0, func() { w.accept() })
	w.after(probeAt, func() { w.left = 0; w.accept() })
	for w.agenda.Len() > 0 && w.now <= worldEnd {
		next := heap.Pop(&w.agenda).(timed)
		w.now = next.at
		next.run()
	}
}

// reach applies the cell's fault when the request comes to its step.
func (w *world) reach(at step, x *exchange, r *request) {
	if w.left > 0 && at == w.cell.step {
		w.left--
		w.cell.fault.apply(w, x, r)
	}
}

func (w *world) accept() {
	r := &request{id: len(w.requests), adapter: table.AdapterVersion{Adapter: "a", Version: "v1"}, deadline: w.now + requestDeadline}
	w.requests = append(w.requests, r)
	r.life = w.newLife(w, r.deadline)
	w.reach(accepted, nil, r)
	w.apply(r, r.life.Step(w.now, attempt.Started{}))
}

// apply carries out what the life of a request decides.
func (w *world) apply(r *request, actions []attempt.LifecycleAction) {
	for _, action := range actions {
		switch a := action.(type) {
		case attempt.Try:
			w.try(r, a)
		case attempt.Report:
			r.told = append(r.told, a.Outcome)
			w.reach(answered, r.current, r)
		case attempt.Abort:
			r.cutOff = true
			w.reach(answered, r.current, r)
		}
	}
}

func (w *world) try(r *request, a attempt.Try) {
	if r.lost {
		return
	}
	w.reach(resolved, nil, r)
	s := w.place(r)
	r.tried[s.index] = true
	x := &exchange{r: r, s: s, number: a.Attempt, offset: a.Offset, heard: w.now}
	r.current = x
	w.reach(forwarded, x, r)
	s.toOwner(x, func() { s.arrive(x) })
	w.watch(x)
}

// place avoids tried and leaving workers where another is left.
func (w *world) place(r *request) *site {
	for _, s := range w.sites {
		if !r.tried[s.index] && !s.leaving {
			return s
		}
	}
	if w.sites[0].leaving {
		return w.sites[1]
	}
	return w.sites[0]
}

// watch fails an exchange that has been silent for too long.
func (w *world) watch(x *exchange) {
	w.after(progressTimeout, func() {
		if x.over || x.r.lost || w.patient {
			return
		}
		if w.now-x.heard < progressTimeout {
			w.watch(x)
			return
		}
		w.failed(x, attempt.Failure{Sent: true})
	})
}

func (w *world) failed(x *exchange, f attempt.Failure) {
	if x.over || x.r.lost {
		return
	}
	x.over = true
	w.apply(x.r, x.r.life.Step(w.now, attempt.Failed{Attempt: x.number, Failure: f, Resumable: true}))
}

// toOwner passes a message over the link, or never where the exchange is silent.
func (s *site) toOwner(x *exchange, handle func()) {
	life := s.life
	s.deliver(x, func() {
		if s.life != life {
			s.w.failed(x, attempt.Failure{Sent: true}) // the connection is reset
			return
		}
		s.atOwner(handle)
	})
}

// atOwner runs handle when the owner is not frozen.
func (s *site) atOwner(handle func()) {
	life := s.life
	if wait := s.frozen - s.w.now; wait > 0 {
		s.w.after(wait, func() { s.atOwner(handle) })
		return
	}
	if s.life == life {
		handle()
	}
}

func (s *site) deliver(x *exchange, handle func()) {
	if x.silent {
		return
	}
	s.w.after(hop+s.delay+x.late+max(s.cut-s.w.now, 0), handle)
}

// toIngress passes an answer's message back. The ingress takes it only from the
// current attempt of its own request.
func (s *site) toIngress(x *exchange, handle func()) {
	s.deliver(x, func() {
		if x.r.lost {
			return
		}
		if x.crossed && !s.w.trusting {
			s.w.failed(x, attempt.Failure{Sent: true})
			return
		}
		x.heard = s.w.now
		handle()
	})
}

// refuse answers that the attempt did not run.
func (s *site) refuse(x *exchange) {
	s.toIngress(x, func() { s.w.failed(x, attempt.Failure{Sent: true, Refused: true}) })
}

func (s *site) arrive(x *exchange) {
	if !s.held && !s.w.unchecked {
		s.refuse(x)
		return
	}
	s.w.order++
	x.id = uint64(s.w.order)
	s.calls[x.id] = x
	s.step(residency.Arrive{Request: admission.Request{
		ID: x.id, Adapter: x.r.adapter, Rank: table.Normal, Arrived: s.w.now, Deadline: x.r.deadline,
	}})
	s.w.reach(queued, x, x.r)
	s.working(x)
}

// working tells the ingress that the attempt waits or runs.
func (s *site) working(x *exchange) {
	life := s.life
	s.w.after(progressTimeout/3, func() {
		if s.calls[x.id] == nil || s.life != life {
			return
		}
		s.atOwner(func() { s.toIngress(x, func() {}) })
		s.working(x)
	})
}

func (s *site) step(event residency.Event) {
	life := s.life
	for _, action := range s.machine.Step(s.w.now, event) {
		if s.life != life {
			return // killed while it carried out the actions
		}
		switch a := action.(type) {
		case residency.Load:
			s.load(a)
		case residency.Dispatch:
			if x := s.calls[a.ID]; x != nil {
				s.dispatch(x)
			}
		case residency.Reject:
			if x := s.calls[a.ID]; x != nil {
				delete(s.calls, a.ID)
				s.refuse(x)
			}
		}
	}
}

// tick lets time pass at the owner.
func (s *site) tick() {
	s.w.after(tickEvery, func() {
		s.atOwner(func() { s.step(residency.Tick{}) })
		s.tick()
	})
}

// waiting returns a waiting exchange of an adapter, for the steps of its load.
func (s *site) waiting(adapter table.AdapterVersion) *exchange {
	for _, x := range s.calls {
		if x.r.adapter == adapter && !x.over {
			return x
		}
	}
	return nil
}

func (s *site) load(a residency.Load) {
	if a.Evict != nil {
		if s.inUse[*a.Evict] > 0 {
			s.w.evictedInUse++
		}
		delete(s.resident, *a.Evict)
	}
	if x := s.waiting(a.Adapter); x != nil {
		s.w.reach(loadOrdered, x, x.r)
	}
	owner, engine := s.life, s.engineLife
	s.w.after(loadTime, func() {
		failed := s.w.now < s.w.storeFailing || s.engineLife != engine
		if !failed {
			s.resident[a.Adapter] = true
		}
		s.atOwner(func() {
			if s.life != owner {
				return
			}
			if x := s.waiting(a.Adapter); x != nil && !failed {
				s.w.reach(loaded, x, x.r)
			}
			if s.life != owner {
				return
			}
			if failed {
				s.step(residency.LoadFailed{Adapter: a.Adapter})
				return
			}
			s.step(residency.Loaded{Adapter: a.Adapter})
		})
	})
}

// dispatch sends a request to the engine, which runs it token by token.
func (s *site) dispatch(x *exchange) {
	s.w.reach(dispatched, x, x.r)
	if (s.frozen > s.w.now || !s.held) && !s.w.unchecked {
		s.end(x, func() { s.refuse(x) }) // checked right before the write
		return
	}
	owner, engine := s.life, s.engineLife
	s.w.after(hop, func() {
		if !s.resident[x.r.adapter] {
			s.atOwner(func() { s.lost(x); s.end(x, func() { s.refuse(x) }) })
			return
		}
		s.w.runs[x.r.id]++
		s.inUse[x.r.adapter]++
		s.token(x, x.offset, owner, engine)
	})
}

// lost tells the machine that the engine has forgotten its adapters.
func (s *site) lost(*exchange) { s.step(residency.Restarted{}) }

func (s *site) token(x *exchange, i, owner, engine int) {
	s.w.after(tokenTime, func() {
		if s.engineLife != engine {
			s.atOwner(func() { s.lost(x); s.end(x, func() { s.broken(x) }) })
			return
		}
		if s.life != owner {
			s.inUse[x.r.adapter]-- // its connection ended, which cancels the run
			return
		}
		s.relay(x, i)
		if i+1 < tokens {
			s.token(x, i+1, owner, engine)
			return
		}
		s.inUse[x.r.adapter]--
		s.atOwner(func() { s.end(x, func() { s.finish(x) }) })
	})
}

// relay passes one token on through the owner.
func (s *site) relay(x *exchange, i int) {
	s.atOwner(func() {
		s.w.reach(map[int]step{x.offset: firstByte, tokens / 2: middle, tokens - 1: lastByte}[i], x, x.r)
		s.toIngress(x, func() { s.w.passed(x, i) })
	})
}

func (w *world) passed(x *exchange, i int) {
	actions := x.r.life.Step(w.now, attempt.Delivered{Attempt: x.number, Offset: i + 1})
	if len(actions) > 0 && !w.trusting {
		return // late: nothing of it reaches the caller
	}
	x.r.got = append(x.r.got, i)
}

func (s *site) finish(x *exchange) {
	s.toIngress(x, func() {
		if x.over {
			return
		}
		x.over = true
		s.w.apply(x.r, x.r.life.Step(s.w.now, attempt.Completed{Attempt: x.number}))
	})
}

// broken tells the ingress that the answer ended before its end.
func (s *site) broken(x *exchange) {
	s.toIngress(x, func() { s.w.failed(x, attempt.Failure{Sent: true}) })
}

// end releases the request at the owner, then goes on.
func (s *site) end(x *exchange, then func()) {
	if s.calls[x.id] == nil {
		return
	}
	delete(s.calls, x.id)
	s.step(residency.Finished{ID: x.id})
	then()
}

// boot starts an owner without memory over what its engine holds.
func (s *site) boot() {
	s.machine = residency.NewWorker("w", residency.DefaultConfig(2, 4))
	var adapters []table.AdapterVersion
	for adapter := range s.resident {
		adapters = append(adapters, adapter)
	}
	s.machine.Step(s.w.now, residency.Adopted{Resident: adapters, Protection: residency.Protection{All: s.w.now + requestDeadline}})
}

// regain gives the right back after a while.
func (s *site) regain(after time.Duration) {
	s.held = false
	s.step(residency.Suspended{})
	for id, x := range s.calls {
		if s.inUse[x.r.adapter] == 0 {
			delete(s.calls, id)
			s.step(residency.Cancel{ID: id})
			s.refuse(x)
		}
	}
	s.w.after(after, func() {
		s.held = true
		s.boot()
	})
}
