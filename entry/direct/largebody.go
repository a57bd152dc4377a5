package direct

import (
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/entry/recovery"
	"github.com/bulrushwick/bulrushwick/entry/upstream"
)

// largeBody forwards the body of a response that is too large to be read whole
// first. It is used by one goroutine at a time.
type largeBody struct {
	*call
	exchange *upstream.Exchange
	response ResponseInfo
	// buffered holds the bytes that were read but not forwarded.
	buffered         []byte
	complete, closed bool
}

// forwardLarge forwards a response of which only the first bytes have been read.
func (c *call) forwardLarge(ctx *fasthttp.RequestCtx, x *upstream.Exchange, response ResponseInfo, buffered []byte) nextAction {
	length := -1
	if !x.Unframed {
		length = max(x.Header.ContentLength(), -1)
	}
	body := &largeBody{call: c, exchange: x, response: response, buffered: buffered}
	if length < 0 && !ctx.Request.Header.IsHTTP11() {
		refuseWhole(ctx)
		_ = body.Close() // never fails
		return actionDone
	}
	c.codec.CopyHeader(&ctx.Response.Header, &x.Header)
	ctx.SetStatusCode(response.Status)
	c.recordFirstByte(now())
	ctx.SetBodyStream(body, length)
	return actionDone
}

// Read implements io.Reader; the server reads the caller's response from it. An
// error other than io.EOF closes the caller's connection without the end of the
// body, so that a truncated response never looks complete.
func (b *largeBody) Read(p []byte) (n int, err error) {
	defer b.confinePanic(&n, &err)
	if len(b.buffered) > 0 {
		n = copy(p, b.buffered)
		b.buffered = b.buffered[n:]
		return n, nil
	}
	if b.complete {
		return 0, io.EOF
	}
	n, err = b.exchange.Read(p)
	b.complete = errors.Is(err, io.EOF)
	return n, err
}

// confinePanic turns a panic of a Read into its error, which closes the caller's
// connection without the end of the body. It must be deferred.
func (c *call) confinePanic(n *int, err *error) {
	if value := recover(); value != nil {
		cause := recovery.New("response", value)
		c.reportPanic(cause)
		c.cancel(cause)
		*n, *err = 0, cause
	}
}

// Close implements io.Closer; the server calls it at the end of the response,
// complete or not.
func (b *largeBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	b.stopWatch()
	outcome := "answered"
	if b.complete {
		b.finishExchange(b.exchange, b.response)
	} else {
		outcome = "cut"
		b.discardExchange(b.exchange)
	}
	b.finish(outcome, b.response.Status)
	return nil
}
