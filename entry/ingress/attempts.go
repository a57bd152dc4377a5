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

// eventStreamType is the media type of server-sent events.
const eventStreamType = "text/event-stream"

// attemptRunner runs the attempts of one request. It is also the stream.Resumer
// of the request's event stream.
type attemptRunner struct {
	server       *Server
	ctx          context.Context
	table        *table.Table
	route        *table.Route
	request      *call.Request
	lifecycle    *attempt.Lifecycle
	triedWorkers map[string]bool
	// answer is the response of the current attempt.
	answer *call.Response
	// lastErr is the error of the most recent failed attempt.
	lastErr error
}

// runAttempts sends the request to workers until one of them responds or the
// request's lifecycle allows no further attempt. The first event of an event
// stream is checked before runAttempts returns.
func (s *Server) runAttempts(ctx context.Context, t *table.Table, route *table.Route, r *call.Request) (*call.Response, error) {
	a := &attemptRunner{
		server:       s,
		ctx:          ctx,
		table:        t,
		route:        route,
		request:      r,
		lifecycle:    attempt.NewLifecycle(attempt.DefaultLifecycleConfig(), s.budget, r.Idempotent, s.fleet.Now()+r.Remaining()),
		triedWorkers: make(map[string]bool),
	}
	if err := a.runUntilResponse(attempt.Started{}); err != nil {
		return nil, err
	}
	if !isEventStream(a.answer) || t.Pools[route.Pool].Kind == table.Service {
		a.applyEvent(attempt.Completed{Attempt: r.Attempt})
		return a.answer, nil
	}
	body := stream.NewBody(a.answer.Body, r.Adapter.String(), a)
	if err := body.Prime(); err != nil {
		_ = body.Close()
		return nil, err
	}
	a.answer.Body = body
	return a.answer, nil
}

// runUntilResponse applies event and makes the attempts that the lifecycle then
// asks for, until one of them has a response. It stores the response in answer.
func (a *attemptRunner) runUntilResponse(event attempt.LifecycleEvent) error {
	for {
		action := a.applyEvent(event)
		next, isTry := action.(attempt.Try)
		if !isTry {
			return withOverallOutcome(a.lastErr, action)
		}
		a.request.Attempt = next.Attempt
		a.request.Offset = next.Offset
		answer, err := a.server.runAttempt(a.ctx, a.table, a.route, a.request, a.triedWorkers)
		if err == nil && !isEventStream(answer) {
			err = endpoint.ReadWhole(answer, a.request.Memory)
		}
		if err == nil && next.Offset > 0 && !isEventStream(answer) {
			_ = answer.Body.Close() // the response is not used
			err = streamFailure(errors.New("the attempt did not resume the stream"))
		}
		if err == nil {
			a.answer = answer
			return nil
		}
		a.lastErr = err
		event = a.failedEvent(err, true)
	}
}

// applyEvent applies an event to the lifecycle. An event of the current attempt
// yields at most one action.
func (a *attemptRunner) applyEvent(event attempt.LifecycleEvent) attempt.LifecycleAction {
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	actions := a.lifecycle.Step(a.server.fleet.Now(), event)
	if len(actions) == 0 {
		return nil
	}
	return actions[0]
}

// Delivered implements stream.Resumer.
func (a *attemptRunner) Delivered(offset int) {
	a.applyEvent(attempt.Delivered{Attempt: a.request.Attempt, Offset: offset})
}

// Resume implements stream.Resumer.
func (a *attemptRunner) Resume(offset int, resumable bool, cause error) (io.ReadCloser, error) {
	a.server.log.Info().Err(cause).Str("event", "stream_broken").Str("request", a.request.ID).Int("attempt", a.request.Attempt).Int("offset", offset).Send()
	a.lastErr = streamFailure(cause)
	if err := a.runUntilResponse(a.failedEvent(a.lastErr, resumable)); err != nil {
		return nil, err
	}
	return a.answer.Body, nil
}

// Completed implements stream.Resumer.
func (a *attemptRunner) Completed() { a.applyEvent(attempt.Completed{Attempt: a.request.Attempt}) }

// failedEvent returns the lifecycle event of a failed attempt. The failure is
// permanent, because a further attempt would fail as well, if it asks to retry
// later, or if the caller disconnected or the deadline passed.
func (a *attemptRunner) failedEvent(err error, resumable bool) attempt.Failed {
	event := attempt.Failed{Attempt: a.request.Attempt, Failure: attempt.Failure{Sent: true}, Resumable: resumable}
	var failed *call.Error
	if errors.As(err, &failed) {
		event.Failure = failed.Failure
		event.Permanent = failed.RetryAfter > 0
	}
	event.Permanent = event.Permanent || a.ctx.Err() != nil
	return event
}

// streamFailure returns the error of an attempt whose event stream ended early
// or failed a check.
func streamFailure(cause error) *call.Error {
	code := string(attempt.Truncated)
	var streamErr *attempt.StreamError
	if errors.As(cause, &streamErr) {
		code = string(streamErr.Fault)
	}
	return &call.Error{
		Failure: attempt.Failure{Sent: true},
		Status:  fasthttp.StatusGatewayTimeout,
		Code:    code,
		Err:     cause,
	}
}

// isEventStream reports whether a response is a successful event stream.
func isEventStream(answer *call.Response) bool {
	return answer.Status == fasthttp.StatusOK && strings.HasPrefix(answer.ContentType, eventStreamType)
}

// withOverallOutcome returns the last error with the outcome of all attempts:
// an earlier attempt may have run although the last one did not.
func withOverallOutcome(last error, action attempt.LifecycleAction) error {
	var failed *call.Error
	report, isReport := action.(attempt.Report)
	if !errors.As(last, &failed) || !isReport || failed.Failure.Outcome() == report.Outcome {
		return last
	}
	combined := *failed
	combined.Failure = attempt.Failure{Sent: true}
	combined.Status = fasthttp.StatusGatewayTimeout
	return &combined
}
