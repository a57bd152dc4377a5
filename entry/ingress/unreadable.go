package ingress

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// HandleReadError responds to a request that could not be read because it is
// too large, too slow or malformed, and closes the connection. It is the error
// handler of the callers' listener.
func HandleReadError(ctx *fasthttp.RequestCtx, err error) {
	problem := httpx.Problem{
		Status:  fasthttp.StatusBadRequest,
		Code:    "malformed_request",
		Message: err.Error(),
		Outcome: attempt.NotRun,
	}
	var headersErr *fasthttp.ErrSmallBuffer
	var networkErr net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		problem.Status, problem.Code = fasthttp.StatusRequestEntityTooLarge, "body_too_large"
	case errors.As(err, &headersErr):
		problem.Status, problem.Code = fasthttp.StatusRequestHeaderFieldsTooLarge, "headers_too_large"
	case errors.As(err, &networkErr) && networkErr.Timeout():
		problem.Status, problem.Code = fasthttp.StatusRequestTimeout, "request_too_slow"
	}
	ctx.SetConnectionClose()
	problem.Write(ctx)
}
