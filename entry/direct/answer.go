package direct

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/entry/decision"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
	"github.com/bulrushwick/bulrushwick/entry/upstream"
)

// maxBufferedBody bounds an answer that is read whole before it is passed on, in
// bytes.
const maxBufferedBody = 8 << 20

// handleResponse decides after an answer's header.
func (c *call) handleResponse(ctx *fasthttp.RequestCtx, x *upstream.Exchange) nextAction {
	answer := c.codec.ParseAnswer(&x.Header)
	switch {
	case answer.NotRun:
		return c.handleNotRun(ctx, x, answer)
	case !answer.Signed || answer.Encoded:
		c.discardExchange(x)
		return c.handleUnusableResponse(errUnusableResponse)
	case c.route.Kind == routing.Stream && answer.Status < 300:
		return c.forwardStream(ctx, x, answer)
	}
	return c.forwardBuffered(ctx, x, answer)
}

var errUnusableResponse = errors.New("the answer is not the worker's own")

// discardExchange gives up an attempt whose answer is of no use.
func (c *call) discardExchange(x *upstream.Exchange) {
	x.Discard()
	c.attemptUse.end()
}

// finishExchange keeps the connection after a complete answer.
func (c *call) finishExchange(x *upstream.Exchange, answer Answer) {
	x.Finish(answer.KeepFor)
	c.attemptUse.end()
}

// handleNotRun decides after a worker's proof that the request did not run.
func (c *call) handleNotRun(_ *fasthttp.RequestCtx, x *upstream.Exchange, answer Answer) nextAction {
	_, err := io.Copy(io.Discard, io.LimitReader(x, maxBufferedBody))
	if err == nil {
		c.finishExchange(x, answer)
	} else {
		c.discardExchange(x)
	}
	at := now()
	cause := "full"
	if answer.Misdirected {
		cause = "misdirected"
		c.markMisdirected()
	} else {
		c.fleet.recordResult(at, c.workerID, false)
	}
	c.metrics.countRetry(cause)
	c.log.Line(decision.AttemptFailed).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldWorker, c.workerID).Int(decision.FieldStatus, answer.Status).
		Bool(decision.FieldNotRun, true).Str(decision.FieldCause, cause).Dur(decision.FieldTookMS, at-c.attemptBegan).Send()
	return actionRetry
}

// markMisdirected takes a worker's word that it does not hold the adapter, or is another
// worker than was expected.
func (c *call) markMisdirected() {
	if c.request.Adapter != "" {
		c.fleet.recordAdapter(now(), c.workerID, c.request.Adapter, false)
	}
	c.deniedBy = c.workerID
	delete(c.attemptsByWorker, c.workerID) // it may have the request once it holds the adapter
}

// handleUnusableResponse decides after an answer that can't be passed on.
func (c *call) handleUnusableResponse(err error) nextAction {
	c.mayHaveRun = true
	at := now()
	c.fleet.recordResult(at, c.workerID, false)
	c.metrics.countRetry("broken")
	c.log.Warn(decision.AttemptFailed, err).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldWorker, c.workerID).Bool(decision.FieldSent, true).
		Dur(decision.FieldTookMS, at-c.attemptBegan).Send()
	return actionRetry
}

// forwardBuffered passes a whole answer on.
func (c *call) forwardBuffered(ctx *fasthttp.RequestCtx, x *upstream.Exchange, answer Answer) nextAction {
	var body bytes.Buffer
	if _, err := body.ReadFrom(io.LimitReader(x, maxBufferedBody)); err != nil {
		c.discardExchange(x)
		if c.ctx.Err() != nil {
			return c.handleNoResponse(ctx, &upstream.SendError{Sent: true, Cause: err})
		}
		return c.handleUnusableResponse(err)
	}
	at := now()
	c.fleet.recordResult(at, c.workerID, answer.Status < 500)
	c.finishExchange(x, answer)
	if answer.Status >= 500 && c.route.Repeatable() && len(c.attemptsByWorker) < c.route.MaxWorkers &&
		c.timeLeft() > 0 && c.fleet.takeRetry(at, c.service.Name, c.loader.instanceCount()) {
		c.metrics.countRetry("server_error")
		c.log.Line(decision.Repeated).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldWorker, c.workerID).Int(decision.FieldStatus, answer.Status).Send()
		return retryPaid(c)
	}
	c.stopWatch()
	c.codec.CopyHeader(&ctx.Response.Header, &x.Header)
	ctx.SetStatusCode(answer.Status)
	ctx.SetBody(body.Bytes())
	c.recordFirstByte(at)
	c.finish("answered", answer.Status)
	return actionDone
}

// retryPaid makes another attempt whose repeat is taken from the budget already.
func retryPaid(c *call) nextAction {
	c.mayHaveRun = true
	return actionRetry
}

// fail sends a final answer of this instance's own: a promise that the request
// did not run only where no attempt may have run.
func (c *call) fail(ctx *fasthttp.RequestCtx, f failure) {
	c.stopWatch()
	contextErr := c.ctx.Err()
	status := fasthttp.StatusServiceUnavailable
	switch {
	case contextErr != nil && c.mayHaveRun:
		status = fasthttp.StatusGatewayTimeout
	case c.mayHaveRun:
		status = fasthttp.StatusBadGateway
	}
	if status == fasthttp.StatusServiceUnavailable {
		setRetryAfter(ctx, max(f.retryAfter, minRetryAfter))
	}
	ctx.SetStatusCode(status)
	ctx.SetBodyString(f.reason + "\n")
	c.metrics.countRefusal(f.reason)
	c.log.Line(decision.Refused).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldRoute, c.route.Name).Str(decision.FieldService, c.service.Name).
		Int(decision.FieldStatus, status).Str(decision.FieldReason, f.reason).Bool(decision.FieldMayHaveRun, c.mayHaveRun).Int(decision.FieldSends, c.sends).
		Str(decision.FieldWorker, c.workerID).Dur(decision.FieldRetryAfterMS, f.retryAfter).Dur(decision.FieldTookMS, now()-c.arrivedAt).Uint64(decision.FieldConfig, c.configVersion).Send()
	c.finish("failed", status)
}

// minRetryAfter keeps callers from coming back within one round trip.
const minRetryAfter = crossRegionRTT

// finish counts a request that is over.
func (c *call) finish(outcome string, status int) {
	if errors.Is(context.Cause(c.ctx), httpx.ErrHungUp) {
		outcome = "hung_up"
	}
	took := now() - c.arrivedAt
	c.cancel(nil)
	c.activeRequests.Add(-1)
	c.metrics.recordRequest(c.route.Kind.String(), c.route.Rank, outcome, took)
	c.log.Line(decision.Ended).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldRoute, c.route.Name).Str(decision.FieldOutcome, outcome).Int(decision.FieldStatus, status).
		Str(decision.FieldWorker, c.workerID).Int(decision.FieldSends, c.sends).Dur(decision.FieldTookMS, took).
		Dur(decision.FieldLoadingMS, c.loadWaitTotal).Dur(decision.FieldFirstByteMS, c.firstByteAfter).Int(decision.FieldPromptTokens, c.request.PromptTokens).Send()
}

// recordFirstByte notes the time of the first byte for the caller.
func (c *call) recordFirstByte(at time.Duration) {
	c.firstByteAfter = at - c.arrivedAt
	c.metrics.recordFirstByte(c.route.Rank, c.firstByteAfter)
}
