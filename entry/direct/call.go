package direct

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/fairshare"
	"github.com/bulrushwick/bulrushwick/coord/quarantine"
	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
	"github.com/bulrushwick/bulrushwick/entry/quota"
)

// call is the state of one caller's request while it is served. It must be used
// by one goroutine at a time.
type call struct {
	*gateway
	request       *Request
	route         *routing.Route
	service       routing.Service
	configVersion uint64
	arrivedAt     time.Duration
	// deadline is when the final response is due.
	deadline  time.Duration
	ctx       context.Context
	cancel    context.CancelCauseFunc
	stopWatch func()
	// attemptsByWorker counts the attempts at each worker.
	attemptsByWorker map[string]int
	// skippedWorkers holds the workers that did not load the adapter in time.
	skippedWorkers map[string]bool
	// resuming is set while a broken stream is resumed.
	resuming bool
	// deniedBy is the worker that last reported that it does not hold the
	// adapter.
	deniedBy string
	// parts identifies the parts of the prompt that other requests may share.
	parts []quarantine.Part
	// onTrial is set if the request was admitted though one of them is quarantined.
	onTrial bool
	// mayHaveRun is set once an attempt without a usable response may have run.
	mayHaveRun bool
	// sends counts the attempts at all workers.
	sends int
	// adapterDemand estimates the recent number of requests for the adapter
	// over all instances.
	adapterDemand float64
	attemptBegan  time.Duration
	// loadWaitTotal is the time spent waiting for adapters to load.
	loadWaitTotal time.Duration
	// firstByteAfter is the time from the request's arrival to the first byte
	// of the response.
	firstByteAfter time.Duration
	// longestPause is the longest time between two events that were passed on.
	longestPause time.Duration
	// attemptUse and workerID belong to the latest attempt.
	attemptUse *attemptUse
	workerID   string
	target     worker.Worker
	finished   bool
	// judged is what the last decision of admission depended on.
	judged fairshare.Request
	// spending is what the request has taken of its organisation's quota.
	spending quota.Spending
	// learning holds what is learned from the request.
	learning learning
}

// abort ends a request whose state may be inconsistent: the connection to its worker
// is closed, and its use of the worker ends.
func (c *call) abort(cause error) {
	c.cancel(cause)
	c.stopWatch()
	if c.attemptUse != nil {
		c.attemptUse.end()
	}
	c.finish("panicked", fasthttp.StatusInternalServerError)
}

// deadlineMargin is how long before the caller's or the route's deadline the
// final response is sent.
const deadlineMargin = 20 * time.Millisecond

// routedCall returns the state of a request before its first attempt, without the context
// in which it is served.
func (g *gateway) routedCall(table *routing.Table, route *routing.Route, request *Request, arrived time.Duration) *call {
	limit := waitLimit(route, request)
	c := &call{
		gateway: g, request: request, route: route, configVersion: table.Config.Version, arrivedAt: arrived,
		deadline: arrived + limit - deadlineMargin, attemptsByWorker: make(map[string]int), skippedWorkers: make(map[string]bool),
	}
	c.parts = quarantine.PartsOf(request.PromptParts)
	c.service = table.Config.Services[route.Service(request.ID)]
	return c
}

func (g *gateway) newCall(ctx *fasthttp.RequestCtx, table *routing.Table, route *routing.Route, request *Request, arrived time.Duration) *call {
	c := g.routedCall(table, route, request, arrived)
	parent, cancel := context.WithCancelCause(g.baseContext)
	timer := time.AfterFunc(c.deadline-arrived, func() { cancel(errTimeout) })
	watchedContext, cancelWatched, stop := httpx.Watch(parent, ctx)
	c.ctx, c.cancel = watchedContext, cancelWatched
	c.stopWatch = func() {
		timer.Stop()
		stop()
	}
	c.adapterDemand = g.fleet.demand.countRequest(arrived, c.service.Name, request.Adapter) * float64(g.loader.instanceCount())
	return c
}

// waitLimit returns how long after its arrival a request may take.
func waitLimit(route *routing.Route, request *Request) time.Duration {
	if request.Wait > 0 && (route.Timeout <= 0 || request.Wait < route.Timeout) {
		return request.Wait
	}
	return route.Timeout
}

// rank returns the rank of the request; 0 is the most urgent.
func (c *call) rank() int { return c.route.EffectiveRank(c.request.Organisation) }

// timeLeft returns the time until the deadline.
func (c *call) timeLeft() time.Duration { return c.deadline - now() }
