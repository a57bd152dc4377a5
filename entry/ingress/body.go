package ingress

import (
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
	"github.com/bulrushwick/bulrushwick/entry/intake"
)

// ReadBody returns a function that reads bodies of at most limit bytes through an intake.
// After a problem the connection is closed.
func ReadBody(i *intake.Intake, limit int) func(*fasthttp.RequestCtx) ([]byte, *httpx.Problem) {
	return func(ctx *fasthttp.RequestCtx) ([]byte, *httpx.Problem) {
		body, refusal := i.ReadBody(ctx, limit)
		if refusal == nil {
			return body, nil
		}
		ctx.SetConnectionClose() // the rest of the body is not read
		return nil, &httpx.Problem{
			Status: refusal.Status, Code: refusal.Code, Message: refusal.Reason, Outcome: attempt.NotRun, RetryAfter: refusal.RetryAfter,
		}
	}
}
