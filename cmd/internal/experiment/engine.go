package experiment

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// engine simulates continuous batching: each step generates one token for every
// request in the batch, and requests join between steps.
type engine struct {
	clock      *clock
	service    Service
	batch      int
	resident   map[table.AdapterVersion]int // adapter to its requests in progress
	running    []*request
	stepping   bool
	epoch      int // number of restarts so far
	down       bool
	onFinished func(*request)
	// violations counts orders that break an invariant: a dispatch without the
	// adapter resident or beyond the batch size, or the eviction of an adapter in
	// use.
	violations int
	onStep     func(at time.Duration, occupancy int)
}

// dispatch adds a request to the batch; it joins at the next step.
func (e *engine) dispatch(r *request) {
	if _, found := e.resident[r.adapter]; !found || len(e.running) >= e.batch {
		e.violations++
	}
	e.resident[r.adapter]++
	e.running = append(e.running, r)
	e.startStep()
}

// startStep begins a step unless one is running or the batch is empty. A restart
// before the end of the step discards it.
func (e *engine) startStep() {
	if e.stepping || len(e.running) == 0 {
		return
	}
	e.stepping = true
	e.onStep(e.clock.now, len(e.running))
	occupancy := len(e.running)
	epoch := e.epoch
	e.clock.after(e.stepTime(occupancy), func() {
		if e.epoch == epoch {
			e.finishStep(occupancy)
		}
	})
}

func (e *engine) stepTime(occupancy int) time.Duration {
	return millis(e.service.StepMs + e.service.StepPerRequestMs*float64(occupancy))
}

// finishStep generates a token for each request that was in the batch when the
// step began.
func (e *engine) finishStep(occupancy int) {
	e.stepping = false
	var finished []*request
	unfinished := e.running[:0:0]
	for i, r := range e.running {
		if i < occupancy {
			r.countToken(e.clock.now)
		}
		if r.remainingTokens > 0 {
			unfinished = append(unfinished, r)
			continue
		}
		finished = append(finished, r)
		e.resident[r.adapter]--
	}
	e.running = unfinished
	for _, r := range finished {
		e.onFinished(r)
	}
	e.startStep()
}

// unload removes an adapter; if it is in use, that is a violation.
func (e *engine) unload(adapter table.AdapterVersion) {
	if e.resident[adapter] > 0 {
		e.violations++
	}
	delete(e.resident, adapter)
}

// restart drops all requests and adapters and returns the requests.
func (e *engine) restart() []*request {
	interrupted := e.running
	e.running = nil
	e.stepping = false
	e.epoch++
	e.resident = make(map[table.AdapterVersion]int)
	return interrupted
}

// weightStore simulates the store of adapter weights: loads start at a limited
// rate and slow down when many are in transit. A load beyond the rate waits and
// is counted in overRate.
type weightStore struct {
	clock       *clock
	service     Service
	loadFails   func() bool
	permits     float64
	refilledAt  time.Duration
	inTransit   int
	peakTransit int
	started     int
	overRate    int
}

// load starts a load and calls done when it has succeeded or failed. A load that
// exceeds both the transit limit and the rate counts twice in overRate.
func (s *weightStore) load(done func(ok bool)) {
	if s.inTransit >= s.service.FullSpeedLoads {
		s.overRate++
	}
	wait := s.reservePermit()
	if wait > 0 {
		s.overRate++
	}
	s.clock.after(wait, func() { s.startTransfer(done) })
}

func (s *weightStore) startTransfer(done func(ok bool)) {
	s.started++
	s.inTransit++
	s.peakTransit = max(s.peakTransit, s.inTransit)
	slowdown := max(float64(s.inTransit)/float64(s.service.FullSpeedLoads), 1)
	failed := s.loadFails()
	s.clock.after(time.Duration(float64(millis(s.service.LoadMs))*slowdown), func() {
		s.inTransit--
		done(!failed)
	})
}

// roundingTolerance is the difference, in loads, by which the sum of the entries'
// shares may exceed the whole limit through floating-point rounding.
const roundingTolerance = 1e-6

// reservePermit takes a permit from the token bucket of the load rate and returns
// the wait until it is available. The bucket holds FullSpeedLoads permits.
func (s *weightStore) reservePermit() time.Duration {
	elapsed := (s.clock.now - s.refilledAt).Seconds()
	s.refilledAt = s.clock.now
	s.permits = min(s.permits+elapsed*s.service.LoadsPerSecond, float64(s.service.FullSpeedLoads)) - 1
	if s.permits >= -roundingTolerance {
		return 0
	}
	return seconds(-s.permits / s.service.LoadsPerSecond)
}
