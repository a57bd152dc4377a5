package direct

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/bulrushwick/bulrushwick/coord/balance"
	"github.com/bulrushwick/bulrushwick/coord/fairshare"
	"github.com/bulrushwick/bulrushwick/entry/decision"
)

// admission refuses requests that would be answered after their deadline, or that would
// take scarce capacity from others; see coord/fairshare.
type admission struct {
	policy fairshare.Policy
}

func defaultAdmission() admission { return admission{policy: fairshare.DefaultPolicy()} }

// refusalReasons are the reasons of refusals by verdict.
var refusalReasons = map[fairshare.Verdict]string{
	fairshare.TooLate:    "the estimated wait exceeds the time left",
	fairshare.AboveShare: "the organisation is above its share of busy workers",
	fairshare.Yielding:   "more urgent requests are refused",
}

// refuse returns a failure if the request should not wait for the chosen worker, and nil
// otherwise.
func (a admission) refuse(c *call, choice balance.Choice) *failure {
	request := c.shareRequest(choice)
	c.judged = request
	verdict := a.decide(c, request)
	if verdict == fairshare.Admitted {
		return nil
	}
	refusal := &failure{reason: refusalReasons[verdict], scarce: request.Scarce(verdict), yields: verdict != fairshare.TooLate}
	if request.HasOrganisation {
		refusal.retryAfter = a.policy.RetryAfter(request, verdict, rand.Float64())
	} else {
		refusal.retryAfter = min(choice.Wait/2, c.timeLeft()/3)
	}
	return refusal
}

// choose picks one of the candidates, or returns why the request is refused. A suspect
// worker is picked where the preferred one would answer too late.
func (c *call) choose(request balance.Request, candidates []balance.Candidate) (balance.Choice, *failure) {
	choice, found := c.fleet.balance.Pick(request, candidates)
	if !found {
		return choice, noWorkerFailure(candidates)
	}
	refusal := c.admission.refuse(c, choice)
	if refusal == nil {
		return choice, nil
	}
	if soonest, _ := c.fleet.balance.PickSoonest(request, candidates); c.admission.refuse(c, soonest) == nil {
		return soonest, nil
	}
	if refusal.yields {
		// An organisation above its share is refused where its requests delay others, not
		// where workers are idle.
		if least, found := c.fleet.balance.PickLeastContended(request, candidates); found && c.admission.refuse(c, least) == nil {
			return least, nil
		}
	}
	return choice, refusal
}

// decide decides on a request. Without organisations no outcomes are counted.
func (a admission) decide(c *call, request fairshare.Request) fairshare.Verdict {
	if !request.HasOrganisation {
		return a.policy.Decide(now(), request, nil)
	}
	return c.fleet.organisations.decide(now(), a.policy, c.service.Name, request)
}

// shareRequest returns what decisions under scarcity depend on.
func (c *call) shareRequest(choice balance.Choice) fairshare.Request {
	at, target := now(), c.route.TargetLatency
	if target <= 0 {
		target = c.deadline - c.arrivedAt
	}
	r := fairshare.Request{
		Rank: c.rank(), Wait: choice.Wait, Contention: choice.Contention, Left: c.deadline - at, FullTime: c.deadline - c.arrivedAt,
		Target: target, TargetLeft: c.arrivedAt + target - at, Started: c.sends > 0,
	}
	table := c.fleet.config.table()
	if table != nil && table.RequiresKeys() {
		r.HasOrganisation, r.Ratio = true, c.fleet.organisations.ratio(at, table, c.request.organisationName())
	}
	return r
}

// expectedWork returns the time that the request is expected to occupy a worker.
func (c *call) expectedWork() time.Duration {
	batch := 0
	if c.service.Engine != nil {
		batch = max(c.service.Engine.BatchSize, 1)
	}
	work := fairshare.Work(c.request.PromptTokens, cmp.Or(int(c.learning.expectedTokens), c.request.OutputTokens), batch)
	return min(work, max(c.timeLeft(), 0)) // callers state the tokens, without a bound
}

// recordOutcome counts for the order of ranks whether the request got a worker. Refusals
// for other reasons than scarcity do not count, nor those of an organisation above its
// share.
func (c *call) recordOutcome(refusal *failure) {
	if !c.judged.HasOrganisation {
		return
	}
	if refusal == nil || refusal.scarce && !c.judged.AboveShare() {
		c.fleet.organisations.record(now(), c.service.Name, c.rank(), refusal == nil)
	}
}

// addContention adds what the last decision of admission depended on to a log line.
func (c *call) addContention(line *zerolog.Event) *zerolog.Event {
	line = line.Dur(decision.FieldWaitMS, c.judged.Wait).Dur(decision.FieldContentionMS, c.judged.Contention)
	if !c.judged.HasOrganisation {
		return line
	}
	return line.Str(decision.FieldOrganisation, c.request.organisationName()).Float64(decision.FieldShareRatio, math.Round(c.judged.Ratio*100)/100)
}
