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
	"github.com/bulrushwick/bulrushwick/entry/recovery"
)

// The owner sends interim responses while it works on a forwarded request, so
// that the instance that forwarded it can distinguish a lost connection from a
// long wait.
const (
	processingInterval = time.Second
	processingTimeout  = 3 * processingInterval
)

// Server serves the forwarded requests of one path: attempts on workers, or
// requests with idempotency keys, that this instance owns.
type Server interface {
	Serve(ctx context.Context, r *call.Request) (*call.Response, error)
}

// Handler returns the request handler of the peer listener. It passes forwarded
// attempts to workers, and forwarded requests with an idempotency key to keyed. The
// panics of response bodies go to report.
// readBody reads the bodies of requests, and memory counts responses that are held whole.
func Handler(workers, keyed Server, readBody func(*fasthttp.RequestCtx) ([]byte, *httpx.Problem), memory call.Memory, report recovery.Reporter) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		server := workers
		switch string(ctx.Path()) {
		case Path:
		case KeyedPath:
			server = keyed
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
		body, problem := readBody(ctx)
		if problem != nil {
			problem.Write(ctx)
			return
		}
		if body != nil {
			r.Body = body
		}
		r.Memory = memory
		ctx.Response.Header.Set(httpx.RequestID, r.ID)
		ctx.Response.Header.Set(httpx.AttemptID, strconv.Itoa(r.Attempt))
		stop := httpx.SendProcessing(ctx, processingInterval)
		answer, err := ServeCancellable(ctx, r, server.Serve)
		stop()
		if err != nil {
			httpx.ProblemOf(err).Write(ctx)
			return
		}
		WriteAnswer(ctx, answer, memory, report)
	}
}

// WriteAnswer writes a response to ctx. Its body is streamed, and closed at the end. A
// panic in the body goes to report, and ends the response as one that broke off.
//
// A caller that speaks HTTP/1.0 gets the body with its length, or an error: it knows no
// chunks, and cannot tell a body that broke off by the end of the connection.
func WriteAnswer(ctx *fasthttp.RequestCtx, answer *call.Response, memory call.Memory, report recovery.Reporter) {
	answer.Body = recovery.Body(report, "response", answer.Body)
	if ctx.Request.Header.IsHTTP11() {
		writeHead(ctx, answer)
		ctx.SetBodyStream(answer.Body, -1)
		return
	}
	body, whole, err := answer.ReadWhole(memory)
	if err == nil && !whole {
		_ = answer.Body.Close() // the response is replaced
		err = call.NoMemoryError()
	}
	if err != nil {
		httpx.ProblemOf(err).Write(ctx)
		return
	}
	writeHead(ctx, answer)
	ctx.SetBodyStream(answer.Body, len(body))
}

func writeHead(ctx *fasthttp.RequestCtx, answer *call.Response) {
	h := &ctx.Response.Header
	ctx.SetStatusCode(answer.Status)
	h.SetContentType(answer.ContentType)
	h.Set(httpx.Outcome, string(attempt.Served))
	if answer.Adapter != "" {
		h.Set(httpx.Adapter, answer.Adapter)
	}
	h.Set(httpx.WorkerHeader, answer.Worker)
	h.Set(httpx.WaitMs, strconv.FormatInt(answer.Wait.Milliseconds(), 10))
}

// ServeCancellable runs serve with a context that is cancelled at the request's
// deadline, when the caller disconnects while serve runs, or when the response
// body is closed.
func ServeCancellable(ctx *fasthttp.RequestCtx, r *call.Request, serve func(context.Context, *call.Request) (*call.Response, error)) (*call.Response, error) {
	deadline, cancelDeadline := context.WithDeadline(context.Background(), r.Deadline)
	watched, cancel, stop := httpx.Watch(deadline, ctx)
	defer stop()
	cancelAll := func() {
		cancel(nil)
		cancelDeadline()
	}
	answer, err := serve(watched, r)
	if err != nil {
		cancelAll()
		return nil, err
	}
	answer.Body = &cancellingBody{ReadCloser: answer.Body, cancel: cancelAll}
	return answer, nil
}

// cancellingBody is a response body that cancels the request's context when it
// is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel func()
}

// Close implements io.Closer.
func (b *cancellingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
