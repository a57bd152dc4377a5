package ingress

import (
	"context"
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/call"
)

// attempts tries workers until one serves, or until the request's life ends.
func (s *Server) attempts(ctx context.Context, t *table.Table, route *table.Route, r *call.Request) (*call.Answer, error) {
	life := attempt.NewLife(attempt.DefaultLifeConfig(), s.budget, r.Idempotent, s.fleet.Now()+r.Remaining())
	tried := make(map[string]bool)
	var last error
	event := attempt.LifeEvent(attempt.Started{})
	for {
		action := s.step(life, event)
		try, again := action.(attempt.Try)
		if !again {
			return nil, told(last, action)
		}
		r.Attempt = try.Attempt
		answer, err := s.attempt(ctx, t, route, r, tried)
		if err == nil {
			return answer, nil
		}
		last = err
		event = failure(ctx, r.Attempt, err)
	}
}

// step applies an event; a life answers the current attempt with one action.
func (s *Server) step(life *attempt.Life, event attempt.LifeEvent) attempt.LifeAction {
	s.mu.Lock()
	defer s.mu.Unlock()
	actions := life.Step(s.fleet.Now(), event)
	if len(actions) == 0 {
		return nil
	}
	return actions[0]
}

// failure describes a failed attempt. What asks for a pause, or happens because
// the caller has gone, would fail again.
func failure(ctx context.Context, number int, err error) attempt.Failed {
	event := attempt.Failed{Attempt: number, Failure: attempt.Failure{Sent: true}}
	var failed *call.Error
	if errors.As(err, &failed) {
		event.Failure = failed.Failure
		event.Final = failed.RetryAfter > 0
	}
	event.Final = event.Final || ctx.Err() != nil
	return event
}

// told is the last failure with the outcome of all attempts: an earlier one may
// have run although the last did not.
func told(last error, action attempt.LifeAction) error {
	var failed *call.Error
	tell, tells := action.(attempt.Tell)
	if !errors.As(last, &failed) || !tells || failed.Failure.Outcome() == tell.Outcome {
		return last
	}
	whole := *failed
	whole.Failure = attempt.Failure{Sent: true}
	whole.Status = fasthttp.StatusGatewayTimeout
	return &whole
}
