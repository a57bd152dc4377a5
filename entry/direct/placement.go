package direct

import (
	"math/rand/v2"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/balance"
	"github.com/bulrushwick/bulrushwick/entry/decision"
)

// placement is what the choice of a worker depends on.
type placement struct {
	request    balance.Request
	candidates []balance.Candidate
}

// placement returns what the choice of a worker depends on now. It has no effect on
// other requests.
func (c *call) placement(at time.Duration) placement {
	p := placement{
		candidates: c.fleet.candidates(at, c.service, c.request, c.attemptsByWorker, c.skippedWorkers),
		request:    balance.Request{Adapter: c.request.Adapter, Tokens: c.request.PromptTokens, Rank: c.rank(), Demand: c.adapterDemand},
	}
	c.fleet.costs.prepare(at, c, &p.request, p.candidates)
	return p
}

// pickWorker picks a worker, or returns why the request is refused.
func (c *call) pickWorker() (balance.Choice, *failure) {
	at := now()
	p := c.placement(at)
	choice, refusal := c.choose(p.request, p.candidates)
	if refusal != nil {
		return choice, refusal
	}
	c.learning.chosen(c, p.request, choice)
	c.addContention(c.log.Line(decision.Placed)).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldRoute, c.route.Name).Str(decision.FieldWorker, choice.Candidate.ID).
		Str(decision.FieldAdapter, c.request.Adapter).Uint8(decision.FieldResidency, uint8(choice.Candidate.Residency)).
		Int(decision.FieldRunning, choice.Candidate.Running).Int(decision.FieldWaitingTokens, choice.Candidate.WaitingTokens).
		Int(decision.FieldRemainingTokens, choice.Candidate.RemainingTokens).Int(decision.FieldKeptTokens, choice.Candidate.KeptTokens).
		Float64(decision.FieldPromptFactor, choice.Candidate.PromptFactor).Float64(decision.FieldStepFactor, choice.Candidate.StepFactor).Float64(decision.FieldLoadFactor, choice.Candidate.LoadFactor).
		Float64(decision.FieldPace, choice.Candidate.Pace).Int(decision.FieldExpectedTokens, p.request.OutputTokens).
		Dur(decision.FieldNewsAgeMS, c.fleet.usage.newestAge(at)).
		Int(decision.FieldCandidates, len(p.candidates)).Dur(decision.FieldEstimateMS, choice.Estimate).Dur(decision.FieldLeftMS, c.timeLeft()).
		Uint64(decision.FieldConfig, c.configVersion).Send()
	return choice, nil
}

// noWorkerRetryAfter is the Retry-After if no worker is usable; recovering one
// takes seconds.
const noWorkerRetryAfter = 500 * time.Millisecond

// returnSpread is the largest fraction by which a Retry-After is extended at random
// where many callers are refused for one reason, so that they do not return together.
const returnSpread = 0.25

// noWorkerFailure returns why no candidate can take the request. Where workers asked
// for a pause, the caller may return when the first one ends.
func noWorkerFailure(candidates []balance.Candidate) *failure {
	left, found := balance.ShortestHoldOff(candidates)
	if !found {
		return &failure{reason: "no worker of the service can take the request", retryAfter: noWorkerRetryAfter}
	}
	spread := time.Duration(returnSpread * rand.Float64() * float64(left))
	return &failure{reason: "every worker asked for a pause", retryAfter: left + spread}
}
