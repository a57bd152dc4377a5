package forward

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// The owner tells the instance that forwarded a request that it still works on
// it, so that a connection that went silent is told from a long wait.
const (
	processingEvery   = time.Second
	processingTimeout = 3 * processingEvery
)

// Server runs a forwarded attempt on a worker that this instance owns.
type Server interface {
	Serve(ctx context.Context, r *call.Request) (*call.Response, error)
}

// Handler answers forwarded attempts with workers and forwarded calls that
// carry a key with keyed.
func Handler(workers, keyed Server) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		s := workers
		switch string(ctx.Path()) {
		case Path:
		case KeyedPath:
			s = keyed
		default:
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
		ctx.Response.Header.Set(httpx.RequestID, r.ID)
		ctx.Response.Header.Set(httpx.AttemptID, strconv.Itoa(r.Attempt))
		stop := httpx.KeepProcessing(ctx, processingEvery)
		answer, err := Watched(ctx, r, s.Serve)
		stop()
		if err != nil {
			httpx.ProblemOf(err).Write(ctx)
			return
		}
		WriteAnswer(ctx, answer)
	}
}

// WriteAnswer relays an answer; its body is streamed and closed at the end.
func WriteAnswer(ctx *fasthttp.RequestCtx, answer *call.Response) {
	h := &ctx.Response.Header
	ctx.SetStatusCode(answer.Status)
	h.SetContentType(answer.ContentType)
	h.Set(httpx.Outcome, string(attempt.Served))
	if answer.Adapter != "" {
		h.Set(httpx.Adapter, answer.Adapter)
	}
	h.Set(httpx.WorkerHeader, answer.Worker)
	h.Set(httpx.WaitMs, strconv.FormatInt(answer.Wait.Milliseconds(), 10))
	ctx.SetBodyStream(answer.Body, -1)
}

// Watched runs serve under a context that ends at the request's deadline, when
// the caller hangs up, or when the answer's body is closed.
func Watched(ctx *fasthttp.RequestCtx, r *call.Request, serve func(context.Context, *call.Request) (*call.Response, error)) (*call.Response, error) {
	deadline, cancelDeadline := context.WithDeadline(context.Background(), r.Deadline)
	watched, cancel, stop := httpx.Watch(deadline, ctx)
	defer stop()
	end := func() {
		cancel(nil)
		cancelDeadline()
	}
	answer, err := serve(watched, r)
	if err != nil {
		end()
		return nil, err
	}
	answer.Body = &ending{ReadCloser: answer.Body, end: end}
	return answer, nil
}

// ending ends the request's context when the answer's body is closed.
type ending struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (e *ending) Close() error {
	err := e.ReadCloser.Close()
	e.end()
	return err
}
