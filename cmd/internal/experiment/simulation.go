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

// tickInterval is the interval of the Tick events that owners apply to their
// workers' state machines, and of loan exchanges.
const tickInterval = 50 * time.Millisecond

// drainTime is how long a run continues after the end of the trace, so that
// pending requests complete or are refused.
const drainTime = 150 * time.Second

// request is an arrival with the state of its processing.
type request struct {
	arrival
	id              uint64
	adapter         table.AdapterVersion
	entry           *entry
	worker          *worker
	attempts        int
	triedWorkers    map[string]bool
	adapterAbsent   bool
	remainingTokens int
	dispatchedAt    time.Duration // last dispatch to the engine
	firstTokenAt    time.Duration // at the engine; at the caller once served
	lastTokenAt     time.Duration // at the caller
	outcome         outcome
	crossBytes      int // bytes sent over the link between regions
}

// outcome is the final state of a request, if it has one.
type outcome int

const (
	pending outcome = iota
	served
	refused
)

// countToken records one generated response token.
func (r *request) countToken(now time.Duration) {
	if r.firstTokenAt == 0 {
		r.firstTokenAt = now
	}
	r.remainingTokens--
}

// worker is an engine with the state machine that its owner keeps for it.
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
	scenario    Scenario
	spec        deployment.Spec
	policy      Policy
	rng         *rand.Rand
	regionOf    map[string]string // data centre to region
	workers     []*worker
	entries     []*entry
	weightStore *weightStore
	inProgress  map[uint64]*request // requests at a worker, by ID
	allRequests []*request
	retries     int
	stepSamples []stepSample
	loadTimes   []time.Duration // when loads were ordered
}

// stepSample records the batch occupancy of one engine step.
type stepSample struct {
	at        time.Duration
	occupancy int
}

// newSimulation builds the entries and workers of a scenario under a policy.
func newSimulation(s Scenario, spec deployment.Spec, p Policy, seed uint64) *simulation {
	sim := &simulation{
		scenario:   s,
		spec:       spec,
		policy:     p,
		rng:        rand.New(rand.NewPCG(seed, uint64(len(p.Name)))),
		regionOf:   make(map[string]string),
		inProgress: make(map[uint64]*request),
	}
	for _, region := range spec.Regions {
		for _, dataCentre := range region.DataCentres {
			sim.regionOf[dataCentre] = region.Name
		}
	}
	sim.weightStore = &weightStore{clock: &sim.clock, service: s.Service, loadFails: sim.loadFails, permits: float64(s.Service.FullSpeedLoads)}
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
		w := &worker{endpoint: endpoint, region: s.regionOf[endpoint.DataCentre], owner: s.ownerOf(endpoint)}
		w.engine = &engine{
			clock:      &s.clock,
			service:    s.scenario.Service,
			batch:      s.spec.Batch,
			resident:   make(map[table.AdapterVersion]int),
			onFinished: func(r *request) { s.handleFinished(w, r) },
			onStep: func(at time.Duration, occupancy int) {
				s.stepSamples = append(s.stepSamples, stepSample{at, occupancy})
			},
		}
		s.workers = append(s.workers, w)
	}
	for _, w := range s.workers {
		w.machine = s.policy.newWorker(s, w)
	}
}

// ownerOf returns the entry of a worker's data centre that owns the worker.
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

// run simulates the trace to its end and the drain time after it.
func (s *simulation) run(trace []arrival) {
	end := seconds(s.scenario.Seconds) + drainTime
	for i, a := range trace {
		r := &request{arrival: a, id: uint64(i + 1), remainingTokens: a.tokens, triedWorkers: make(map[string]bool)}
		r.adapter = table.AdapterVersion{Adapter: s.spec.Adapter(a.adapter), Version: "v1"}
		s.allRequests = append(s.allRequests, r)
		s.after(a.at, func() { s.arrive(r) })
	}
	s.every(millis(s.scenario.Service.ReportMs), end, s.reportLoads)
	for _, e := range s.entries {
		e.setBudgetShare()
	}
	s.every(tickInterval, end, func() {
		for _, e := range s.entries {
			e.exchangeLoans()
		}
		for _, w := range s.workers {
			s.applyEvent(w, residency.Tick{})
		}
	})
	s.scheduleFaults()
	s.clock.run(end)
}

// arrive sends a request to a random running entry of its data centre, or else
// of its region, or else of any region.
func (s *simulation) arrive(r *request) {
	nearby := s.entriesWhere(func(e *entry) bool { return e.dataCentre == r.dataCentre })
	if len(nearby) == 0 {
		nearby = s.entriesWhere(func(e *entry) bool { return s.regionOf[e.dataCentre] == s.regionOf[r.dataCentre] })
	}
	if len(nearby) == 0 {
		nearby = s.entriesWhere(func(*entry) bool { return true })
	}
	r.entry = nearby[s.rng.IntN(len(nearby))]
	s.after(millis(s.scenario.Service.CallerMs), func() { s.place(r) })
}

// entriesWhere lists the running entries that match.
func (s *simulation) entriesWhere(matches func(*entry) bool) []*entry {
	var found []*entry
	for _, e := range s.entries {
		if !e.down && matches(e) {
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
	r.triedWorkers[w.endpoint.Name] = true
	r.attempts++
	r.entry.countSent(w)
	if w.region != s.regionOf[r.dataCentre] {
		r.crossBytes += s.scenario.Service.RequestBytes
	}
	s.after(s.workerLatency(r), func() { s.enqueue(w, r) })
}

// workerLatency returns the one-way latency between the data centre of a request
// and its worker.
func (s *simulation) workerLatency(r *request) time.Duration {
	if s.regionOf[r.dataCentre] != r.worker.region {
		return millis(s.scenario.Service.RegionMs)
	}
	return millis(s.scenario.Service.DataCentreMs)
}

// enqueue passes a request to the worker's state machine, or retries it elsewhere
// if the worker is down.
func (s *simulation) enqueue(w *worker, r *request) {
	s.inProgress[r.id] = r
	if w.engine.down {
		s.retryLost(r)
		return
	}
	if _, resident := w.engine.resident[r.adapter]; !resident {
		r.adapterAbsent = true
	}
	s.applyEvent(w, residency.Arrive{Request: admission.Request{
		ID:       r.id,
		Adapter:  r.adapter,
		Rank:     s.servedRank(r),
		Caller:   r.caller,
		Arrived:  s.now,
		Deadline: r.at + r.deadline,
	}})
}

// servedRank returns the rank with which the policy serves a request.
func (s *simulation) servedRank(r *request) table.Rank {
	if s.policy.ignoreRanks {
		return table.Normal
	}
	return r.rank
}

// applyEvent applies an event to a worker's state machine and executes the
// resulting actions.
func (s *simulation) applyEvent(w *worker, event residency.Event) {
	for _, action := range w.machine.Step(s.now, event) {
		switch a := action.(type) {
		case residency.Load:
			s.startLoad(w, a)
		case residency.Dispatch:
			r := s.inProgress[a.ID]
			r.dispatchedAt = s.now
			w.engine.dispatch(r)
		case residency.Reject:
			s.handleRejection(s.inProgress[a.ID], a.Reason)
		}
	}
}

// startLoad executes a load order on the worker's engine and applies its outcome,
// unless the engine restarted or the state machine was replaced in the meantime.
func (s *simulation) startLoad(w *worker, order residency.Load) {
	if order.Evict != nil {
		w.engine.unload(*order.Evict)
	}
	startEpoch, startMachine := w.engine.epoch, w.machine
	isCurrent := func() bool { return w.machine == startMachine && w.engine.epoch == startEpoch }
	if w.engine.down {
		s.after(refusalDelay, func() {
			if isCurrent() {
				s.applyEvent(w, residency.LoadFailed{Adapter: order.Adapter, Jitter: s.rng.Float64()})
			}
		})
		return
	}
	s.loadTimes = append(s.loadTimes, s.now)
	s.weightStore.load(func(ok bool) {
		switch {
		case !isCurrent():
		case !ok:
			s.applyEvent(w, residency.LoadFailed{Adapter: order.Adapter, Jitter: s.rng.Float64()})
		default:
			w.engine.resident[order.Adapter] = 0
			s.applyEvent(w, residency.Loaded{Adapter: order.Adapter})
		}
	})
}

// maxAttempts limits the attempts of a request whose load failed or whose engine
// was lost.
const maxAttempts = 3

// handleRejection retries a request whose load failed, and refuses others.
func (s *simulation) handleRejection(r *request, reason residency.Reason) {
	delete(s.inProgress, r.id)
	if reason == residency.LoadError && r.attempts < maxAttempts && !r.entry.down {
		s.retry(r)
		return
	}
	r.outcome = refused
}

func (s *simulation) retry(r *request) {
	s.retries++
	r.remainingTokens = r.tokens
	s.after(s.workerLatency(r), func() { s.place(r) })
}

// handleFinished completes a request whose last token the engine has generated.
func (s *simulation) handleFinished(w *worker, r *request) {
	if _, inProgress := s.inProgress[r.id]; !inProgress { // its entry was lost
		s.applyEvent(w, residency.Finished{ID: r.id})
		return
	}
	delete(s.inProgress, r.id)
	returnLatency := s.workerLatency(r) + millis(s.scenario.Service.CallerMs)
	r.firstTokenAt += returnLatency
	r.lastTokenAt = s.now + returnLatency
	r.outcome = served
	if w.region != s.regionOf[r.dataCentre] {
		r.crossBytes += r.tokens * s.scenario.Service.TokenBytes
	}
	s.applyEvent(w, residency.Finished{ID: r.id})
}

// reportLoads updates every entry's view of every worker.
func (s *simulation) reportLoads() {
	for _, w := range s.workers {
		held := w.machine.Held()
		load := w.machine.Load()
		cost := w.machine.LoadCost(s.now)
		for _, e := range s.entries {
			e.applyReport(w, held, load, cost)
		}
	}
}
