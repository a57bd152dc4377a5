package experiment

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// engine batches continuously: each step makes one token for every request in
// the batch, and requests join between steps.
type engine struct {
	clock    *clock
	service  Service
	batch    int
	resident map[table.AdapterVersion]int // requests in progress
	running  []*request
	stepping bool
	epoch    int // restarts so far
	down     bool
	finished func(*request)
	// violations counts orders that must never be given.
	violations int
	stepAt     func(at time.Duration, occupancy int)
}

// dispatch starts a request.
func (e *engine) dispatch(r *request) {
	if _, found := e.resident[r.adapter]; !found || len(e.running) >= e.batch {
		e.violations++
	}
	e.resident[r.adapter]++
	e.running = append(e.running, r)
	e.step()
}

func (e *engine) step() {
	if e.stepping || len(e.running) == 0 {
		return
	}
	e.stepping = true
	e.stepAt(e.clock.now, len(e.running))
	occupancy := len(e.running)
	epoch := e.epoch
	e.clock.after(e.stepTime(occupancy), func() {
		if e.epoch == epoch {
			e.stepped(occupancy)
		}
	})
}

func (e *engine) stepTime(occupancy int) time.Duration {
	return millis(e.service.StepMs + e.service.StepPerRequestMs*float64(occupancy))
}

// stepped gives a token to the requests that were in the batch at the start.
func (e *engine) stepped(occupancy int) {
	e.stepping = false
	var done []*request
	kept := e.running[:0:0]
	for i, r := range e.running {
		if i < occupancy {
			r.token(e.clock.now)
		}
		if r.remaining > 0 {
			kept = append(kept, r)
			continue
		}
		done = append(done, r)
		e.resident[r.adapter]--
	}
	e.running = kept
	for _, r := range done {
		e.finished(r)
	}
	e.step()
}

// unload removes an adapter; one in use is a violation.
func (e *engine) unload(adapter table.AdapterVersion) {
	if e.resident[adapter] > 0 {
		e.violations++
	}
	delete(e.resident, adapter)
}

// restart drops every request and adapter and returns the requests.
func (e *engine) restart() []*request {
	dropped := e.running
	e.running = nil
	e.stepping = false
	e.epoch++
	e.resident = make(map[table.AdapterVersion]int)
	return dropped
}

// weightStore serves loads at a limited rate, each slower when many are in
// transit. A load beyond the rate waits and is counted.
type weightStore struct {
	clock    *clock
	service  Service
	fail     func() bool
	tokens   float64
	filled   time.Duration
	transit  int
	peak     int
	started  int
	overRate int
}

// load calls done when the weights are there or the load failed.
func (s *weightStore) load(done func(ok bool)) {
	if s.transit >= s.service.FullSpeedLoads {
		s.overRate++
	}
	wait := s.reserve()
	if wait > 0 {
		s.overRate++
	}
	s.clock.after(wait, func() { s.begin(done) })
}

func (s *weightStore) begin(done func(ok bool)) {
	s.started++
	s.transit++
	s.peak = max(s.peak, s.transit)
	slowdown := max(float64(s.transit)/float64(s.service.FullSpeedLoads), 1)
	failed := s.fail()
	s.clock.after(time.Duration(float64(millis(s.service.LoadMs))*slowdown), func() {
		s.transit--
		done(!failed)
	})
}

// rounding is what sums of shares may differ from the whole, in loads.
const rounding = 1e-6

// reserve takes a token of the rate and returns the wait for it. The bucket
// holds as many as may be in transit at full speed.
func (s *weightStore) reserve() time.Duration {
	elapsed := (s.clock.now - s.filled).Seconds()
	s.filled = s.clock.now
	s.tokens = min(s.tokens+elapsed*s.service.LoadsPerSecond, float64(s.service.FullSpeedLoads)) - 1
	if s.tokens >= -rounding {
		return 0
	}
	return seconds(-s.tokens / s.service.LoadsPerSecond)
}
