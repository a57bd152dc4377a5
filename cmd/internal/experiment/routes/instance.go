package routes

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/balance"
	"github.com/bulrushwick/bulrushwick/coord/condition"
	"github.com/bulrushwick/bulrushwick/coord/cost"
)

// use is what an instance knows of its requests in progress at one worker.
type use struct{ running, waitingTokens, cacheTokens, remainingTokens int }

func (u *use) add(other use, sign int) {
	u.running += sign * other.running
	u.waitingTokens += sign * other.waitingTokens
	u.cacheTokens += sign * other.cacheTokens
	u.remainingTokens += sign * other.remainingTokens
}

// attempt is what an instance knows of a request that it has sent.
type attempt struct {
	own      use
	expected float64
	model    cost.Attempt
}

// instance chooses workers for the requests of its callers.
type instance struct {
	name   string
	region int
	// own and told hold its requests in progress by worker: those now, and those that
	// its last heartbeat told of.
	own, told []use
	loads     []condition.Load
	model     *cost.Model
	demand    *balance.Demand
}

// change changes the use by an attempt.
func (i *instance) change(w int, a *attempt, changed use) {
	i.own[w].add(changed, 1)
	a.own.add(changed, 1)
}

// sent records a request that is sent to its worker.
func (i *instance) sent(r *request) {
	i.loads[r.worker.index].Sent()
	i.change(r.worker.index, &r.attempt, use{running: 1, waitingTokens: r.prompt, cacheTokens: r.prompt + r.outputTokens(), remainingTokens: cost.Remaining(r.attempt.expected, 0)})
}

// event records an event of a response, and the load header with the first one.
func (i *instance) event(now time.Duration, r *request, report condition.LoadReport, last bool) {
	a, w := &r.attempt, r.worker.index
	if a.own.waitingTokens > 0 {
		i.loads[w].Observe(now, report)
	}
	i.model.Events(now, &a.model, 1)
	i.change(w, a, use{waitingTokens: -a.own.waitingTokens, remainingTokens: cost.Remaining(a.expected, a.model.Tokens()) - a.own.remainingTokens})
	if last {
		i.loads[w].Ended()
		i.own[w].add(a.own, -1)
		i.model.Ended(now, &a.model, r.route, r.adapter, r.hint)
	}
}
