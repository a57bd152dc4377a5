package routes

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/balance"
	"github.com/bulrushwick/bulrushwick/coord/cost"
)

// Policy is one way to choose workers.
type Policy struct {
	Name string
	// config returns the costs that the choice is computed with.
	config func() balance.Config
	// countsWaiting makes instances count requests that wait for an adapter as in
	// progress at the worker.
	countsWaiting bool
	// inform changes what an instance knows of the candidates before it chooses.
	inform func(s *simulation, r *request, query *balance.Request, candidates []balance.Candidate)
}

// Policies lists today's product, its state without learning, and the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "learned", config: balance.DefaultConfig, countsWaiting: true, inform: learned},
		{Name: "constants", config: balance.DefaultConfig, inform: func(*simulation, *request, *balance.Request, []balance.Candidate) {}},
		{Name: "in-progress", config: countConfig, inform: countOnly},
		{Name: "two-choices", config: twoChoicesConfig, inform: twoChoices},
		{Name: "true-costs", config: oracleConfig, countsWaiting: true, inform: trueCosts},
		{Name: "oracle", config: oracleConfig, inform: oracle},
	}
}

// countConfig counts requests in progress as about the time that one takes.
func countConfig() balance.Config {
	c := balance.DefaultConfig()
	c.StepCost, c.TokensPerMS, c.InterferenceShare = 20*time.Millisecond, 1e9, 0
	return c
}

// twoChoicesConfig has no preferred workers.
func twoChoicesConfig() balance.Config {
	c := countConfig()
	c.SpreadCost = 0
	return c
}

// countOnly leaves only the requests in progress and the adapters.
func countOnly(_ *simulation, _ *request, _ *balance.Request, candidates []balance.Candidate) {
	for i := range candidates {
		c := &candidates[i]
		c.Pace, c.WaitingTokens, c.CacheTokens = 1, 0, 0
	}
}

// twoChoices leaves two random candidates of those with the adapter, and a random one
// of all, which the adapter spreads to when the others are busy.
func twoChoices(s *simulation, r *request, query *balance.Request, candidates []balance.Candidate) {
	countOnly(s, r, query, candidates)
	var suitable []int
	for i := range candidates {
		if candidates[i].Residency != balance.Absent {
			suitable = append(suitable, i)
		}
		candidates[i].Avoid = true
	}
	candidates[s.rng.IntN(len(candidates))].Avoid = false
	for range min(len(suitable), 2) {
		candidates[suitable[s.rng.IntN(len(suitable))]].Avoid = false
	}
}

// toldShare is the mean share of the waiting prompt tokens of a heartbeat that still
// wait, with the half-life that the product assumes.
const toldShare = 0.7

// learned adds what the instance has learned.
func learned(s *simulation, r *request, query *balance.Request, candidates []balance.Candidate) {
	i := s.instances[r.instance]
	parts := r.parts()
	if i.model.Speeds.RefreshDue(s.now, service) {
		for _, w := range s.workers {
			i.model.Speeds.SetPeers(service, w.id, s.shared.Except(s.now, w.id, i.name))
		}
	}
	view := i.model.Speeds.View(s.now, service)
	query.OutputTokens, query.TokenTime, query.Seed = int(r.attempt.expected), view.TokenTime(), s.rng.Uint64()
	for n := range candidates {
		c := &candidates[n]
		factors, kept := view.Worker(n, c.ID, parts)
		c.PromptFactor, c.StepFactor, c.LoadFactor, c.KeptTokens = factors.Prompt, factors.Step, factors.Load, kept
		c.WaitingTokens = i.own[n].waitingTokens + int(toldShare*float64(c.WaitingTokens-i.own[n].waitingTokens))
		u := s.told[n]
		u.add(i.told[n], -1)
		u.add(i.own[n], 1)
		if u.running > 0 {
			c.RemainingTokens = u.remainingTokens * c.Running / u.running
		}
	}
}

// parts returns the part of the prompt that other requests share.
func (r *request) parts() []cost.Part {
	return []cost.Part{{Hash: cost.PartHash(r.adapter), Tokens: r.shared}}
}

// oracleConfig has no random terms, since the oracle knows all requests.
func oracleConfig() balance.Config {
	c := balance.DefaultConfig()
	c.RandomShare = 0
	return c
}

// trueCosts adds the true costs to what the instance knows of requests in progress.
func trueCosts(s *simulation, r *request, query *balance.Request, candidates []balance.Candidate) {
	query.OutputTokens, query.TokenTime = r.outputTokens(), oracleTokenTime
	for i := range candidates {
		setTrueCosts(s, r, i, &candidates[i])
	}
}

// setTrueCosts sets the true factors and kept parts of a worker.
func setTrueCosts(s *simulation, r *request, index int, c *balance.Candidate) {
	w := s.workers[index]
	c.Pace, c.PromptFactor = 1, w.factor*w.phase(s.now)
	c.StepFactor, c.LoadFactor, c.KeptTokens = c.PromptFactor, w.factor, w.keptTokens(r)
}

// oracle replaces what the instance knows by the true state of the workers.
func oracle(s *simulation, r *request, query *balance.Request, candidates []balance.Candidate) {
	query.OutputTokens, query.TokenTime = r.outputTokens(), oracleTokenTime
	for i := range candidates {
		c := &candidates[i]
		c.WaitingTokens, c.CacheTokens, c.RemainingTokens, c.Running = 0, 0, 0, 0
		for _, other := range s.inProgress[i] {
			c.Running++
			c.CacheTokens += other.prompt + other.outputTokens()
			c.RemainingTokens += other.outputTokens() - other.made
			if other.made == 0 {
				c.WaitingTokens += other.unprocessed
			}
		}
		setTrueCosts(s, r, i, c)
	}
}

// oracleTokenTime is the time per token in a batch that is in use.
const oracleTokenTime = 20 * time.Millisecond
