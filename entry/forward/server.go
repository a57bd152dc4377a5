package forward

import (
	"context"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// Server runs a forwarded attempt on a worker that this instance owns.
type Server interface {
	Serve(ctx context.Context, r *call.Request) (*call.Answer, error)
}

// Handler answers forwarded requests with s.
func Handler(s Server) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != Path {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		r, err := decode(&ctx.Request)
		if err != nil {
			problem := httpx.Problem{
				Status:  fasthttp.StatusBadRequest,
				Code:    "malformed_forward",
				Message: err.Error(),
				Outcome: attempt.NotRun,
			}
			problem.Write(ctx)
			return
		}
		deadline, cancel := context.WithDeadline(context.Background(), r.Deadline)
		defer cancel()
		answer, err := s.Serve(deadline, r)
		if err != nil {
			httpx.ProblemOf(err).Write(ctx)
			return
		}
		WriteAnswer(ctx, answer)
	}
}

// WriteAnswer relays an answer; its body is streamed and closed at the end.
func WriteAnswer(ctx *fasthttp.RequestCtx, answer *call.Answer) {
	h := &ctx.Response.Header
	ctx.SetStatusCode(answer.Status)
	h.SetContentType(answer.Content)
	h.Set(httpx.Outcome, string(attempt.Served))
	if answer.Adapter != "" {
		h.Set(httpx.Adapter, answer.Adapter)
	}
	h.Set(httpx.WorkerHeader, answer.Worker)
	h.Set(httpx.WaitMs, strconv.FormatInt(answer.Wait.Milliseconds(), 10))
	ctx.SetBodyStream(answer.Body, -1)
}
