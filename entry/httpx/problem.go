package httpx

import (
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/entry/call"
)

// Problem is the JSON body of a response to a request that was not served.
type Problem struct {
	Status     int             `json:"status"`
	Code       string          `json:"code"`
	Message    string          `json:"message"`
	Outcome    attempt.Outcome `json:"outcome"`
	RetryAfter time.Duration   `json:"-"`
}

// Error implements error.
func (p *Problem) Error() string { return p.Code + ": " + p.Message }

// Write writes the problem as the response of ctx.
func (p *Problem) Write(ctx *fasthttp.RequestCtx) {
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // a struct of strings and integers always marshals
	}
	ctx.Response.ResetBody()
	ctx.SetStatusCode(p.Status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(Outcome, string(p.Outcome))
	if p.RetryAfter > 0 {
		seconds := int(p.RetryAfter.Round(time.Second) / time.Second)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(max(seconds, 1)))
	}
	ctx.SetBody(body)
}

// CallError wraps an error of Client.Do. Only a *SendError with Sent unset
// proves that no byte of the request was sent: the call failed before the first
// write.
func CallError(code string, err error) *call.Error {
	var sendErr *SendError
	sent := !errors.As(err, &sendErr) || sendErr.Sent
	callErr := &call.Error{Failure: attempt.Failure{Sent: sent}, Code: code, Err: err}
	callErr.Status = fasthttp.StatusServiceUnavailable
	if sent {
		callErr.Status = fasthttp.StatusGatewayTimeout
	}
	return callErr
}

// ProblemOf returns the problem that reports err to the caller.
func ProblemOf(err error) *Problem {
	var problem *Problem
	if errors.As(err, &problem) {
		return problem
	}
	var callErr *call.Error
	if !errors.As(err, &callErr) {
		return &Problem{
			Status:  fasthttp.StatusInternalServerError,
			Code:    "internal",
			Message: err.Error(),
			Outcome: attempt.Unknown,
		}
	}
	return &Problem{
		Status:     callErr.Status,
		Code:       callErr.Code,
		Message:    callErr.Err.Error(),
		Outcome:    callErr.Failure.Outcome(),
		RetryAfter: callErr.RetryAfter,
	}
}
