package direct

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/entry/decision"
	"github.com/bulrushwick/bulrushwick/entry/intake"
	"github.com/bulrushwick/bulrushwick/entry/upstream"
)

// forwardStream forwards a stream of events as they arrive.
func (c *call) forwardStream(ctx *fasthttp.RequestCtx, x *upstream.Exchange, response ResponseInfo) nextAction {
	s := &eventStream{call: c, exchange: x, response: response, contentType: string(x.Header.ContentType()), lastEventID: c.request.ResumeAfter}
	if err := s.readEvents(); err != nil {
		c.discardExchange(x)
		s.memory.Release()
		if errors.Is(err, errNoEventMemory) {
			c.mayHaveRun = true
			c.fail(ctx, failure{reason: err.Error()})
			return actionDone
		}
		if c.ctx.Err() != nil {
			return c.handleNoResponse(ctx, &upstream.SendError{Sent: true, Cause: err})
		}
		return c.handleUnusableResponse(err)
	}
	at := now()
	c.attemptUse.responseStarted()
	c.fleet.conditions.recordResult(at, c.workerID, true)
	c.guard.recordSuccess(c.parts)
	c.recordFirstByte(at)
	s.lastForwardedAt = at
	s.learnEvents(at)
	c.codec.CopyHeader(&ctx.Response.Header, &x.Header)
	ctx.SetStatusCode(response.Status)
	if !ctx.Request.Header.IsHTTP11() {
		s.sendWhole(ctx)
		return actionDone
	}
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(s, -1)
	return actionDone
}

// sendWhole reads the whole stream before it is sent, with its length. HTTP/1.0 has no
// chunks, and the end of the connection does not tell a cut stream from a complete one.
func (s *eventStream) sendWhole(ctx *fasthttp.RequestCtx) {
	body, err := io.ReadAll(io.LimitReader(s, maxBufferedBody+1))
	if closeErr := s.Close(); err != nil || closeErr != nil || len(body) > maxBufferedBody {
		refuseWhole(ctx)
		return
	}
	ctx.SetBody(body)
}

// refuseWhole sends an error in place of a response that can't be sent with its length.
// The request has run or may have run.
func refuseWhole(ctx *fasthttp.RequestCtx) {
	ctx.Response.Reset()
	ctx.SetStatusCode(fasthttp.StatusBadGateway)
	ctx.SetBodyString("the response broke off, or is too long for HTTP/1.0\n")
}

// eventStream reads whole events from a worker's response, and resumes at
// another worker if the route allows it. It is used by one goroutine at a time.
type eventStream struct {
	*call
	exchange *upstream.Exchange
	response ResponseInfo
	// contentType is that of the response that the caller receives.
	contentType string
	// buffered holds the bytes read but not forwarded. The first readyBytes of
	// them are whole events.
	buffered   []byte
	readyBytes int
	// memory counts the bytes of buffered.
	memory intake.Held
	// scannedBytes is the part of readyBytes whose event ids were scanned for
	// lastEventID.
	scannedBytes int
	// countedBytes is the part of readyBytes whose events were counted.
	countedBytes int
	readBuffer   [4096]byte
	lastEventID  string
	eof          bool
	// deferredErr is an error that came together with whole events, which are
	// forwarded first.
	deferredErr error
	closed      bool
	// lastForwardedAt is when events were last forwarded.
	lastForwardedAt time.Duration
}

// errTruncatedEvent is returned if a response ends in the middle of an event.
var errTruncatedEvent = errors.New("the response ends in the middle of an event")

// errNoEventMemory is returned if an event does not fit into the memory for callers. It
// says nothing of the worker.
var errNoEventMemory = errors.New("no memory for an event of the response")

// errRetryBudgetEmpty is returned if resuming exceeds the retry budget.
var errRetryBudgetEmpty = errors.New("the retry budget is used up")

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// readEvents reads until at least one whole event or the end of the response is
// available.
func (s *eventStream) readEvents() error {
	for s.readyBytes == 0 && !s.eof {
		if s.deferredErr != nil {
			return s.deferredErr
		}
		n, err := s.exchange.Read(s.readBuffer[:])
		former, room := len(s.buffered), false
		if s.buffered, room = s.memory.Append(s.ctx, s.intake, s.buffered, s.readBuffer[:n]); !room {
			return errNoEventMemory
		}
		// What was read before holds no whole event, but may hold the first byte of an end.
		if searched := max(former-1, 0); completeEventBytes(s.buffered[searched:]) > 0 {
			s.readyBytes = searched + completeEventBytes(s.buffered[searched:])
		}
		if errors.Is(err, io.EOF) {
			s.eof = s.readyBytes == len(s.buffered)
			err = nil
			if !s.eof {
				err = errTruncatedEvent
			}
		}
		s.deferredErr = err
		if len(s.buffered) > maxEventBytes {
			return upstream.ErrUnexpectedResponse
		}
	}
	return nil
}

// completeEventBytes returns the length of the whole events at the start of
// data.
func completeEventBytes(data []byte) int {
	end := bytes.LastIndex(data, []byte("\n\n"))
	if end < 0 {
		return 0
	}
	return end + 2
}

// Read implements io.Reader; the server reads the caller's response from it. An
// error other than io.EOF closes the caller's connection without the end of the
// body, so that a truncated response never looks complete.
func (s *eventStream) Read(p []byte) (n int, err error) {
	defer s.confinePanic(&n, &err)
	for s.readyBytes == 0 {
		if s.eof {
			return 0, io.EOF
		}
		if err := s.readEvents(); err != nil && s.readyBytes == 0 {
			if resumeErr := s.resume(err); resumeErr != nil {
				return 0, resumeErr
			}
		}
	}
	if s.readyBytes > s.scannedBytes {
		s.recordLastEventID(s.buffered[:s.readyBytes])
		s.scannedBytes = s.readyBytes
		at := now()
		s.longestPause, s.lastForwardedAt = max(s.longestPause, at-s.lastForwardedAt), at
		s.learnEvents(at)
	}
	n = copy(p, s.buffered[:s.readyBytes])
	s.scannedBytes -= n
	s.countedBytes -= min(n, s.countedBytes)
	s.buffered = s.buffered[n:]
	s.readyBytes -= n
	s.buffered = s.memory.Shrink(s.buffered)
	return n, nil
}

// recordLastEventID stores the id of the last event that is forwarded.
func (s *eventStream) recordLastEventID(events []byte) {
	for line := range bytes.Lines(events) {
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			s.lastEventID = string(bytes.TrimSpace(id))
		}
	}
}

// resume continues the response at another worker, or returns why it can't.
func (s *eventStream) resume(cause error) error {
	at := now()
	s.discardExchange(s.exchange)
	s.memory.Release()
	s.buffered, s.readyBytes, s.scannedBytes, s.countedBytes, s.deferredErr = nil, 0, 0, 0, nil
	canceled := s.ctx.Err() != nil
	s.log.Warn(decision.AttemptFailed, cause).Str(decision.FieldRequest, s.request.ID).Str(decision.FieldWorker, s.workerID).Str(decision.FieldLastEvent, s.lastEventID).
		Bool(decision.FieldCanceled, canceled).Dur(decision.FieldTookMS, at-s.attemptBegan).Send()
	if canceled {
		return context.Cause(s.ctx)
	}
	if errors.Is(cause, errNoEventMemory) {
		return cause
	}
	s.fleet.conditions.recordResult(at, s.workerID, false)
	if !s.route.Resumable || s.lastEventID == "" {
		return cause
	}
	s.resuming = true
	for deadline := at + resumeTimeout; now() < deadline && s.sends < maxSends; {
		err := s.tryResume()
		if err == nil {
			return nil
		}
		if s.ctx.Err() != nil {
			return context.Cause(s.ctx)
		}
		s.log.Warn(decision.AttemptFailed, err).Str(decision.FieldRequest, s.request.ID).Str(decision.FieldLastEvent, s.lastEventID).Bool(decision.FieldResuming, true).Send()
		clear(s.skippedWorkers)
		time.Sleep(resumeRetryDelay)
	}
	return cause
}

// Bounds for resuming a stream.
const (
	// resumeTimeout is how long resuming is tried. Callers give up on a silent
	// stream after two seconds.
	resumeTimeout = 1500 * time.Millisecond
	// resumeRetryDelay is the delay between two tries.
	resumeRetryDelay = 60 * time.Millisecond
)

// tryResume makes one attempt to resume after the last event.
func (s *eventStream) tryResume() error {
	target, refusal := s.prepareWorker()
	if refusal != nil {
		return errors.New(refusal.reason)
	}
	if !s.fleet.demand.takeRetry(now(), s.service.Name, s.loader.instanceCount()) {
		s.fleet.bodies.end(target.ID, len(s.request.Body))
		return errRetryBudgetEmpty
	}
	x, err := s.dispatch(target, s.lastEventID)
	if err != nil {
		return err
	}
	response := s.parseResponse(x)
	if !s.isContinued(x, response) {
		s.discardExchange(x)
		if response.Misdirected {
			s.markMisdirected()
		}
		return errUnusableResponse
	}
	s.attemptUse.responseStarted()
	s.exchange, s.response, s.eof = x, response, false
	s.log.Line(decision.Resumed).Str(decision.FieldRequest, s.request.ID).Str(decision.FieldWorker, s.workerID).Str(decision.FieldLastEvent, s.lastEventID).Send()
	return nil
}

// isContinued reports whether a response can follow the events that the caller has
// received. An error, or anything else than what the first response was, can't.
func (s *eventStream) isContinued(x *upstream.Exchange, response ResponseInfo) bool {
	return !response.NotRun && response.Signed && !response.Encoded &&
		response.Status == s.response.Status && string(x.Header.ContentType()) == s.contentType
}

// Close implements io.Closer; the server calls it at the end of the response,
// complete or not.
func (s *eventStream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	s.memory.Release()
	s.stopWatch()
	s.metrics.recordLongestPause(s.route.Rank, s.longestPause)
	outcome := "answered"
	if s.eof && s.readyBytes == 0 {
		s.fleet.costs.ended(now(), s.call)
		s.finishExchange(s.exchange, s.response)
	} else {
		outcome = "cut"
		s.discardExchange(s.exchange)
	}
	s.finish(outcome, fasthttp.StatusOK)
	return nil
}
