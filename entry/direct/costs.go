package direct

import (
	"bytes"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/balance"
	"github.com/bulrushwick/bulrushwick/coord/cost"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
)

// costs holds what this instance has learned of the costs of requests. Its methods do
// nothing if learning is turned off. It is safe for concurrent use.
type costs struct {
	enabled bool
	mu      sync.Mutex
	model   *cost.Model
}

func newCosts(enabled bool) *costs { return &costs{enabled: enabled, model: cost.NewModel()} }

// learning is what is learned from one request. Its zero value is ready for use.
type learning struct {
	parts []cost.Part
	// expectedTokens is the expected length of the response; 0 if it is unknown.
	expectedTokens float64
	// attempt follows the latest attempt, as chosen by the latest choice.
	attempt cost.Attempt
}

// prepare adds the learned figures to the candidates and to the request that a worker
// is chosen for.
func (s *costs) prepare(at time.Duration, c *call, request *balance.Request, candidates []balance.Candidate) {
	if !s.enabled || c.service.Engine == nil {
		return
	}
	l := &c.learning
	if l.parts == nil && len(c.request.PartTokens) == len(c.request.PromptParts) {
		for i, id := range c.request.PromptParts {
			l.parts = append(l.parts, cost.Part{Hash: cost.PartHash(c.request.Model + "/" + c.request.Adapter + "\x00" + id), Tokens: c.request.PartTokens[i]})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.expectedTokens == 0 {
		l.expectedTokens = s.model.Lengths.Expect(c.route.Name, c.request.Adapter, c.request.OutputHint, c.request.OutputTokens)
	}
	view := s.model.View(at, c.service.Name, len(candidates), func(i int) string { return candidates[i].ID })
	request.OutputTokens, request.TokenTime, request.Seed = int(l.expectedTokens), view.TokenTime(), rand.Uint64()
	for i := range candidates {
		candidate := &candidates[i]
		factors, kept := view.Worker(i, candidate.ID, l.parts)
		candidate.PromptFactor, candidate.StepFactor, candidate.LoadFactor = factors.Prompt, factors.Step, factors.Load
		candidate.KeptTokens = kept
	}
}

// chosen records the choice that the next attempt is based on.
func (l *learning) chosen(c *call, request balance.Request, choice balance.Choice) {
	w := choice.Candidate
	pace := max(w.Pace, 0)
	if pace == 0 {
		pace = 1
	}
	l.attempt = cost.Attempt{
		Service: c.service.Name, Worker: w.ID, Parts: l.parts, RTT: w.RTT,
		Step: time.Duration(pace * float64(cost.StepTime(w.Running+1, w.CacheTokens+request.Tokens))),
	}
	if choice.Direct {
		own := max(request.Tokens-w.KeptTokens, 0)
		first := cost.FirstTime(c.fleet.balance.TokensPerMS, w.WaitingTokens+own, w.Running, w.CacheTokens+request.Tokens)
		l.attempt.First, l.attempt.Estimate = time.Duration(pace*float64(first)), choice.Wait
	}
}

// sent records when the request was sent to the chosen worker.
func (l *learning) sent(at time.Duration) { l.attempt.SentAt = at }

// learnEvents counts the whole events that were read and not counted before.
func (s *eventStream) learnEvents(at time.Duration) {
	costs := s.fleet.costs
	if !costs.enabled || s.service.Engine == nil || s.countedBytes >= s.readyBytes {
		return
	}
	count := bytes.Count(s.buffered[s.countedBytes:s.readyBytes], eventEnd)
	s.countedBytes = s.readyBytes
	if count == 0 {
		return
	}
	costs.mu.Lock()
	costs.model.Events(at, &s.learning.attempt, count)
	costs.mu.Unlock()
	s.attemptUse.progressed(s.learning.attempt.Tokens())
}

// eventEnd is the end of an event.
var eventEnd = []byte("\n\n")

// ended records a complete response.
func (s *costs) ended(at time.Duration, c *call) {
	if !s.enabled || c.service.Engine == nil || c.resuming || c.request.ResumeAfter != "" {
		return // a resumed response is a part of one
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Ended(at, &c.learning.attempt, c.route.Name, c.request.Adapter, c.request.OutputHint)
}

// loaded records how long a load took. Loads that others began, and those after a
// worker's denial, say nothing of its speed.
func (s *costs) loaded(at time.Duration, c *call, choice balance.Choice, denied bool, took time.Duration) {
	if !s.enabled || denied || choice.Candidate.Residency != balance.Absent {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Speeds.ObserveLoad(at, c.service.Name, choice.Candidate.ID, c.request.Adapter, took)
}

// countWaiting counts the request as in progress at a worker while it waits there for
// its adapter, so that this instance and its peers know of it. The result ends that.
func (s *costs) countWaiting(c *call, id string) func() {
	if !s.enabled {
		return func() {}
	}
	r := c.request
	use := c.fleet.usage.begin(id, r.Adapter, r.PromptTokens, r.PromptTokens+r.OutputTokens, c.learning.expectedTokens, func() {})
	use.waitsForAdapter()
	return use.end
}

// forget drops what is known of a worker that is gone or restarted.
func (s *costs) forget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Forget(id)
}

// Units in which estimates of speeds are sent to peers.
const (
	speedLogUnit       = 0.01
	speedPrecisionUnit = 0.25
)

// applyPeer stores what a peer observed of workers.
func (s *costs) applyPeer(at time.Duration, peer string, update *clusterpb.News) {
	if !s.enabled {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, use := range update.GetUses() {
		s.model.Shared.Set(at, peer, use.GetWorker(), speedLogUnit*float64(use.GetSpeedLog()), speedPrecisionUnit*float64(use.GetSpeedPrecision()))
	}
}

// appendOwn adds what this instance observed to the uses of a heartbeat, and uses for
// what is new of other workers.
func (s *costs) appendOwn(at time.Duration, update *clusterpb.News) {
	if !s.enabled {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	used := make(map[string]bool, len(update.GetUses()))
	for _, use := range update.GetUses() {
		used[use.GetWorker()] = true
		observed, _ := s.model.Speeds.Observed(at, use.GetWorker())
		encodeSpeed(use, observed)
	}
	s.model.Speeds.EachNew(at, func(id string, observed cost.Estimate) {
		if !used[id] {
			use := &clusterpb.WorkerUse{Worker: id}
			encodeSpeed(use, observed)
			update.Uses = append(update.Uses, use)
		}
	})
}

// appendExcept adds what this instance and all peers but one observed to the uses of a
// reply.
func (s *costs) appendExcept(at time.Duration, update *clusterpb.News, excluded string) {
	if !s.enabled {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, use := range update.GetUses() {
		observed, _ := s.model.Speeds.Observed(at, use.GetWorker())
		encodeSpeed(use, observed.Plus(s.model.Shared.Except(at, use.GetWorker(), excluded)))
	}
}

func encodeSpeed(use *clusterpb.WorkerUse, observed cost.Estimate) {
	use.SpeedLog = int32(math.Round(observed.Mean() / speedLogUnit))
	use.SpeedPrecision = uint32(observed.Precision / speedPrecisionUnit)
}

// updateGauges sets the gauges of the learned figures, over all services.
func (s *costs) updateGauges(at time.Duration, m *metrics, tokensPerMS float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lowest, highest := cost.Neutral(), cost.Neutral()
	for _, service := range s.model.Speeds.Services() {
		low, high := s.model.Speeds.View(at, service).Extremes()
		lowest = cost.Factors{Prompt: min(lowest.Prompt, low.Prompt), Step: min(lowest.Step, low.Step), Load: min(lowest.Load, low.Load)}
		highest = cost.Factors{Prompt: max(highest.Prompt, high.Prompt), Step: max(highest.Step, high.Step), Load: max(highest.Load, high.Load)}
		m.tagged("service", service).Gauge("learned_prompt_tokens_per_ms").Update(tokensPerMS / s.model.Speeds.View(at, service).PromptRatio())
	}
	for work, bounds := range map[string][2]float64{
		"prompt": {lowest.Prompt, highest.Prompt}, "step": {lowest.Step, highest.Step}, "load": {lowest.Load, highest.Load},
	} {
		scope := m.tagged("work", work)
		scope.Gauge("learned_factor_lowest").Update(bounds[0])
		scope.Gauge("learned_factor_highest").Update(bounds[1])
	}
	m.setGauge("estimate_error_factor", s.model.EstimateError())
}
