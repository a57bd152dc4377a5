package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/residency"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// tickEvery is the interval at which owners let time pass on their workers.
const tickEvery = 50 * time.Millisecond

// drain is how long a run goes on after the last arrival.
const drain = 150 * time.Second

// request is an arrival on its way.
type request struct {
	arrival
	id        uint64
	adapter   table.AdapterVersion
	entry     *entry
	worker    *worker
	attempts  int
	tried     map[string]bool
	stalled   bool
	remaining int
	started   time.Duration // at the engine
	first     time.Duration // first token at the caller
	ended     time.Duration // last token at the caller
	outcome   outcome
	cross     int // bytes over the link between regions
}

type outcome int

const (
	pending outcome = iota
	served
	refused
)

// token counts one token of the answer.
func (r *request) token(now time.Duration) {
	if r.first == 0 {
		r.first = now
	}
	r.remaining--
}

// worker is an engine with its owner's state machine.
type worker struct {
	endpoint table.Endpoint
	region   string
	machine  *residency.Worker
	engine   *engine
	owner    *entry
}

// simulation is one run of one policy over one trace.
type simulation struct {
	clock
	scenario Scenario
	spec     deployment.Spec
	policy   Policy
	rng      *rand.Rand
	regions  map[string]string
	workers  []*worker
	entries  []*entry
	store    *weightStore
	requests map[uint64]*request
	all      []*request
	retries  int
	steps    []stepSample
	loadTime []time.Duration
}

// stepSample is the occupancy of one engine step.
type stepSample struct {
	at        time.Duration
	occupancy int
}

// newSimulation builds the fleet of a scenario under a policy.
func newSimulation(s Scenario, spec deployment.Spec, p Policy, seed uint64) *simulation {
	sim := &simulation{
		scenario: s,
		spec:     spec,
		policy:   p,
		rng:      rand.New(rand.NewPCG(seed, uint64(len(p.Name)))),
		regions:  make(map[string]string),
		requests: make(map[uint64]*request),
	}
	for _, region := range spec.Regions {
		for _, dataCentre := range region.DataCentres {
			sim.regions[dataCentre] = region.Name
		}
	}
	sim.store = &weightStore{clock: &sim.clock, service: s.Service, fail: sim.loadFails, tokens: float64(s.Service.FullSpeedLoads)}
	sim.addEntries()
	sim.addWorkers()
	return sim
}

func (s *simulation) addEntries() {
	dataCentres := s.spec.DataCentres()
	for i := range s.scenario.Service.Entries {
		dataCentre := dataCentres[i%len(dataCentres)]
		s.entries = append(s.entries, newEntry(s, fmt.Sprintf("entry-%d", i), dataCentre))
	}
}

func (s *simulation) addWorkers() {
	endpoints := s.spec.Endpoints(s.spec.EnginePool, make([]string, s.spec.Workers))
	for _, endpoint := range endpoints {
		w := &worker{endpoint: endpoint, region: s.regions[endpoint.DataCentre], owner: s.ownerOf(endpoint)}
		w.engine = &engine{
			clock:    &s.clock,
			service:  s.scenario.Service,
			batch:    s.spec.Batch,
			resident: make(map[table.AdapterVersion]int),
			finished: func(r *request) { s.finished(w, r) },
			stepAt: func(at time.Duration, occupancy int) {
				s.steps = append(s.steps, stepSample{at, occupancy})
			},
		}
		s.workers = append(s.workers, w)
	}
	for _, w := range s.workers {
		w.machine = s.policy.newWorker(s, w)
	}
}

func (s *simulation) ownerOf(endpoint table.Endpoint) *entry {
	var names []string
	byName := make(map[string]*entry)
	for _, e := range s.entries {
		if e.dataCentre == endpoint.DataCentre {
			names = append(names, e.name)
			byName[e.name] = e
		}
	}
	return byName[ownership.Rank(endpoint.Name, names)[0]]
}

// run plays the trace to its end.
func (s *simulation) run(trace []arrival) {
	end := seconds(s.scenario.Seconds) + drain
	for i, a := range trace {
		r := &request{arrival: a, id: uint64(i + 1), remaining: a.tokens, tried: make(map[string]bool)}
		r.adapter = table.AdapterVersion{Adapter: s.spec.Adapter(a.adapter), Version: "v1"}
		s.all = append(s.all, r)
		s.after(a.at, func() { s.arrive(r) })
	}
	s.every(millis(s.scenario.Service.ReportMs), end, s.report)
	for _, e := range s.entries {
		e.startBudget()
	}
	s.every(tickEvery, end, func() {
		for _, e := range s.entries {
			e.borrow()
		}
		for _, w := range s.workers {
			s.step(w, residency.Tick{})
		}
	})
	s.scheduleFaults()
	s.clock.run(end)
}

// arrive brings a request to an entry of its data centre, or of its region where
// there is none.
func (s *simulation) arrive(r *request) {
	near := s.entriesWhere(func(e *entry) bool { return e.dataCentre == r.dataCentre })
	if len(near) == 0 {
		near = s.entriesWhere(func(e *entry) bool { return s.regions[e.dataCentre] == s.regions[r.dataCentre] })
	}
	if len(near) == 0 {
		near = s.entriesWhere(func(*entry) bool { return true })
	}
	r.entry = near[s.rng.IntN(len(near))]
	s.after(millis(s.scenario.Service.CallerMs), func() { s.place(r) })
}

// entriesWhere lists the entries that are up and suit.
func (s *simulation) entriesWhere(suits func(*entry) bool) []*entry {
	var found []*entry
	for _, e := range s.entries {
		if !e.down && suits(e) {
			found = append(found, e)
		}
	}
	return found
}

// place sends a request to the owner of the worker that the entry picks.
func (s *simulation) place(r *request) {
	w, found := r.entry.pick(r)
	if !found {
		r.outcome = refused
		return
	}
	r.worker = w
	r.tried[w.endpoint.Name] = true
	r.attempts++
	r.entry.begin(w)
	if w.region != s.regions[r.dataCentre] {
		r.cross += s.scenario.Service.RequestBytes
	}
	s.after(s.latency(r), func() { s.queue(w, r) })
}

func (s *simulation) latency(r *request) time.Duration {
	if s.regions[r.dataCentre] != r.worker.region {
		return millis(s.scenario.Service.RegionMs)
	}
	return millis(s.scenario.Service.DataCentreMs)
}

// queue hands a request to the worker's machine.
func (s *simulation) queue(w *worker, r *request) {
	s.requests[r.id] = r
	if w.engine.down {
		s.dropped(r)
		return
	}
	if _, resident := w.engine.resident[r.adapter]; !resident {
		r.stalled = true
	}
	s.step(w, residency.Arrive{Request: admission.Request{
		ID:       r.id,
		Adapter:  r.adapter,
		Rank:     s.served(r),
		Caller:   r.caller,
		Arrived:  s.now,
		Deadline: r.at + r.deadline,
	}})
}

// served returns the rank by which the policy serves a request.
func (s *simulation) served(r *request) table.Rank {
	if s.policy.ignoreRanks {
		return table.Normal
	}
	return r.rank
}

// step applies an event to a worker's machine and carries out its actions.
func (s *simulation) step(w *worker, event residency.Event) {
	for _, action := range w.machine.Step(s.now, event) {
		switch a := action.(type) {
		case residency.Load:
			s.load(w, a)
		case residency.Dispatch:
			r := s.requests[a.ID]
			r.started = s.now
			w.engine.dispatch(r)
		case residency.Reject:
			s.rejected(s.requests[a.ID], a.Reason)
		}
	}
}

func (s *simulation) load(w *worker, order residency.Load) {
	if order.Evict != nil {
		w.engine.unload(*order.Evict)
	}
	epoch, machine := w.engine.epoch, w.machine
	current := func() bool { return w.machine == machine && w.engine.epoch == epoch }
	if w.engine.down {
		s.after(refusalWait, func() {
			if current() {
				s.step(w, residency.LoadFailed{Adapter: order.Adapter, Jitter: s.rng.Float64()})
			}
		})
		return
	}
	s.loadTime = append(s.loadTime, s.now)
	s.store.load(func(ok bool) {
		switch {
		case !current():
		case !ok:
			s.step(w, residency.LoadFailed{Adapter: order.Adapter, Jitter: s.rng.Float64()})
		default:
			w.engine.resident[order.Adapter] = 0
			s.step(w, residency.Loaded{Adapter: order.Adapter})
		}
	})
}

// maxAttempts bounds the attempts of a request whose load failed or whose
// engine was lost.
const maxAttempts = 3

func (s *simulation) rejected(r *request, reason residency.Reason) {
	delete(s.requests, r.id)
	if reason == residency.LoadError && r.attempts < maxAttempts && !r.entry.down {
		s.retry(r)
		return
	}
	r.outcome = refused
}

func (s *simulation) retry(r *request) {
	s.retries++
	r.remaining = r.tokens
	s.after(s.latency(r), func() { s.place(r) })
}

func (s *simulation) finished(w *worker, r *request) {
	if _, held := s.requests[r.id]; !held { // its entry is gone
		s.step(w, residency.Finished{ID: r.id})
		return
	}
	delete(s.requests, r.id)
	back := s.latency(r) + millis(s.scenario.Service.CallerMs)
	r.first += back
	r.ended = s.now + back
	r.outcome = served
	if w.region != s.regions[r.dataCentre] {
		r.cross += r.tokens * s.scenario.Service.TokenBytes
	}
	s.step(w, residency.Finished{ID: r.id})
}

// report brings every entry's view up to the present.
func (s *simulation) report() {
	for _, w := range s.workers {
		held := w.machine.Held()
		load := w.machine.Load()
		cost := w.machine.LoadCost(s.now)
		for _, e := range s.entries {
			e.report(w, held, load, cost)
		}
	}
}
