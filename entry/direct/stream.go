package direct

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/entry/decision"
	"github.com/bulrushwick/bulrushwick/entry/upstream"
)

// stream passes an answer of events on as they come.
func (c *call) stream(ctx *fasthttp.RequestCtx, x *upstream.Exchange, answer Answer) step {
	s := &eventStream{call: c, exchange: x, answer: answer, lastID: c.request.ResumeAfter}
	if err := s.fill(); err != nil {
		c.drop(x)
		if c.ctx.Err() != nil {
			return c.noAnswer(ctx, &upstream.SendError{Sent: true, Cause: err})
		}
		return c.broken(err)
	}
	at := now()
	c.progress.answering()
	c.fleet.observe(at, c.worker, true)
	c.answerBegan(at)
	s.passedAt = at
	c.codec.CopyHeader(&ctx.Response.Header, &x.Header)
	ctx.SetStatusCode(answer.Status)
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(s, -1)
	return ended
}

// eventStream reads whole events from a worker's answer and continues at
// another worker where the route allows.
type eventStream struct {
	*call
	exchange *upstream.Exchange
	answer   Answer
	// pending are bytes read, whole events of which ready are for the caller.
	pending []byte
	ready   int
	// noted is the part of ready whose ids are in lastID.
	noted  int
	buffer [4096]byte
	lastID string
	eof    bool
	// failed is an error that came with events, which go first.
	failed error
	closed bool
	// passedAt is when events were last passed on, longest the longest pause.
	passedAt, longest time.Duration
}

// errCutEvent marks an answer that ends in the middle of an event.
var errCutEvent = errors.New("the answer ends in the middle of an event")

// errNoBudget is a continuation that the budget for repeats does not allow now.
var errNoBudget = errors.New("the budget for repeats is used up")

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// fill reads until a whole event or the end is there.
func (s *eventStream) fill() error {
	for s.ready == 0 && !s.eof {
		if s.failed != nil {
			return s.failed
		}
		n, err := s.exchange.Read(s.buffer[:])
		s.pending = append(s.pending, s.buffer[:n]...)
		s.ready = endOfEvents(s.pending)
		if errors.Is(err, io.EOF) {
			s.eof = s.ready == len(s.pending)
			err = nil
			if !s.eof {
				err = errCutEvent
			}
		}
		s.failed = err
		if len(s.pending) > maxEventBytes {
			return upstream.ErrWrongAnswer
		}
	}
	return nil
}

// endOfEvents returns the length of the whole events at the start of data.
func endOfEvents(data []byte) int {
	end := bytes.LastIndex(data, []byte("\n\n"))
	if end < 0 {
		return 0
	}
	return end + 2
}

// Read implements io.Reader for the caller's side. An error other than io.EOF
// closes the caller's connection without the end of the body.
func (s *eventStream) Read(p []byte) (int, error) {
	for s.ready == 0 {
		if s.eof {
			return 0, io.EOF
		}
		if err := s.fill(); err != nil && s.ready == 0 {
			if failed := s.resume(err); failed != nil {
				return 0, failed
			}
		}
	}
	if s.ready > s.noted {
		s.noteID(s.pending[:s.ready])
		s.noted = s.ready
		at := now()
		s.longest, s.passedAt = max(s.longest, at-s.passedAt), at
	}
	n := copy(p, s.pending[:s.ready])
	s.noted -= n
	s.pending = s.pending[n:]
	s.ready -= n
	return n, nil
}

// noteID remembers the id of the last event that is passed on.
func (s *eventStream) noteID(events []byte) {
	for line := range bytes.Lines(events) {
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			s.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// resume continues the answer at another worker, or returns why it can't be.
func (s *eventStream) resume(cause error) error {
	at := now()
	s.drop(s.exchange)
	s.pending, s.ready, s.noted, s.failed = nil, 0, 0, nil
	canceled := s.ctx.Err() != nil
	s.log.Warn(decision.AttemptFailed, cause).Str(decision.FieldRequest, s.request.ID).Str(decision.FieldWorker, s.worker).Str(decision.FieldLastEvent, s.lastID).
		Bool(decision.FieldCanceled, canceled).Dur(decision.FieldTookMS, at-s.began).Send()
	if canceled {
		return context.Cause(s.ctx)
	}
	s.fleet.observe(at, s.worker, false)
	if !s.route.Resumable || s.lastID == "" {
		return cause
	}
	s.resuming = true
	for until := at + resumePatience; now() < until && s.sends < maxSends; {
		err := s.continueElsewhere()
		if err == nil {
			return nil
		}
		if s.ctx.Err() != nil {
			return context.Cause(s.ctx)
		}
		s.log.Warn(decision.AttemptFailed, err).Str(decision.FieldRequest, s.request.ID).Str(decision.FieldLastEvent, s.lastID).Bool(decision.FieldResuming, true).Send()
		clear(s.skipped)
		time.Sleep(resumePause)
	}
	return cause
}

// Times of the continuation of a stream.
const (
	// resumePatience is how long another worker is looked for. Callers give a
	// silent stream up after two seconds.
	resumePatience = 1500 * time.Millisecond
	// resumePause is left between two tries.
	resumePause = 60 * time.Millisecond
)

// continueElsewhere makes one attempt to go on after the last event.
func (s *eventStream) continueElsewhere() error {
	target, refusal := s.prepare()
	if refusal != nil {
		return errors.New(refusal.reason)
	}
	if !s.fleet.mayRepeat(now(), s.service.Name, s.loads.members()) {
		return errNoBudget
	}
	x, err := s.dispatch(target, s.lastID)
	if err != nil {
		return err
	}
	answer := s.codec.ParseAnswer(&x.Header)
	if answer.NotRun || !answer.Signed || answer.Encoded || answer.Status >= 300 {
		s.drop(x)
		if answer.Misdirected {
			s.denied()
		}
		return errUnsigned
	}
	s.progress.answering()
	s.exchange, s.answer, s.eof = x, answer, false
	s.log.Line(decision.Resumed).Str(decision.FieldRequest, s.request.ID).Str(decision.FieldWorker, s.worker).Str(decision.FieldLastEvent, s.lastID).Send()
	return nil
}

// Close implements io.Closer; the server calls it when the answer is over.
func (s *eventStream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	s.stopWatch()
	s.metrics.paused(s.route.Rank, s.longest)
	outcome := "answered"
	if s.eof && s.ready == 0 {
		s.finish(s.exchange, s.answer)
	} else {
		outcome = "cut"
		s.drop(s.exchange)
	}
	s.end(outcome, fasthttp.StatusOK)
	return nil
}
