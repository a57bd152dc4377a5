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

// maxPlainBody bounds an answer that is read whole before it is passed on, in
// bytes.
const maxPlainBody = 8 << 20

// answered decides after an answer's header.
func (c *call) answered(ctx *fasthttp.RequestCtx, x *upstream.Exchange) step {
	answer := c.codec.ParseAnswer(&x.Header)
	switch {
	case answer.NotRun:
		return c.notRun(ctx, x, answer)
	case !answer.Signed || answer.Encoded:
		c.drop(x)
		return c.broken(errUnsigned)
	case c.route.Kind == routing.Stream && answer.Status < 300:
		return c.stream(ctx, x, answer)
	}
	return c.plain(ctx, x, answer)
}

var errUnsigned = errors.New("the answer is not the worker's own")

// drop gives up an attempt whose answer is of no use.
func (c *call) drop(x *upstream.Exchange) {
	x.Discard()
	c.progress.end()
}

// finish keeps the connection after a complete answer.
func (c *call) finish(x *upstream.Exchange, answer Answer) {
	x.Finish(answer.KeepFor)
	c.progress.end()
}

// notRun decides after a worker's proof that the request did not run.
func (c *call) notRun(_ *fasthttp.RequestCtx, x *upstream.Exchange, answer Answer) step {
	_, err := io.Copy(io.Discard, io.LimitReader(x, maxPlainBody))
	if err == nil {
		c.finish(x, answer)
	} else {
		c.drop(x)
	}
	at := now()
	cause := "full"
	if answer.Misdirected {
		cause = "misdirected"
		c.denied()
	} else {
		c.fleet.observe(at, c.worker, false)
	}
	c.metrics.repeated(cause)
	c.log.Line(decision.AttemptFailed).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldWorker, c.worker).Int(decision.FieldStatus, answer.Status).
		Bool(decision.FieldNotRun, true).Str(decision.FieldCause, cause).Dur(decision.FieldTookMS, at-c.began).Send()
	return again
}

// denied takes a worker's word that it does not hold the adapter, or is another
// worker than was expected.
func (c *call) denied() {
	if c.request.Adapter != "" {
		c.fleet.note(now(), c.worker, c.request.Adapter, false)
	}
	c.missing = c.worker
	delete(c.tried, c.worker) // it may have the request once it holds the adapter
}

// broken decides after an answer that can't be passed on.
func (c *call) broken(err error) step {
	c.uncertain = true
	at := now()
	c.fleet.observe(at, c.worker, false)
	c.metrics.repeated("broken")
	c.log.Warn(decision.AttemptFailed, err).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldWorker, c.worker).Bool(decision.FieldSent, true).
		Dur(decision.FieldTookMS, at-c.began).Send()
	return again
}

// plain passes a whole answer on.
func (c *call) plain(ctx *fasthttp.RequestCtx, x *upstream.Exchange, answer Answer) step {
	var body bytes.Buffer
	if _, err := body.ReadFrom(io.LimitReader(x, maxPlainBody)); err != nil {
		c.drop(x)
		if c.ctx.Err() != nil {
			return c.noAnswer(ctx, &upstream.SendError{Sent: true, Cause: err})
		}
		return c.broken(err)
	}
	at := now()
	c.fleet.observe(at, c.worker, answer.Status < 500)
	c.finish(x, answer)
	if answer.Status >= 500 && c.route.Retryable() && len(c.tried) < c.route.MaxWorkers &&
		c.left() > 0 && c.fleet.mayRepeat(at, c.service.Name, c.loads.members()) {
		c.metrics.repeated("server_error")
		c.log.Line(decision.Repeated).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldWorker, c.worker).Int(decision.FieldStatus, answer.Status).Send()
		return againPaid(c)
	}
	c.stopWatch()
	c.codec.CopyHeader(&ctx.Response.Header, &x.Header)
	ctx.SetStatusCode(answer.Status)
	ctx.SetBody(body.Bytes())
	c.answerBegan(at)
	c.end("answered", answer.Status)
	return ended
}

// againPaid makes another attempt whose repeat is taken from the budget already.
func againPaid(c *call) step {
	c.uncertain = true
	return again
}

// fail sends a final answer of this instance's own: a promise that the request
// did not run only where no attempt may have run.
func (c *call) fail(ctx *fasthttp.RequestCtx, f failure) {
	c.stopWatch()
	cause := c.ctx.Err()
	status := fasthttp.StatusServiceUnavailable
	switch {
	case cause != nil && c.uncertain:
		status = fasthttp.StatusGatewayTimeout
	case c.uncertain:
		status = fasthttp.StatusBadGateway
	}
	if status == fasthttp.StatusServiceUnavailable {
		setRetryAfter(ctx, max(f.retryAfter, minRetryAfter))
	}
	ctx.SetStatusCode(status)
	ctx.SetBodyString(f.reason + "\n")
	c.metrics.refused(f.reason)
	c.log.Line(decision.Refused).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldRoute, c.route.Name).Str(decision.FieldService, c.service.Name).
		Int(decision.FieldStatus, status).Str(decision.FieldReason, f.reason).Bool(decision.FieldMayHaveRun, c.uncertain).Int(decision.FieldSends, c.sends).
		Str(decision.FieldWorker, c.worker).Dur(decision.FieldRetryAfterMS, f.retryAfter).Dur(decision.FieldTookMS, now()-c.arrived).Uint64(decision.FieldConfig, c.version).Send()
	c.end("failed", status)
}

// minRetryAfter keeps callers from coming back within one round trip.
const minRetryAfter = remoteRTT

// end counts a request that is over.
func (c *call) end(outcome string, status int) {
	if errors.Is(context.Cause(c.ctx), httpx.ErrHungUp) {
		outcome = "hung_up"
	}
	took := now() - c.arrived
	c.cancel(nil)
	c.active.Add(-1)
	c.metrics.ended(c.route.Kind.String(), c.route.Rank, outcome, took)
	c.log.Line(decision.Ended).Str(decision.FieldRequest, c.request.ID).Str(decision.FieldRoute, c.route.Name).Str(decision.FieldOutcome, outcome).Int(decision.FieldStatus, status).
		Str(decision.FieldWorker, c.worker).Int(decision.FieldSends, c.sends).Dur(decision.FieldTookMS, took).
		Dur(decision.FieldLoadingMS, c.loading).Dur(decision.FieldFirstByteMS, c.firstByte).Int(decision.FieldPromptTokens, c.request.PromptTokens).Send()
}

// answerBegan notes the time of the first byte for the caller.
func (c *call) answerBegan(at time.Duration) {
	c.firstByte = at - c.arrived
	c.metrics.firstByte(c.route.Rank, c.firstByte)
}
