package direct

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/balance"
	"github.com/bulrushwick/bulrushwick/coord/fairshare"
	"github.com/bulrushwick/bulrushwick/coord/quarantine"
	"github.com/bulrushwick/bulrushwick/coord/slots"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/decision"
	"github.com/bulrushwick/bulrushwick/entry/intake"
	"github.com/bulrushwick/bulrushwick/entry/quota"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
	"github.com/bulrushwick/bulrushwick/entry/revocation"
	"github.com/bulrushwick/bulrushwick/entry/upstream"
)

// adapterLoader loads adapters at workers.
type adapterLoader interface {
	requestLoad(ctx context.Context, r *Request, load loadRequest) (ready bool, reason string)
	instanceCount() int
}

// gateway receives callers' requests and dispatches them to workers. Its fields
// are safe for concurrent use once it serves.
type gateway struct {
	fleet   *fleet
	codec   Codec
	pool    *upstream.Pool
	loader  adapterLoader
	log     *decision.Log
	metrics *metrics
	// workerLeaves is called when a worker process says in a response to a request
	// that it leaves.
	workerLeaves func(w worker.Worker, request string)
	admission    admission
	guard        *promptGuard
	// revocation knows whether keys may be judged by the configuration in force.
	revocation *revocation.Checker
	versionLag *versionLag
	// quota is nil if quotas are not enforced.
	quota *quota.Client
	// intake reads the bodies of requests and bounds callers' memory.
	intake   *intake.Intake
	draining atomic.Bool
	// closed is set when the instance is about to exit; every request is
	// refused then.
	closed atomic.Bool
	// dispatchEnds is the time from which an instance that stops passes no request on,
	// as a time.Duration; 0 while it does not stop.
	dispatchEnds   atomic.Int64
	activeRequests atomic.Int64
	// baseContext is the parent of all calls; it is canceled when the instance
	// exits.
	baseContext context.Context
}

// errTimeout is the cancellation cause of a request whose deadline has passed.
var errTimeout = errors.New("the request's time is up")

// handle receives, routes and serves one request.
func (g *gateway) handle(ctx *fasthttp.RequestCtx) {
	g.activeRequests.Add(1)
	var c *call
	defer func() {
		if value := recover(); value != nil {
			g.failPanicked(ctx, c, recovery.New("request", value))
		}
	}()
	if g.draining.Load() {
		ctx.SetConnectionClose()
	}
	table := g.servingTable()
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
		ctx.SetConnectionClose() // the start of the next request is unknown
		g.refuseEarly(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	route := table.Match(request.Host, request.Path)
	if route == nil {
		g.refuseEarly(ctx, fasthttp.StatusNotFound, "no route for this host and path")
		return
	}
	if !g.admitKey(ctx, table, route, request) {
		return
	}
	if !g.readBody(ctx, table, request) {
		return
	}
	arrived := now() // the caller's time counts from the end of the body
	spending, admitted := g.takeQuota(ctx, route, request)
	if !admitted {
		return
	}
	c = g.newCall(ctx, table, route, request, arrived)
	c.spending = spending
	g.serve(ctx, c)
}

// failPanicked ends a request in which this process hit a programming error. c is nil
// if the request was not routed yet. The status promises nothing.
func (g *gateway) failPanicked(ctx *fasthttp.RequestCtx, c *call, cause *recovery.Panic) {
	g.reportPanic(cause)
	if c == nil {
		g.activeRequests.Add(-1)
	} else {
		c.abort(cause)
	}
	ctx.Response.Reset()
	ctx.SetConnectionClose()
	ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	ctx.SetBodyString("internal error\n")
}

// reportPanic logs and counts a panic that was confined to a request or a task.
func (g *gateway) reportPanic(p *recovery.Panic) {
	g.metrics.countPanic(p.Task)
	g.log.Warn(decision.Panicked, p).Str(decision.FieldTask, p.Task).Str(decision.FieldStack, p.Stack).Send()
}

// refuseEarly sends the error response of a request that was not routed.
func (g *gateway) refuseEarly(ctx *fasthttp.RequestCtx, status int, reason string) {
	defer g.activeRequests.Add(-1)
	intake.LeaveUnread(ctx)
	g.metrics.countRefusal(strconv.Itoa(status))
	g.log.Line(decision.Refused).Int(decision.FieldStatus, status).Str(decision.FieldReason, reason).Bytes(decision.FieldHost, ctx.Host()).
		Bytes(decision.FieldPath, ctx.Path()).Uint64(decision.FieldConfig, g.configVersion()).Send()
	if status == fasthttp.StatusServiceUnavailable && len(ctx.Response.Header.Peek(fasthttp.HeaderRetryAfter)) == 0 {
		setRetryAfter(ctx, unavailableRetryAfter)
	}
	ctx.SetStatusCode(status)
	ctx.SetBodyString(reason + "\n")
}

// unavailableRetryAfter is the Retry-After of an instance that starts or stops;
// other instances serve meanwhile.
const unavailableRetryAfter = 100 * time.Millisecond

func (g *gateway) configVersion() uint64 { return g.fleet.config.version() }

func setRetryAfter(ctx *fasthttp.RequestCtx, after time.Duration) {
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// serve makes attempts until the request has a final response.
func (g *gateway) serve(ctx *fasthttp.RequestCtx, c *call) {
	for {
		next := c.attempt(ctx)
		if next == actionDone {
			return
		}
		if refusal := c.checkRetry(); refusal != nil {
			c.fail(ctx, *refusal)
			return
		}
	}
}

// nextAction is what follows an attempt.
type nextAction uint8

const (
	// actionDone means that the final response was sent or has begun.
	actionDone nextAction = iota
	// actionRetry asks for another attempt.
	actionRetry
)

// failure is an error response of this instance's own. The reason is sent to
// the caller and is a label of the refusals metric.
type failure struct {
	reason     string
	retryAfter time.Duration
	// scarce is set if the request was refused for want of workers or adapter slots.
	scarce bool
	// yields is set if the request was refused for the sake of others.
	yields bool
}

// checkRetry returns nil if the request may be sent again; it has taken a retry
// from the budget then.
func (c *call) checkRetry() *failure {
	switch {
	case c.ctx.Err() != nil:
		return &failure{reason: context.Cause(c.ctx).Error()}
	case c.mayHaveRun && !c.route.Retryable():
		return &failure{reason: "the worker gave no answer and the request may have run"}
	case c.mayHaveRun && c.guard.suspect(c.parts):
		return &failure{reason: "workers crashed under requests with a part of the prompt"}
	case len(c.attemptsByWorker) >= max(c.route.MaxWorkers, 1):
		return &failure{reason: "every worker that the route allows failed", retryAfter: busyRetryAfter}
	case c.sends >= maxSends:
		return &failure{reason: "every attempt failed", retryAfter: busyRetryAfter}
	case !c.fleet.demand.takeRetry(now(), c.service.Name, c.loader.instanceCount()):
		return &failure{reason: "the budget for repeats is used up", retryAfter: busyRetryAfter}
	}
	return nil
}

// maxSends bounds the attempts of one request, including those that workers
// refused.
const maxSends = 4

// busyRetryAfter is the Retry-After once workers have refused: half of the time
// in which their slots turn over.
const busyRetryAfter = 500 * time.Millisecond

// maxPlacements bounds the workers that are tried one after the other for one
// attempt.
const maxPlacements = 3

// prepareWorker picks a worker and has the adapter loaded there. After a load
// that took too long no other worker is tried, because load capacity is scarce
// then.
func (c *call) prepareWorker() (worker.Worker, *failure) {
	refusal := &failure{reason: "no instance orders the chosen workers", retryAfter: busyRetryAfter}
	for range maxPlacements {
		if refused := c.checkDispatch(); refused != nil {
			return worker.Worker{}, refused
		}
		choice, refused := c.pickWorker()
		if refused != nil {
			return worker.Worker{}, refused
		}
		target, known := c.fleet.workers.find(choice.Candidate.ID)
		if !known {
			continue
		}
		began := now()
		ready, reason := c.prepareAt(choice, target)
		if ready {
			claimed, refused := c.claim(target)
			if claimed || refused != nil {
				return target, refused
			}
			reason = "the chosen worker leaves or asked for a pause"
		}
		if c.ctx.Err() != nil {
			return target, &failure{reason: context.Cause(c.ctx).Error()}
		}
		refusal = &failure{reason: reason, retryAfter: busyRetryAfter, scarce: reason == reasonBusy || reason == reasonLoadTooLate}
		if now()-began > maxQuickRefusal {
			break
		}
		c.skippedWorkers[target.ID] = true
	}
	return worker.Worker{}, refusal
}

// prepareAt has the adapter loaded at a worker that has room for the body.
func (c *call) prepareAt(choice balance.Choice, target worker.Worker) (ready bool, reason string) {
	if !c.fleet.bodies.fits(target.ID, len(c.request.Body)) {
		return false, "the bodies in progress at the worker are at the limit"
	}
	return c.ensureAdapter(choice, target.Born)
}

// claim reports whether the request may be sent to a worker that has its adapter. What
// is known of the worker and of the prompt may have changed during the load, and the quota
// that was taken may have expired.
func (c *call) claim(target worker.Worker) (bool, *failure) {
	if quarantined := c.checkQuarantine(); quarantined != nil {
		return false, quarantined
	}
	if refused := c.renewQuota(); refused != nil {
		return false, refused
	}
	return c.claimWithBody(target), nil
}

// checkDispatch returns a failure if the request may not be passed on at all.
func (c *call) checkDispatch() *failure {
	if refused := c.checkStopping(); refused != nil {
		return refused
	}
	return c.checkQuarantine()
}

// checkStopping returns a failure if the instance stops and passes no request on.
func (c *call) checkStopping() *failure {
	if ends := c.dispatchEnds.Load(); ends > 0 && now() >= time.Duration(ends) && !c.resuming {
		return &failure{reason: "the instance stops", retryAfter: unavailableRetryAfter}
	}
	return nil
}

// checkQuarantine returns a failure if a part of the prompt is in quarantine.
func (c *call) checkQuarantine() *failure {
	if c.onTrial {
		return nil
	}
	verdict := c.guard.admit(c.parts)
	c.onTrial = verdict == quarantine.Trial
	return quarantineFailure(verdict)
}

// quarantineFailure returns the failure of a request that must not be sent to a worker.
func quarantineFailure(verdict quarantine.Verdict) *failure {
	if verdict != quarantine.Refused {
		return nil
	}
	return &failure{reason: "a part of the prompt crashes workers", retryAfter: quarantineRetryAfter}
}

// quarantineRetryAfter is the Retry-After of a request with a quarantined part:
// longer than callers wait, so that they do not come back in vain.
const quarantineRetryAfter = time.Minute

// maxQuickRefusal is how quickly a load must be refused for another worker to
// be tried: a round trip between regions and a margin.
const maxQuickRefusal = 100 * time.Millisecond

// attempt sends the request to one worker and handles the response.
func (c *call) attempt(ctx *fasthttp.RequestCtx) nextAction {
	target, refusal := c.prepareWorker()
	c.recordOutcome(refusal)
	if refusal != nil {
		c.fail(ctx, *refusal)
		return actionDone
	}
	exchange, err := c.dispatch(target, c.request.ResumeAfter)
	if err != nil {
		return c.handleNoResponse(ctx, err)
	}
	return c.handleResponse(ctx, exchange)
}

// dispatch sends the request to a worker and waits for the header of the
// response. resumeAfter is the id of the last event that the caller has
// received.
func (c *call) dispatch(target worker.Worker, resumeAfter string) (*upstream.Exchange, error) {
	c.workerID, c.target = target.ID, target
	c.sends++
	c.attemptsByWorker[target.ID]++
	c.attemptBegan = now()
	r := c.request
	c.attemptUse = c.fleet.beginAttempt(target.ID, r, c.learning.expectedTokens, c.expectedWork())
	c.learning.sent(c.attemptBegan)
	attempt := Attempt{
		Worker: target, Left: c.waitLeft(), Priority: c.enginePriority(), ResumeAfter: resumeAfter, AdapterVersion: c.requiredAdapterVersion(),
	}
	exchange, err := c.pool.Send(c.ctx, target.Address, upstream.Request{
		ID: r.ID, Bytes: c.codec.AppendHead(nil, r, attempt), Body: r.Body,
		Attribute: func(h *fasthttp.ResponseHeader) upstream.Attribution { return c.codec.Attribute(r, h) },
	})
	if err != nil {
		c.attemptUse.end()
	}
	return exchange, err
}

// enginePriority returns the engine's priority for the request, or -1 for a service without
// an engine.
func (c *call) enginePriority() int {
	if c.service.Engine == nil {
		return -1
	}
	return fairshare.EnginePriority(c.shareRequest(balance.Choice{}))
}

// requiredAdapterVersion returns the newest known version of the request's
// adapter, or 0 for any.
func (c *call) requiredAdapterVersion() int64 {
	if c.request.Adapter == "" {
		return 0
	}
	return c.fleet.versions.get(c.request.Model, c.request.Adapter)
}

// waitLeft returns the time left as it is sent to the worker; at least 1 ms.
func (c *call) waitLeft() time.Duration { return max(c.timeLeft(), time.Millisecond) }

// minLoadWait is the least time that a request waits for its adapter, about the
// time of a load from a busy weight store.
const minLoadWait = 400 * time.Millisecond

// loadWaitLimit returns how long the request waits for its adapter: as long as
// it can still begin within its route's goal. Where workers have no free slot it is less
// for organisations above their share.
func (c *call) loadWaitLimit(choice balance.Choice) time.Duration {
	prefill := time.Duration(float64(c.request.PromptTokens) / c.fleet.balance.TokensPerMS * float64(time.Millisecond))
	limit := c.route.TargetLatency - (now() - c.arrivedAt) - prefill
	if c.resuming {
		limit = resumeTimeout
	} else if choice.Candidate.FreeSlots+choice.Candidate.IdleSlots == 0 {
		limit = c.admission.policy.LoadWait(c.shareRequest(choice), limit, minLoadWait)
	}
	return min(max(limit, minLoadWait), c.timeLeft())
}

// resumeRank precedes the ranks of all routes: the worker whose stream broke
// has done part of the work, and the caller waits in the middle of a response.
const resumeRank = -1

// loadRank returns the rank of the request among those that wait for an adapter
// slot.
func (c *call) loadRank() int {
	if c.resuming {
		return resumeRank
	}
	return c.rank()
}

// ensureAdapter has the adapter loaded if the worker does not hold it.
func (c *call) ensureAdapter(choice balance.Choice, born int64) (ready bool, reason string) {
	denied := c.deniedBy == choice.Candidate.ID
	if c.request.Adapter == "" || choice.Candidate.Residency == balance.Resident && !denied {
		return true, ""
	}
	began := now()
	c.workerID = choice.Candidate.ID
	wait := c.loadWaitLimit(choice)
	defer c.fleet.costs.countWaiting(c, choice.Candidate.ID)()
	ctx, cancel := context.WithTimeout(c.ctx, wait)
	defer cancel()
	load := loadRequest{
		worker: choice.Candidate.ID, born: born, adapter: c.request.Adapter,
		priority: slots.Priority{Rank: c.loadRank(), Share: fairshare.ShareClass(c.shareRequest(choice))}, deadline: began + wait, denied: denied,
	}
	ready, reason = c.loader.requestLoad(ctx, c.request, load)
	took := now() - began
	c.loadWaitTotal += took
	c.metrics.recordLoadWait(ready, took)
	c.log.Line(decision.LoadWaited).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldWorker, choice.Candidate.ID).
		Str(decision.FieldAdapter, c.request.Adapter).Bool(decision.FieldDenied, denied).Bool(decision.FieldReady, ready).Str(decision.FieldReason, reason).Dur(decision.FieldTookMS, took).Send()
	if ready {
		c.fleet.costs.loaded(now(), c, choice, denied, took)
		c.deniedBy = ""
		c.fleet.residency.observe(now(), choice.Candidate.ID, c.request.Adapter, true)
	}
	return ready, reason
}

// handleNoResponse handles an attempt that ended without a response.
func (c *call) handleNoResponse(ctx *fasthttp.RequestCtx, err error) nextAction {
	at := now()
	notSent := upstream.NotSent(err)
	canceled := c.ctx.Err() != nil
	c.log.Warn(decision.AttemptFailed, err).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldWorker, c.workerID).Strs(decision.FieldParts, c.request.PromptParts).Bool(decision.FieldSent, !notSent).
		Dur(decision.FieldTookMS, at-c.attemptBegan).Bool(decision.FieldCanceled, canceled).Send()
	if !canceled {
		c.fleet.conditions.recordResult(at, c.workerID, false)
	}
	if !notSent {
		c.mayHaveRun = true
		if !canceled {
			c.guard.reportBroken(c.target, c.parts)
		}
	}
	if canceled {
		c.fail(ctx, failure{reason: context.Cause(c.ctx).Error()})
		return actionDone
	}
	c.metrics.countRetry("no_answer")
	return actionRetry
}
