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
	"github.com/bulrushwick/bulrushwick/entry/intake"
	"github.com/bulrushwick/bulrushwick/entry/upstream"
)

// maxBufferedBody bounds a response that is read whole before it is forwarded,
// in bytes. Such a response can be replaced by that of another worker if it breaks
// off.
const maxBufferedBody = 256 << 10

// handleResponse forwards or rejects a response whose header was read.
func (c *call) handleResponse(ctx *fasthttp.RequestCtx, x *upstream.Exchange) nextAction {
	response := c.parseResponse(x)
	switch {
	case response.NotRun:
		return c.handleNotRun(ctx, x, response)
	case !response.Signed || response.Encoded:
		c.discardExchange(x)
		return c.handleUnusableResponse(errUnusableResponse)
	case c.route.Kind == routing.Stream && response.Status < 300:
		return c.forwardStream(ctx, x, response)
	}
	return c.forwardBuffered(ctx, x, response)
}

// parseResponse parses the header of a worker's response and records what it says of
// the worker.
func (c *call) parseResponse(x *upstream.Exchange) ResponseInfo {
	response := c.codec.ParseResponse(&x.Header)
	if response.Leaving {
		c.workerLeaves(c.target, c.request.ID)
	}
	if !response.Misdirected { // it may come from another worker at the same address
		c.fleet.conditions.recordResponse(now(), c.workerID, response)
	}
	return response
}

var errUnusableResponse = errors.New("unusable response: unsigned, encoded on the way, or refused")

// discardExchange ends an attempt whose response is not used, and closes its
// connection.
func (c *call) discardExchange(x *upstream.Exchange) {
	x.Discard()
	c.attemptUse.end()
}

// finishExchange ends an attempt after its complete response, and returns the
// connection to the pool if it can be reused.
func (c *call) finishExchange(x *upstream.Exchange, response ResponseInfo) {
	x.Finish(response.KeepFor)
	c.attemptUse.end()
}

// handleNotRun handles a response that proves that the request did not run. It
// may be retried even if it is not idempotent.
func (c *call) handleNotRun(_ *fasthttp.RequestCtx, x *upstream.Exchange, response ResponseInfo) nextAction {
	_, err := io.Copy(io.Discard, io.LimitReader(x, maxBufferedBody))
	if err == nil {
		c.finishExchange(x, response)
	} else {
		c.discardExchange(x)
	}
	at := now()
	cause := "full"
	if response.Misdirected {
		cause = "misdirected"
		c.markMisdirected()
	} else {
		c.fleet.conditions.recordResult(at, c.workerID, false)
	}
	c.metrics.countRetry(cause)
	c.log.Line(decision.AttemptFailed).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldWorker, c.workerID).Int(decision.FieldStatus, response.Status).
		Bool(decision.FieldNotRun, true).Str(decision.FieldCause, cause).Dur(decision.FieldHoldOffMS, response.HoldOff).Dur(decision.FieldTookMS, at-c.attemptBegan).Send()
	return actionRetry
}

// markMisdirected records that a worker reported that it does not hold the
// adapter, or that it is not the worker the request was meant for.
func (c *call) markMisdirected() {
	if c.request.Adapter != "" {
		c.fleet.residency.observe(now(), c.workerID, c.request.Adapter, false)
	}
	c.deniedBy = c.workerID
	delete(c.attemptsByWorker, c.workerID) // it can be sent the request again once it holds the adapter
}

// handleUnusableResponse handles a response that can't be forwarded; the
// request may have run.
func (c *call) handleUnusableResponse(err error) nextAction {
	c.mayHaveRun = true
	at := now()
	c.fleet.conditions.recordResult(at, c.workerID, false)
	if !errors.Is(err, errUnusableResponse) {
		c.guard.reportBroken(c.target, c.parts)
	}
	c.metrics.countRetry("broken")
	c.log.Warn(decision.AttemptFailed, err).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldWorker, c.workerID).Strs(decision.FieldParts, c.request.PromptParts).Bool(decision.FieldSent, true).
		Dur(decision.FieldTookMS, at-c.attemptBegan).Send()
	return actionRetry
}

// forwardBuffered forwards a response after reading all of it, unless it is too
// large for that. A server error of an idempotent request is retried instead while
// the budget allows.
func (c *call) forwardBuffered(ctx *fasthttp.RequestCtx, x *upstream.Exchange, response ResponseInfo) nextAction {
	body, whole, err := c.readBuffered(ctx, x)
	if err != nil {
		c.discardExchange(x)
		if c.ctx.Err() != nil {
			return c.handleNoResponse(ctx, &upstream.SendError{Sent: true, Cause: err})
		}
		return c.handleUnusableResponse(err)
	}
	at := now()
	c.fleet.conditions.recordResult(at, c.workerID, response.Status < 500)
	if response.Status < 300 {
		c.guard.recordSuccess(c.parts)
	}
	if !whole {
		return c.forwardLarge(ctx, x, response, body)
	}
	c.finishExchange(x, response)
	if response.Status >= 500 && c.route.Retryable() && len(c.attemptsByWorker) < c.route.MaxWorkers &&
		c.timeLeft() > 0 && c.fleet.demand.takeRetry(at, c.service.Name, c.loader.instanceCount()) {
		c.metrics.countRetry("server_error")
		c.log.Line(decision.Repeated).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldWorker, c.workerID).Int(decision.FieldStatus, response.Status).Send()
		return retryPaid(c)
	}
	c.stopWatch()
	c.codec.CopyHeader(&ctx.Response.Header, &x.Header)
	ctx.SetStatusCode(response.Status)
	ctx.Response.SetBodyRaw(body)
	c.recordFirstByte(at)
	c.finish("answered", response.Status)
	return actionDone
}

// readBuffered reads a response whole, or the first bytes of one that is too large or for
// which there is no memory.
func (c *call) readBuffered(ctx *fasthttp.RequestCtx, x *upstream.Exchange) (body []byte, whole bool, err error) {
	var buffer bytes.Buffer
	_, err = buffer.ReadFrom(io.LimitReader(x, intake.SmallResponse+1))
	if err != nil || buffer.Len() <= intake.SmallResponse {
		return buffer.Bytes(), true, err
	}
	if !c.intake.ReserveResponse(ctx, maxBufferedBody) {
		return buffer.Bytes(), false, nil
	}
	_, err = buffer.ReadFrom(io.LimitReader(x, maxBufferedBody+1-int64(buffer.Len())))
	c.intake.ReturnResponse(ctx, max(maxBufferedBody-buffer.Len(), 0))
	return buffer.Bytes(), buffer.Len() <= maxBufferedBody, err
}

// retryPaid retries without taking a retry from the budget, because the caller
// of retryPaid has taken one.
func retryPaid(c *call) nextAction {
	c.mayHaveRun = true
	return actionRetry
}

// fail sends an error response of this instance's own. Its status is 503, which
// promises that the request did not run, only if no attempt may have run.
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
		c.quota.Return(c.spending) // the request has not run
		setRetryAfter(ctx, f.statedRetryAfter())
	}
	ctx.SetStatusCode(status)
	ctx.SetBodyString(f.reason + "\n")
	c.metrics.countRefusal(f.reason)
	c.addContention(c.log.Line(decision.Refused)).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldRoute, c.route.Name).Str(decision.FieldService, c.service.Name).
		Int(decision.FieldStatus, status).Str(decision.FieldReason, f.reason).Bool(decision.FieldMayHaveRun, c.mayHaveRun).Int(decision.FieldSends, c.sends).
		Str(decision.FieldWorker, c.workerID).Dur(decision.FieldRetryAfterMS, f.retryAfter).Dur(decision.FieldTookMS, now()-c.arrivedAt).Uint64(decision.FieldConfig, c.configVersion).Send()
	c.finish("failed", status)
}

// minRetryAfter keeps callers from retrying within one round trip.
const minRetryAfter = crossRegionRTT

// statedRetryAfter returns the Retry-After of the response.
func (f failure) statedRetryAfter() time.Duration { return max(f.retryAfter, minRetryAfter) }

// finish releases a request's context, and counts and logs its outcome. Further calls do
// nothing.
func (c *call) finish(outcome string, status int) {
	if c.finished {
		return
	}
	c.finished = true
	if errors.Is(context.Cause(c.ctx), httpx.ErrCallerDisconnected) {
		outcome = "hung_up"
	}
	took := now() - c.arrivedAt
	c.cancel(nil)
	c.activeRequests.Add(-1)
	c.metrics.recordRequest(c.route.Kind.String(), c.route.Rank, outcome, took)
	c.log.Line(decision.Ended).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldRoute, c.route.Name).Str(decision.FieldOutcome, outcome).Int(decision.FieldStatus, status).
		Str(decision.FieldWorker, c.workerID).Int(decision.FieldSends, c.sends).Dur(decision.FieldTookMS, took).
		Dur(decision.FieldLoadingMS, c.loadWaitTotal).Dur(decision.FieldFirstByteMS, c.firstByteAfter).Dur(decision.FieldPauseMS, c.longestPause).Int(decision.FieldPromptTokens, c.request.PromptTokens).
		Int(decision.FieldOutputTokens, c.learning.attempt.Tokens()).Int(decision.FieldHintTokens, c.request.OutputHint).Send()
}

// recordFirstByte records when the response to the caller began.
func (c *call) recordFirstByte(at time.Duration) {
	c.firstByteAfter = at - c.arrivedAt
	c.metrics.recordFirstByte(c.route.Rank, c.firstByteAfter)
}
