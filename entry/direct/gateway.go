package direct

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/balance"
	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/decision"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
	"github.com/bulrushwick/bulrushwick/entry/upstream"
)

// loader has adapters loaded at workers.
type loader interface {
	load(ctx context.Context, r *Request, want loadWant) (ready bool, reason string)
	members() int
}

// gateway serves callers.
type gateway struct {
	fleet    *fleet
	codec    Codec
	pool     *upstream.Pool
	loads    loader
	log      *decision.Log
	metrics  *metrics
	policy   admission
	draining atomic.Bool
	// closed gateways refuse every request: the instance is about to end.
	closed atomic.Bool
	active atomic.Int64
	// base is the parent of all calls; it ends when the instance must.
	base context.Context
}

// errTimeout ends a request whose caller or route waits no longer.
var errTimeout = errors.New("the request's time is up")

// handle serves one request.
func (g *gateway) handle(ctx *fasthttp.RequestCtx) {
	arrived := now()
	g.active.Add(1)
	if g.draining.Load() {
		ctx.SetConnectionClose()
	}
	table := g.fleet.table()
	if table == nil || g.closed.Load() {
		g.refuseEarly(ctx, fasthttp.StatusServiceUnavailable, "the instance is starting or stopping")
		return
	}
	if limit := table.Config.Limits.MaxHeaderBytes; limit > 0 && len(ctx.Request.Header.RawHeaders()) > limit {
		g.refuseEarly(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "the header is over the limit")
		return
	}
	request, err := g.codec.ParseRequest(ctx)
	if err != nil {
		ctx.SetConnectionClose() // where the next request begins is unsure
		g.refuseEarly(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	route := table.Match(request.Host, request.Path)
	if route == nil {
		g.refuseEarly(ctx, fasthttp.StatusNotFound, "no route for this host and path")
		return
	}
	if limit := table.Config.Limits.MaxBodyBytes; limit > 0 && len(request.Body) > limit {
		g.refuseEarly(ctx, fasthttp.StatusRequestEntityTooLarge, "the body is over the limit")
		return
	}
	g.serve(ctx, g.newCall(ctx, table, route, request, arrived))
}

// refuseEarly answers a request that has no route.
func (g *gateway) refuseEarly(ctx *fasthttp.RequestCtx, status int, reason string) {
	defer g.active.Add(-1)
	g.metrics.refused(strconv.Itoa(status))
	g.log.Line(decision.Refused).Int(decision.FieldStatus, status).Str(decision.FieldReason, reason).Bytes(decision.FieldHost, ctx.Host()).
		Bytes(decision.FieldPath, ctx.Path()).Uint64(decision.FieldConfig, g.version()).Send()
	if status == fasthttp.StatusServiceUnavailable {
		setRetryAfter(ctx, startRetryAfter)
	}
	ctx.SetStatusCode(status)
	ctx.SetBodyString(reason + "\n")
}

// startRetryAfter is when a caller of an instance that starts or stops should
// come back: other instances serve.
const startRetryAfter = 100 * time.Millisecond

func (g *gateway) version() uint64 {
	version, _ := g.fleet.published()
	return version
}

func setRetryAfter(ctx *fasthttp.RequestCtx, after time.Duration) {
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// call is one caller's request on its way.
type call struct {
	*gateway
	request *Request
	route   *routing.Route
	service routing.Service
	version uint64
	arrived time.Duration
	// deadline is when the final answer is due.
	deadline  time.Duration
	ctx       context.Context
	cancel    context.CancelCauseFunc
	stopWatch func()
	// tried counts the attempts by worker.
	tried map[string]int
	// skipped names the workers that did not get the adapter in time.
	skipped map[string]bool
	// resuming is set while a broken stream is continued.
	resuming bool
	// missing names the worker that denied to hold the adapter.
	missing string
	// uncertain is true once an attempt may have run without an answer.
	uncertain bool
	sends     int
	// demand is the number of requests for the adapter lately.
	demand float64
	began  time.Duration
	// loading is the time spent on waiting for adapters.
	loading time.Duration
	// firstByte is when the answer began, after the request's arrival.
	firstByte time.Duration
	progress  *inProgress
	worker    string
}

// endSlack is how long before the caller's or route's deadline the final answer
// is sent.
const endSlack = 20 * time.Millisecond

func (g *gateway) newCall(ctx *fasthttp.RequestCtx, table *routing.Table, route *routing.Route, request *Request, arrived time.Duration) *call {
	limit := route.Timeout
	if request.Wait > 0 && (limit <= 0 || request.Wait < limit) {
		limit = request.Wait
	}
	c := &call{
		gateway: g, request: request, route: route, version: table.Config.Version, arrived: arrived,
		deadline: arrived + limit - endSlack, tried: make(map[string]int), skipped: make(map[string]bool),
	}
	c.service = table.Config.Services[route.Service(request.ID)]
	parent, cancel := context.WithCancelCause(g.base)
	timer := time.AfterFunc(c.deadline-arrived, func() { cancel(errTimeout) })
	watched, cancelWatched, stop := httpx.Watch(parent, ctx)
	c.ctx, c.cancel = watched, cancelWatched
	c.stopWatch = func() {
		timer.Stop()
		stop()
	}
	c.demand = g.fleet.countRequest(arrived, c.service.Name, request.Adapter) * float64(g.loads.members())
	return c
}

// left is the time until the deadline.
func (c *call) left() time.Duration { return c.deadline - now() }

// serve makes attempts until one ends the request.
func (g *gateway) serve(ctx *fasthttp.RequestCtx, c *call) {
	for {
		next := c.attempt(ctx)
		if next == ended {
			return
		}
		if failure := c.mayGoOn(); failure != nil {
			c.fail(ctx, *failure)
			return
		}
	}
}

// step tells what follows an attempt.
type step uint8

const (
	// ended requests have their answer.
	ended step = iota
	// again asks for another attempt.
	again
)

// failure is a final answer of this instance's own.
type failure struct {
	reason     string
	retryAfter time.Duration
}

// mayGoOn returns nil where the request may be sent again.
func (c *call) mayGoOn() *failure {
	switch {
	case c.ctx.Err() != nil:
		return &failure{reason: context.Cause(c.ctx).Error()}
	case c.uncertain && !c.route.Retryable():
		return &failure{reason: "the worker gave no answer and the request may have run"}
	case len(c.tried) >= max(c.route.MaxWorkers, 1):
		return &failure{reason: "every worker that the route allows failed", retryAfter: busyRetryAfter}
	case c.sends >= maxSends:
		return &failure{reason: "every attempt failed", retryAfter: busyRetryAfter}
	case !c.fleet.mayRepeat(now(), c.service.Name, c.loads.members()):
		return &failure{reason: "the budget for repeats is used up", retryAfter: busyRetryAfter}
	}
	return nil
}

// maxSends bounds the attempts of one request, refusals by workers included.
const maxSends = 4

// busyRetryAfter is when a caller should come back after workers refused: half of
// the time in which their slots turn over.
const busyRetryAfter = 500 * time.Millisecond

// maxPlacements bounds the workers that are considered one after the other.
const maxPlacements = 3

// prepare picks a worker and has the adapter loaded there. A load that takes too
// long is not begun at another worker: loads are what is scarce then.
func (c *call) prepare() (worker.Worker, *failure) {
	refusal := &failure{reason: "no instance orders the chosen workers", retryAfter: busyRetryAfter}
	for range maxPlacements {
		choice, refused := c.place()
		if refused != nil {
			return worker.Worker{}, refused
		}
		target, known := c.fleet.worker(choice.Candidate.ID)
		if !known {
			continue
		}
		began := now()
		ready, reason := c.ensureAdapter(choice, target.Born)
		if ready {
			return target, nil
		}
		if c.ctx.Err() != nil {
			return target, &failure{reason: context.Cause(c.ctx).Error()}
		}
		refusal = &failure{reason: reason, retryAfter: busyRetryAfter}
		if now()-began > quickRefusal {
			break
		}
		c.skipped[target.ID] = true
	}
	return worker.Worker{}, refusal
}

// quickRefusal is the time within which a refused load leaves room to look for
// another worker; a round trip between regions and a margin.
const quickRefusal = 100 * time.Millisecond

// attempt sends the request to one worker.
func (c *call) attempt(ctx *fasthttp.RequestCtx) step {
	target, refusal := c.prepare()
	if refusal != nil {
		c.fail(ctx, *refusal)
		return ended
	}
	exchange, err := c.dispatch(target, c.request.ResumeAfter)
	if err != nil {
		return c.noAnswer(ctx, err)
	}
	return c.answered(ctx, exchange)
}

// dispatch sends the request to a worker and waits for the header of the answer.
// resumeAfter is the last event that the caller has.
func (c *call) dispatch(target worker.Worker, resumeAfter string) (*upstream.Exchange, error) {
	c.worker = target.ID
	c.sends++
	c.tried[target.ID]++
	c.began = now()
	r := c.request
	c.progress = c.fleet.begin(target.ID, r.Adapter, r.PromptTokens, r.PromptTokens+r.OutputTokens)
	send := Send{
		Worker: target, Left: c.waitLeft(), Priority: c.priority(), ResumeAfter: resumeAfter, AdapterVersion: c.adapterVersion(),
	}
	exchange, err := c.pool.Send(c.ctx, target.Address, c.codec.AppendRequest(nil, r, send), c.codec.Matches(r))
	if err != nil {
		c.progress.end()
	}
	return exchange, err
}

// priority is the engine's priority for the route's rank.
func (c *call) priority() int {
	if c.service.Engine == nil {
		return -1
	}
	return min(c.route.Rank, 2)*3 + 1
}

// adapterVersion is the newest version that is known of the request's adapter.
func (c *call) adapterVersion() int64 {
	if c.request.Adapter == "" {
		return 0
	}
	return c.fleet.version(c.request.Model, c.request.Adapter)
}

// waitLeft is what remains of the caller's own wait, bounded by the route's.
func (c *call) waitLeft() time.Duration { return max(c.left(), time.Millisecond) }

// place picks a worker or refuses.
func (c *call) place() (balance.Choice, *failure) {
	at := now()
	candidates := c.fleet.candidates(at, c.service, c.request, c.tried, c.skipped)
	demand := balance.Request{Adapter: c.request.Adapter, Tokens: c.request.PromptTokens, Rank: c.route.Rank, Demand: c.demand}
	choice, found := c.fleet.balance.Pick(demand, candidates)
	if !found {
		return choice, &failure{reason: "no worker of the service can take the request", retryAfter: noWorkerRetryAfter}
	}
	if refusal := c.policy.refuse(c, choice); refusal != nil {
		return choice, refusal
	}
	c.log.Line(decision.Placed).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldRoute, c.route.Name).Str(decision.FieldWorker, choice.Candidate.ID).
		Str(decision.FieldAdapter, c.request.Adapter).Uint8(decision.FieldResidency, uint8(choice.Candidate.Residency)).
		Int(decision.FieldRunning, choice.Candidate.Running).Int(decision.FieldWaitingTokens, choice.Candidate.WaitingTokens).
		Dur(decision.FieldNewsAgeMS, c.fleet.newsAge(at)).
		Int(decision.FieldCandidates, len(candidates)).Dur(decision.FieldEstimateMS, choice.Estimate).Dur(decision.FieldLeftMS, c.left()).
		Uint64(decision.FieldConfig, c.version).Send()
	return choice, nil
}

// noWorkerRetryAfter is when a caller should come back where no worker is
// usable; bringing one back takes seconds.
const noWorkerRetryAfter = 500 * time.Millisecond

// minLoadWait is the least time that a request waits for its adapter, about a
// load that finds the store busy.
const minLoadWait = 400 * time.Millisecond

// loadWait is how long the request waits for its adapter: as long as it may
// still begin within its goal.
func (c *call) loadWait() time.Duration {
	reading := time.Duration(float64(c.request.PromptTokens) / c.fleet.balance.TokensPerMS * float64(time.Millisecond))
	left := c.route.TargetLatency - (now() - c.arrived) - reading
	if c.resuming {
		left = resumePatience
	}
	return min(max(left, minLoadWait), c.left())
}

// resumeRank goes before all ranks of routes: the worker that broke off has done
// a part of the work, and the caller waits in the middle of an answer.
const resumeRank = -1

// loadRank is the rank of the request among those that wait for a slot.
func (c *call) loadRank() int {
	if c.resuming {
		return resumeRank
	}
	return c.route.Rank
}

// ensureAdapter has the adapter loaded where the worker does not hold it.
func (c *call) ensureAdapter(choice balance.Choice, born int64) (ready bool, reason string) {
	denied := c.missing == choice.Candidate.ID
	if c.request.Adapter == "" || choice.Candidate.Residency == balance.Resident && !denied {
		return true, ""
	}
	began := now()
	c.worker = choice.Candidate.ID
	wait := c.loadWait()
	ctx, cancel := context.WithTimeout(c.ctx, wait)
	defer cancel()
	want := loadWant{
		worker: choice.Candidate.ID, born: born, adapter: c.request.Adapter, rank: c.loadRank(),
		until: began + wait, missing: denied,
	}
	ready, reason = c.loads.load(ctx, c.request, want)
	took := now() - began
	c.loading += took
	c.metrics.loadWaited(ready, took)
	c.log.Line(decision.LoadWaited).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldWorker, choice.Candidate.ID).
		Str(decision.FieldAdapter, c.request.Adapter).Bool(decision.FieldDenied, denied).Bool(decision.FieldReady, ready).Str(decision.FieldReason, reason).Dur(decision.FieldTookMS, took).Send()
	if ready {
		c.missing = ""
		c.fleet.note(now(), choice.Candidate.ID, c.request.Adapter, true)
	}
	return ready, reason
}

// noAnswer decides after an attempt without an answer.
func (c *call) noAnswer(ctx *fasthttp.RequestCtx, err error) step {
	at := now()
	notSent := upstream.NotSent(err)
	gone := c.ctx.Err() != nil
	c.log.Warn(decision.AttemptFailed, err).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldWorker, c.worker).Bool(decision.FieldSent, !notSent).
		Dur(decision.FieldTookMS, at-c.began).Bool(decision.FieldCanceled, gone).Send()
	if !gone {
		c.fleet.observe(at, c.worker, false)
	}
	if !notSent {
		c.uncertain = true
	}
	if gone {
		c.fail(ctx, failure{reason: context.Cause(c.ctx).Error()})
		return ended
	}
	c.metrics.repeated("no_answer")
	return again
}
