package ingress

import (
	"context"
	"errors"
	"io"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/endpoint"
	"github.com/bulrushwick/bulrushwick/entry/stream"
)

// eventStream is the media type of server-sent events.
const eventStream = "text/event-stream"

// course carries one request through its attempts.
type course struct {
	server *Server
	ctx    context.Context
	table  *table.Table
	route  *table.Route
	r      *call.Request
	life   *attempt.Lifecycle
	tried  map[string]bool
	// answer is the current attempt's, and last the failure before it.
	answer *call.Response
	last   error
}

// attempts tries workers until one serves, or until the request's life ends.
func (s *Server) attempts(ctx context.Context, t *table.Table, route *table.Route, r *call.Request) (*call.Response, error) {
	c := &course{
		server: s,
		ctx:    ctx,
		table:  t,
		route:  route,
		r:      r,
		life:   attempt.NewLifecycle(attempt.DefaultLifecycleConfig(), s.budget, r.Idempotent, s.fleet.Now()+r.Remaining()),
		tried:  make(map[string]bool),
	}
	if err := c.try(attempt.Started{}); err != nil {
		return nil, err
	}
	if !streams(c.answer) || t.Pools[route.Pool].Kind == table.Service {
		c.step(attempt.Completed{Attempt: r.Attempt})
		return c.answer, nil
	}
	body := stream.NewBody(c.answer.Body, r.Adapter.String(), c)
	if err := body.Prime(); err != nil {
		_ = body.Close()
		return nil, err
	}
	c.answer.Body = body
	return c.answer, nil
}

// try makes the attempts that follow an event until one has an answer.
func (c *course) try(event attempt.LifecycleEvent) error {
	for {
		action := c.step(event)
		try, again := action.(attempt.Try)
		if !again {
			return told(c.last, action)
		}
		c.r.Attempt = try.Attempt
		c.r.Offset = try.Offset
		answer, err := c.server.attempt(c.ctx, c.table, c.route, c.r, c.tried)
		if err == nil && !streams(answer) {
			err = endpoint.ReadWhole(answer)
		}
		if err == nil && try.Offset > 0 && !streams(answer) {
			err = broken(errors.New("the attempt did not resume the stream"))
		}
		if err == nil {
			c.answer = answer
			return nil
		}
		c.last = err
		event = c.failure(err, true)
	}
}

// step applies an event; a life answers the current attempt with one action.
func (c *course) step(event attempt.LifecycleEvent) attempt.LifecycleAction {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	actions := c.life.Step(c.server.fleet.Now(), event)
	if len(actions) == 0 {
		return nil
	}
	return actions[0]
}

// Passed implements stream.Resumer.
func (c *course) Passed(offset int) {
	c.step(attempt.Delivered{Attempt: c.r.Attempt, Offset: offset})
}

// Failed implements stream.Resumer.
func (c *course) Failed(offset int, resumable bool, cause error) (io.ReadCloser, error) {
	c.server.log.Info().Err(cause).Str("event", "stream_broken").Str("request", c.r.ID).Int("attempt", c.r.Attempt).Int("offset", offset).Send()
	c.last = broken(cause)
	if err := c.try(c.failure(c.last, resumable)); err != nil {
		return nil, err
	}
	return c.answer.Body, nil
}

// Ended implements stream.Resumer.
func (c *course) Ended() { c.step(attempt.Completed{Attempt: c.r.Attempt}) }

// failure describes a failed attempt. What asks for a pause, or happens because
// the caller has gone, would fail again.
func (c *course) failure(err error, resumable bool) attempt.Failed {
	event := attempt.Failed{Attempt: c.r.Attempt, Failure: attempt.Failure{Sent: true}, Resumable: resumable}
	var failed *call.Error
	if errors.As(err, &failed) {
		event.Failure = failed.Failure
		event.Permanent = failed.RetryAfter > 0
	}
	event.Permanent = event.Permanent || c.ctx.Err() != nil
	return event
}

// broken is the failure of a stream that can't be passed on as it is.
func broken(cause error) *call.Error {
	code := string(attempt.Truncated)
	var wrong *attempt.StreamError
	if errors.As(cause, &wrong) {
		code = string(wrong.Fault)
	}
	return &call.Error{
		Failure: attempt.Failure{Sent: true},
		Status:  fasthttp.StatusGatewayTimeout,
		Code:    code,
		Err:     cause,
	}
}

// streams tells whether an answer is a stream of events.
func streams(answer *call.Response) bool {
	return answer.Status == fasthttp.StatusOK && strings.HasPrefix(answer.ContentType, eventStream)
}

// told is the last failure with the outcome of all attempts: an earlier one may
// have run although the last did not.
func told(last error, action attempt.LifecycleAction) error {
	var failed *call.Error
	tell, tells := action.(attempt.Report)
	if !errors.As(last, &failed) || !tells || failed.Failure.Outcome() == tell.Outcome {
		return last
	}
	whole := *failed
	whole.Failure = attempt.Failure{Sent: true}
	whole.Status = fasthttp.StatusGatewayTimeout
	return &whole
}
