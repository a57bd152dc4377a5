package routes

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/balance"
	"github.com/bulrushwick/bulrushwick/coord/condition"
	"github.com/bulrushwick/bulrushwick/coord/cost"
)

// service is the name of the only service.
const service = "model"

// drainTime is how long a run continues after the trace, so that requests complete.
const drainTime = 60 * time.Second

// simulation is one run of one policy over one trace.
type simulation struct {
	clock
	scenario  Scenario
	policy    Policy
	config    balance.Config
	rng       *rand.Rand
	workers   []*worker
	instances []*instance
	// told sums the use that heartbeats told of, by worker.
	told []use
	// shared holds what heartbeats told of the speeds of workers.
	shared *cost.Shared
	// inProgress holds the requests sent to each worker and not complete.
	inProgress []map[*request]*request
	// held counts the requests in progress by worker and adapter.
	held []map[string]int
}

func newSimulation(s Scenario, p Policy, seed uint64) *simulation {
	sim := &simulation{
		scenario: s, policy: p, config: p.config(), rng: rand.New(rand.NewPCG(seed, 2)), told: make([]use, s.Workers), shared: cost.NewShared(),
	}
	for range s.Workers {
		sim.addWorker(seed)
	}
	sim.drawFactors(seed)
	for n := range s.Instances {
		i := &instance{
			name: fmt.Sprintf("i%02d", n), region: n % regions, own: make([]use, s.Workers), told: make([]use, s.Workers), loads: make([]condition.Load, s.Workers),
			model: cost.NewModel(), demand: balance.NewDemand(),
		}
		sim.instances = append(sim.instances, i)
		offset := millis(s.HeartbeatMs * float64(n) / float64(s.Instances))
		sim.after(offset, func() { sim.tell(i) })
	}
	return sim
}

func (s *simulation) addWorker(seed uint64) {
	index := len(s.workers)
	w := &worker{
		clock: &s.clock, id: fmt.Sprintf("w%03d", index), index: index, region: index % regions, scenario: &s.scenario, seed: seed,
		evictedAt: make(map[string]time.Duration), partsAt: make(map[string]time.Duration),
	}
	w.onEvent = s.receive
	s.workers = append(s.workers, w)
	s.inProgress = append(s.inProgress, make(map[*request]*request))
	s.held = append(s.held, make(map[string]int))
}

// drawFactors draws the time factors of all workers.
func (s *simulation) drawFactors(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	for _, w := range s.workers {
		w.factor = s.scenario.FastestFactor + rng.Float64()*(s.scenario.SlowestFactor-s.scenario.FastestFactor)
	}
}

// tell publishes an instance's use, and repeats that with each heartbeat.
func (s *simulation) tell(i *instance) {
	for w := range i.own {
		s.told[w].add(i.told[w], -1)
		i.told[w] = i.own[w]
		if observed, isNew := i.model.Speeds.Observed(s.now, s.workers[w].id); observed.Precision > 0 && (isNew || i.own[w].running > 0) {
			s.shared.Set(s.now, i.name, s.workers[w].id, observed.Mean(), observed.Precision)
		}
		s.told[w].add(i.told[w], 1)
	}
	if s.now < seconds(s.scenario.Seconds)+drainTime {
		s.after(millis(s.scenario.HeartbeatMs), func() { s.tell(i) })
	}
}

// run simulates the trace.
func (s *simulation) run(trace []*request) {
	for _, r := range trace {
		s.after(r.at, func() { s.place(r) })
	}
	if at := s.scenario.RestartSeconds; at > 0 {
		s.after(seconds(at), func() { s.drawFactors(s.rng.Uint64()) })
	}
	s.runUntil(seconds(s.scenario.Seconds) + drainTime)
}

// place chooses a worker for a request and sends it there.
func (s *simulation) place(r *request) {
	i := s.instances[r.instance]
	r.attempt.expected = i.model.Lengths.Expect(r.route, r.adapter, r.hint, 0)
	query := balance.Request{Adapter: r.adapter, Tokens: r.prompt, Demand: i.demand.Add(s.now, r.adapter) * float64(len(s.instances))}
	candidates := s.candidates(r, i)
	s.policy.inform(s, r, &query, candidates)
	choice, found := s.config.Pick(query, candidates)
	if !found {
		return
	}
	s.send(r, i, choice)
}

func (s *simulation) send(r *request, i *instance, choice balance.Choice) {
	c := choice.Candidate
	for index, w := range s.workers {
		if w.id == c.ID {
			r.worker = s.workers[index]
		}
	}
	pace := max(c.Pace, 0.01)
	r.attempt.model = cost.Attempt{
		Service: service, Worker: c.ID, Parts: r.parts(), RTT: c.RTT,
		Step: time.Duration(pace * float64(cost.StepTime(c.Running+1, c.CacheTokens+r.prompt))),
	}
	if choice.Direct {
		own := max(r.prompt-c.KeptTokens, 0)
		first := cost.FirstTime(s.config.TokensPerMS, c.WaitingTokens+own, c.Running, c.CacheTokens+r.prompt)
		r.attempt.model.First, r.attempt.model.Estimate = time.Duration(pace*float64(first)), choice.Estimate
	}
	r.unprocessed = r.prompt
	s.inProgress[r.worker.index][r] = r
	s.held[r.worker.index][r.adapter]++
	if s.policy.countsWaiting {
		i.sent(r)
	}
	r.worker.load(r, func() {
		r.attempt.model.SentAt = s.now
		if !s.policy.countsWaiting {
			i.sent(r)
		}
		s.after(c.RTT/2, func() { r.worker.arrive(r) })
	})
}

// candidates returns what an instance knows of the workers, as of heartbeats, load
// headers and its own requests. Which adapters they hold is known exactly.
func (s *simulation) candidates(r *request, i *instance) []balance.Candidate {
	all := make([]balance.Candidate, len(s.workers))
	for n, w := range s.workers {
		u := s.told[n]
		u.add(i.told[n], -1)
		u.add(i.own[n], 1)
		c := balance.Candidate{
			ID: w.id, Usable: true, InScope: true, Orderable: true, Pace: i.loads[n].Pace(s.now), BatchSize: batchSize, CacheCapacity: cacheCapacity,
			Running: u.running, WaitingTokens: u.waitingTokens, CacheTokens: u.cacheTokens,
			AdapterRunning: s.held[n][r.adapter], FreeSlots: adapterSlots - len(w.slots), RTT: ownRegionRTT,
		}
		if w.region != i.region {
			c.RTT = crossRegionRTT
		}
		if running, reported := i.loads[n].InProgress(s.now); reported {
			c.Running = max(c.Running, running)
		}
		for _, held := range w.slots {
			if held.inUse == 0 {
				c.IdleSlots++
			}
			if held.adapter == r.adapter {
				c.Residency = balance.Resident
				if held.readyAt > s.now {
					c.Residency = balance.Loading
				}
			}
		}
		all[n] = c
	}
	return all
}

// receive passes an event of a worker to the instance after the latency between them.
func (s *simulation) receive(r *request, last bool) {
	w, i := r.worker, s.instances[r.instance]
	report := condition.LoadReport{
		Running: len(w.prompts) + len(w.decoding), Waiting: len(w.batchQueue) + len(w.adapterQueue), Slots: batchSize, Pace: w.phase(s.now),
	}
	if s.scenario.PaceIncludesFactor {
		report.Pace *= w.factor
	}
	if last {
		delete(s.inProgress[w.index], r)
		if s.held[w.index][r.adapter]--; s.held[w.index][r.adapter] == 0 {
			delete(s.held[w.index], r.adapter)
		}
	}
	s.after(r.attempt.model.RTT/2, func() {
		if r.firstAt == 0 {
			r.firstAt = s.now
		}
		if last {
			r.lastAt = s.now
		}
		i.event(s.now, r, report, last)
	})
}
