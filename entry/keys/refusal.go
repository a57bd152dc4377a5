package keys

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/entry/call"
)

// retryAfter is the retry hint of a refusal for a temporary reason.
const retryAfter = time.Second

// refusalError returns the error for the sender of a send that the record
// refused.
func refusalError(a attempt.Refuse) *call.Error {
	status, message := describe(a.Reason)
	failed := &call.Error{Status: status, Code: string(a.Reason), Err: errors.New(message)}
	failed.Failure.Sent = a.Outcome != attempt.NotRun
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusConflict {
		failed.RetryAfter = retryAfter
	}
	return failed
}

// describe returns the HTTP status and the message for a reason.
func describe(reason attempt.Reason) (status int, message string) {
	switch reason {
	case attempt.NotHolder:
		return fasthttp.StatusServiceUnavailable, "the instance does not own the key now"
	case attempt.BelowFloor:
		return fasthttp.StatusGatewayTimeout, "the key was minted before its owner's record begins; the call may have run"
	case attempt.FromFuture:
		return fasthttp.StatusUnprocessableEntity, "the key was minted in the future; set the clock that mints keys"
	case attempt.Expired:
		return fasthttp.StatusUnprocessableEntity, "the key is past its retention and has not run"
	case attempt.Reused:
		return fasthttp.StatusUnprocessableEntity, "the key came before with another method, path or body"
	case attempt.Full:
		return fasthttp.StatusServiceUnavailable, "too many calls with a key are in progress"
	case attempt.InProgress:
		return fasthttp.StatusConflict, "the call is in progress and too many sends wait for it"
	case attempt.RunUnknown:
		return fasthttp.StatusGatewayTimeout, "the call was sent once and its outcome is unknown"
	case attempt.RunNotRun:
		return fasthttp.StatusServiceUnavailable, "the call did not reach its endpoint"
	case attempt.AnswerDropped:
		return fasthttp.StatusGatewayTimeout, "the call ran once; its answer is no longer kept"
	}
	return fasthttp.StatusInternalServerError, string(reason)
}

// outcomeOf returns the outcome of a failed run: Unknown, unless the error
// proves another one.
func outcomeOf(err error) attempt.Outcome {
	var failed *call.Error
	if errors.As(err, &failed) {
		return failed.Failure.Outcome()
	}
	return attempt.Unknown
}

// unknownOutcomeError is the error of a call that may have run.
func unknownOutcomeError(status int, code string, err error) *call.Error {
	return &call.Error{Failure: attempt.Failure{Sent: true}, Status: status, Code: code, Err: err}
}
