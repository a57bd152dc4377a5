package coord_test

import (
	"container/heap"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/residency"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Durations in the simulated world, and the length of a response.
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

// timedEvent is a scheduled event; sequence orders events of the same time.
type timedEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// lifeRule decides on the attempts of a request.
type lifeRule interface {
	Step(now time.Duration, event attempt.LifecycleEvent) []attempt.LifecycleAction
}

// world simulates one ingress, two workers with an owner each, and the network
// between them in virtual time.
type world struct {
	now      time.Duration
	events   eventQueue
	sequence int

	cell               cell
	remainingFaults    int // faults not yet injected
	idempotent         bool
	newLife            func(w *world, deadline time.Duration) lifeRule
	acceptsAnyResponse bool // broken: the ingress accepts every response
	neverTimesOut      bool // broken: the ingress has no progress timeout
	skipsRightCheck    bool // broken: the owner does not check that it holds the right

	sites          [2]*site
	storeDownUntil time.Duration
	runs           map[int]int // executions by request ID
	evictedInUse   int
	requests       []*request
}

// site is a worker, its owner and the link between ingress and owner.
type site struct {
	world            *world
	index            int
	machine          *residency.Worker
	calls            map[uint64]*exchange
	holdsRight       bool
	incarnation      int           // incarnation of the owner
	frozenUntil      time.Duration // the owner processes nothing before
	partitionedUntil time.Duration // the link delivers nothing before
	extraDelay       time.Duration // added to the latency of each message

	engineIncarnation int
	resident          map[table.AdapterVersion]bool
	inUse             map[table.AdapterVersion]int
	leaving           bool
}

// request is a caller's request at the ingress.
type request struct {
	id          int
	adapter     table.AdapterVersion
	deadline    time.Duration
	life        lifeRule
	current     *exchange
	tried       [2]bool
	received    []int
	outcomes    []attempt.Outcome
	truncated   bool // the response was truncated, or the connection to the caller closed
	ingressLost bool // the ingress was killed
}

// exchange is one attempt of a request, between the ingress and an owner.
type exchange struct {
	request     *request
	site        *site
	attempt     int
	offset      int
	id          uint64
	silent      bool
	extraDelay  time.Duration
	misdirected bool
	lastHeard   time.Duration // when the ingress last received a message of it
	ended       bool
}

func newWorld(c cell, idempotent bool) *world {
	w := &world{cell: c, remainingFaults: c.times, idempotent: idempotent, runs: make(map[int]int)}
	budget := attempt.NewBudget(attempt.DefaultBudgetConfig())
	w.newLife = func(w *world, deadline time.Duration) lifeRule {
		return attempt.NewLifecycle(attempt.DefaultLifecycleConfig(), budget, w.idempotent, deadline)
	}
	for i := range w.sites {
		s := &site{world: w, index: i, holdsRight: true, calls: make(map[uint64]*exchange)}
		s.resident, s.inUse = make(map[table.AdapterVersion]bool), make(map[table.AdapterVersion]int)
		s.boot()
		w.sites[i] = s
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.events, timedEvent{at: w.now + d, sequence: w.sequence, run: run})
}

// run sends one request, and a second one long after all faults have ended.
func (w *world) run() {
	for _, s := range w.sites {
		s.tick()
	}
	w.after(0, func() { w.accept() })
	w.after(probeAt, func() { w.remainingFaults = 0; w.accept() })
	for w.events.Len() > 0 && w.now <= worldEnd {
		next := heap.Pop(&w.events).(timedEvent)
		w.now = next.at
		next.run()
	}
}

// reachStep injects the cell's fault if the request has reached its step.
func (w *world) reachStep(at step, x *exchange, r *request) {
	if w.remainingFaults > 0 && at == w.cell.step {
		w.remainingFaults--
		w.cell.fault.apply(w, x, r)
	}
}

func (w *world) accept() {
	r := &request{id: len(w.requests), adapter: table.AdapterVersion{Adapter: "a", Version: "v1"}, deadline: w.now + requestDeadline}
	w.requests = append(w.requests, r)
	r.life = w.newLife(w, r.deadline)
	w.reachStep(accepted, nil, r)
	w.apply(r, r.life.Step(w.now, attempt.Started{}))
}

// apply carries out the actions that the request's lifeRule returned.
func (w *world) apply(r *request, actions []attempt.LifecycleAction) {
	for _, action := range actions {
		switch a := action.(type) {
		case attempt.Try:
			w.try(r, a)
		case attempt.Report:
			r.outcomes = append(r.outcomes, a.Outcome)
			w.reachStep(answered, r.current, r)
		case attempt.Abort:
			r.truncated = true
			w.reachStep(answered, r.current, r)
		}
	}
}

func (w *world) try(r *request, a attempt.Try) {
	if r.ingressLost {
		return
	}
	w.reachStep(resolved, nil, r)
	s := w.pickSite(r)
	r.tried[s.index] = true
	x := &exchange{request: r, site: s, attempt: a.Attempt, offset: a.Offset, lastHeard: w.now}
	r.current = x
	w.reachStep(forwarded, x, r)
	s.toOwner(x, func() { s.arrive(x) })
	w.watchProgress(x)
}

// pickSite avoids workers that were tried or are leaving if another is
// available.
func (w *world) pickSite(r *request) *site {
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

// watchProgress fails an exchange after progressTimeout without a message.
func (w *world) watchProgress(x *exchange) {
	w.after(progressTimeout, func() {
		if x.ended || x.request.ingressLost || w.neverTimesOut {
			return
		}
		if w.now-x.lastHeard < progressTimeout {
			w.watchProgress(x)
			return
		}
		w.failed(x, attempt.Failure{Sent: true})
	})
}

func (w *world) failed(x *exchange, f attempt.Failure) {
	if x.ended || x.request.ingressLost {
		return
	}
	x.ended = true
	w.apply(x.request, x.request.life.Step(w.now, attempt.Failed{Attempt: x.attempt, Failure: f, Resumable: true}))
}

// toOwner delivers a message to the owner, or never if the connection is
// silent.
func (s *site) toOwner(x *exchange, handle func()) {
	life := s.incarnation
	s.deliver(x, func() {
		if s.incarnation != life {
			s.world.failed(x, attempt.Failure{Sent: true}) // the connection is reset
			return
		}
		s.atOwner(handle)
	})
}

// atOwner runs handle once the owner is not frozen.
func (s *site) atOwner(handle func()) {
	life := s.incarnation
	if wait := s.frozenUntil - s.world.now; wait > 0 {
		s.world.after(wait, func() { s.atOwner(handle) })
		return
	}
	if s.incarnation == life {
		handle()
	}
}

func (s *site) deliver(x *exchange, handle func()) {
	if x.silent {
		return
	}
	s.world.after(hop+s.extraDelay+x.extraDelay+max(s.partitionedUntil-s.world.now, 0), handle)
}

// toIngress delivers a response message. The ingress rejects one that belongs
// to another request.
func (s *site) toIngress(x *exchange, handle func()) {
	s.deliver(x, func() {
		if x.request.ingressLost {
			return
		}
		if x.misdirected && !s.world.acceptsAnyResponse {
			s.world.failed(x, attempt.Failure{Sent: true})
			return
		}
		x.lastHeard = s.world.now
		handle()
	})
}

// refuse responds that the attempt did not run.
func (s *site) refuse(x *exchange) {
	s.toIngress(x, func() { s.world.failed(x, attempt.Failure{Sent: true, Refused: true}) })
}

func (s *site) arrive(x *exchange) {
	if !s.holdsRight && !s.world.skipsRightCheck {
		s.refuse(x)
		return
	}
	s.world.sequence++
	x.id = uint64(s.world.sequence)
	s.calls[x.id] = x
	s.step(residency.Arrive{Request: admission.Request{
		ID: x.id, Adapter: x.request.adapter, Rank: table.Normal, Arrived: s.world.now, Deadline: x.request.deadline,
	}})
	s.world.reachStep(queued, x, x.request)
	s.reportProgress(x)
}

// reportProgress tells the ingress periodically that the attempt is queued or
// running.
func (s *site) reportProgress(x *exchange) {
	life := s.incarnation
	s.world.after(progressTimeout/3, func() {
		if s.calls[x.id] == nil || s.incarnation != life {
			return
		}
		s.atOwner(func() { s.toIngress(x, func() {}) })
		s.reportProgress(x)
	})
}

func (s *site) step(event residency.Event) {
	life := s.incarnation
	for _, action := range s.machine.Step(s.world.now, event) {
		if s.incarnation != life {
			return // killed while carrying out the actions
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

// tick steps the owner's machine periodically.
func (s *site) tick() {
	s.world.after(tickEvery, func() {
		s.atOwner(func() { s.step(residency.Tick{}) })
		s.tick()
	})
}

// waiting returns any open exchange of an adapter, for the steps of its load.
func (s *site) waiting(adapter table.AdapterVersion) *exchange {
	for _, x := range s.calls {
		if x.request.adapter == adapter && !x.ended {
			return x
		}
	}
	return nil
}

func (s *site) load(a residency.Load) {
	if a.Evict != nil {
		if s.inUse[*a.Evict] > 0 {
			s.world.evictedInUse++
		}
		delete(s.resident, *a.Evict)
	}
	if x := s.waiting(a.Adapter); x != nil {
		s.world.reachStep(loadOrdered, x, x.request)
	}
	owner, engine := s.incarnation, s.engineIncarnation
	s.world.after(loadTime, func() {
		failed := s.world.now < s.world.storeDownUntil || s.engineIncarnation != engine
		if !failed {
			s.resident[a.Adapter] = true
		}
		s.atOwner(func() {
			if s.incarnation != owner {
				return
			}
			if x := s.waiting(a.Adapter); x != nil && !failed {
				s.world.reachStep(loaded, x, x.request)
			}
			if s.incarnation != owner {
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
	s.world.reachStep(dispatched, x, x.request)
	if (s.frozenUntil > s.world.now || !s.holdsRight) && !s.world.skipsRightCheck {
		s.end(x, func() { s.refuse(x) }) // the right is checked immediately before the send
		return
	}
	owner, engine := s.incarnation, s.engineIncarnation
	s.world.after(hop, func() {
		if !s.resident[x.request.adapter] {
			s.atOwner(func() { s.resetResidency(x); s.end(x, func() { s.refuse(x) }) })
			return
		}
		s.world.runs[x.request.id]++
		s.inUse[x.request.adapter]++
		s.token(x, x.offset, owner, engine)
	})
}

// resetResidency reports that the engine has lost its adapters.
func (s *site) resetResidency(*exchange) { s.step(residency.Restarted{}) }

func (s *site) token(x *exchange, i, owner, engine int) {
	s.world.after(tokenTime, func() {
		if s.engineIncarnation != engine {
			s.atOwner(func() { s.resetResidency(x); s.end(x, func() { s.failTruncated(x) }) })
			return
		}
		if s.incarnation != owner {
			s.inUse[x.request.adapter]-- // the closed connection cancels the run
			return
		}
		s.relay(x, i)
		if i+1 < tokens {
			s.token(x, i+1, owner, engine)
			return
		}
		s.inUse[x.request.adapter]--
		s.atOwner(func() { s.end(x, func() { s.finish(x) }) })
	})
}

// relay forwards one token through the owner.
func (s *site) relay(x *exchange, i int) {
	s.atOwner(func() {
		s.world.reachStep(map[int]step{x.offset: firstByte, tokens / 2: middle, tokens - 1: lastByte}[i], x, x.request)
		s.toIngress(x, func() { s.world.tokenReceived(x, i) })
	})
}

func (w *world) tokenReceived(x *exchange, i int) {
	actions := x.request.life.Step(w.now, attempt.Delivered{Attempt: x.attempt, Offset: i + 1})
	if len(actions) > 0 && !w.acceptsAnyResponse {
		return // late: not passed on to the caller
	}
	x.request.received = append(x.request.received, i)
}

func (s *site) finish(x *exchange) {
	s.toIngress(x, func() {
		if x.ended {
			return
		}
		x.ended = true
		s.world.apply(x.request, x.request.life.Step(s.world.now, attempt.Completed{Attempt: x.attempt}))
	})
}

// failTruncated reports that the response ended before it was complete.
func (s *site) failTruncated(x *exchange) {
	s.toIngress(x, func() { s.world.failed(x, attempt.Failure{Sent: true}) })
}

// end removes the request at the owner, then calls then.
func (s *site) end(x *exchange, then func()) {
	if s.calls[x.id] == nil {
		return
	}
	delete(s.calls, x.id)
	s.step(residency.Finished{ID: x.id})
	then()
}

// boot starts an owner without memory; it adopts the adapters that the engine
// holds.
func (s *site) boot() {
	s.machine = residency.NewWorker("w", residency.DefaultConfig(2, 4))
	var adapters []table.AdapterVersion
	for adapter := range s.resident {
		adapters = append(adapters, adapter)
	}
	s.machine.Step(s.world.now, residency.Adopted{Resident: adapters, Protection: residency.Protection{All: s.world.now + requestDeadline}})
}

// loseRightFor takes the right away from the owner and returns it after a
// duration.
func (s *site) loseRightFor(after time.Duration) {
	s.holdsRight = false
	s.step(residency.Suspended{})
	for id, x := range s.calls {
		if s.inUse[x.request.adapter] == 0 {
			delete(s.calls, id)
			s.step(residency.Cancel{ID: id})
			s.refuse(x)
		}
	}
	s.world.after(after, func() {
		s.holdsRight = true
		s.boot()
	})
}
