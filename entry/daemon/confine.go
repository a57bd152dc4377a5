package daemon

import (
	"context"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
)

// confinePanics returns a handler that ends a request in which next panics, with an
// outcome that promises nothing.
func confinePanics(log zerolog.Logger, next fasthttp.RequestHandler) fasthttp.RequestHandler {
	report := recovery.Log(log)
	return func(ctx *fasthttp.RequestCtx) {
		if !recovery.Run(report, "request", func() { next(ctx) }) {
			return
		}
		ctx.Response.Reset()
		ctx.SetConnectionClose()
		problem := httpx.Problem{Status: fasthttp.StatusInternalServerError, Code: "internal", Message: "internal error", Outcome: attempt.Unknown}
		problem.Write(ctx)
	}
}

// loop runs a background task until ctx is done, also after a panic.
func (d *Daemon) loop(ctx context.Context, task string, run func(context.Context)) {
	recovery.Loop(ctx, recovery.Log(d.log), task, run)
}
