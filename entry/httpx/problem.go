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

// Problem is the JSON body of an answer that is not served.
type Problem struct {
	Status     int             `json:"status"`
	Code       string          `json:"code"`
	Message    string          `json:"message"`
	Outcome    attempt.Outcome `json:"outcome"`
	RetryAfter time.Duration   `json:"-"`
}

// Error implements error.
func (p *Problem) Error() string { return p.Code + ": " + p.Message }

// Write answers ctx with the problem.
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

// CallError wraps a client's error: only a failure before the first write proves
// that no byte of the request was sent.
func CallError(code string, err error) *call.Error {
	var send *SendError
	sent := !errors.As(err, &send) || send.Sent
	failed := &call.Error{Failure: attempt.Failure{Sent: sent}, Code: code, Err: err}
	failed.Status = fasthttp.StatusServiceUnavailable
	if sent {
		failed.Status = fasthttp.StatusGatewayTimeout
	}
	return failed
}

// ProblemOf returns the body that tells a caller of err.
func ProblemOf(err error) *Problem {
	var problem *Problem
	if errors.As(err, &problem) {
		return problem
	}
	var failed *call.Error
	if !errors.As(err, &failed) {
		return &Problem{
			Status:  fasthttp.StatusInternalServerError,
			Code:    "internal",
			Message: err.Error(),
			Outcome: attempt.Unknown,
		}
	}
	return &Problem{
		Status:     failed.Status,
		Code:       failed.Code,
		Message:    failed.Err.Error(),
		Outcome:    failed.Failure.Outcome(),
		RetryAfter: failed.RetryAfter,
	}
}
