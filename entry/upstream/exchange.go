package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// ErrUnexpectedResponse is returned if a connection carries bytes that are not a
// response to the request.
var ErrUnexpectedResponse = errors.New("the connection carried bytes that are not a response to the request")

// maxSkippedResponses is the maximum number of responses to other requests that
// are skipped before the one to this request.
const maxSkippedResponses = 2

// Limits on what a worker may send around the response to a request.
const (
	// maxInformational is the number of informational (1xx) headers before a final
	// one.
	maxInformational = 8
	// maxSkippedBytes is the size of the body of a response to another request.
	maxSkippedBytes = 1 << 20
)

// Exchange is a request whose response header has been read. Read returns the
// body; a call of Finish or Discard ends the exchange. It is not safe for
// concurrent use.
type Exchange struct {
	// Header is the response header.
	Header fasthttp.ResponseHeader
	// Unframed is true for a response with neither a length nor chunks: its body
	// ends with the connection.
	Unframed bool

	pool             *Pool
	conn             *conn
	body             io.Reader
	framing          framing
	bodyComplete     bool
	skippedResponses int
	stopAbort        func() bool
	// aborted is set when the context has ended.
	aborted atomic.Bool
	// written is closed when the request has been written or can't be. writeErr is set
	// before.
	written  chan struct{}
	writeErr error
}

// framing is how the end of a body is determined.
type framing uint8

const (
	framingLength framing = iota
	framingChunked
	framingClose
)

// Attribution is the request that a response belongs to.
type Attribution uint8

const (
	// Unattributed responses do not say to which request they belong. They may come
	// from something between this process and the worker, or be a late copy of a
	// response to an earlier request.
	Unattributed Attribution = iota
	// ThisRequest is the request that was sent.
	ThisRequest
	// OtherRequest is any other one.
	OtherRequest
)

// Request is a request to a worker.
type Request struct {
	// ID identifies the request. A connection never carries the same ID twice, since
	// a late copy of the response to the earlier one could not be told apart.
	ID string
	// Bytes is the encoded request, or its header if there is a Body.
	Bytes []byte
	// Body follows Bytes. It must not change until the exchange has ended.
	Body []byte
	// Attribute returns the request that a response belongs to.
	Attribute func(*fasthttp.ResponseHeader) Attribution
}

// Send writes a request and waits for the header of its response. Its errors are
// of type *SendError. When ctx ends before Finish or Discard, the connection is
// closed, which tells the worker that nobody waits for the response.
func (p *Pool) Send(ctx context.Context, address string, request Request) (*Exchange, error) {
	c := p.takeIdle(address, request.ID, time.Now())
	if c == nil {
		dialed, err := p.dial(ctx, address)
		if err != nil {
			return nil, &SendError{Cause: err}
		}
		c = dialed
	}
	if ctx.Err() != nil {
		_ = c.net.Close() // nothing was sent for this request
		return nil, &SendError{Cause: context.Cause(ctx)}
	}
	x := &Exchange{pool: p, conn: c, written: make(chan struct{})}
	x.stopAbort = context.AfterFunc(ctx, func() {
		x.aborted.Store(true)
		discardUnsentOnClose(c.net)
		_ = c.net.Close() // unblocks the reader, which reports the end of ctx
	})
	c.addRequest(request.ID)
	if err := x.roundTrip(request); err != nil {
		x.Discard()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &SendError{Sent: true, Cause: err}
	}
	return x, nil
}

// maxSyncWriteBytes is the size up to which a request is written before its
// response is read. Longer ones are written concurrently, since a worker may
// respond before it has read the whole request.
const maxSyncWriteBytes = 16 << 10

// roundTrip writes the request and reads the header of its response. It skips
// responses to other requests. One that belongs to no known request ends the attempt:
// it proves nothing about this one.
func (x *Exchange) roundTrip(request Request) error {
	if len(request.Bytes)+len(request.Body) <= maxSyncWriteBytes {
		_, x.writeErr = x.conn.net.Write(append(request.Bytes, request.Body...))
		close(x.written)
		if x.writeErr != nil {
			return x.writeErr
		}
	} else {
		go func() {
			buffers := net.Buffers{request.Bytes, request.Body} // avoids a copy of the body
			_, x.writeErr = buffers.WriteTo(x.conn.net)
			close(x.written)
		}()
	}
	for {
		if err := x.readHeader(); err != nil {
			return err
		}
		switch request.Attribute(&x.Header) {
		case ThisRequest:
			return nil
		case Unattributed:
			return ErrUnexpectedResponse
		}
		if err := x.skipResponse(); err != nil {
			return err
		}
	}
}

// readHeader reads the next header that isn't informational (1xx) and prepares
// the body reader.
func (x *Exchange) readHeader() error {
	for range maxInformational + 1 {
		if err := httpx.ReadHeader(&x.Header, x.conn.reader); err != nil {
			return fmt.Errorf("read response header: %w", err)
		}
		if x.Header.StatusCode() >= fasthttp.StatusOK {
			x.setBodyReader()
			return nil
		}
	}
	return ErrUnexpectedResponse
}

// setBodyReader sets up the body reader for the framing that the header states.
func (x *Exchange) setBodyReader() {
	status, length := x.Header.StatusCode(), x.Header.ContentLength()
	switch {
	case status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		x.framing, x.body = framingLength, io.LimitReader(x.conn.reader, 0)
	case length >= 0:
		x.framing, x.body = framingLength, &lengthReader{source: x.conn.reader, remaining: length}
	case length == -1:
		x.framing, x.body = framingChunked, httputil.NewChunkedReader(x.conn.reader)
	default:
		x.framing, x.body, x.Unframed = framingClose, x.conn.reader, true
	}
}

// skipResponse reads the rest of a response to another request. It returns
// ErrUnexpectedResponse if there were too many, or this one is too long or ends with
// the connection.
func (x *Exchange) skipResponse() error {
	if x.skippedResponses++; x.skippedResponses > maxSkippedResponses || x.framing == framingClose {
		return ErrUnexpectedResponse
	}
	skipped, err := io.Copy(io.Discard, io.LimitReader(x.body, maxSkippedBytes+1))
	if err != nil {
		return err
	}
	if skipped > maxSkippedBytes {
		return ErrUnexpectedResponse
	}
	return x.checkEnd()
}

// Read reads the body. It returns io.EOF only after the complete body, and never
// after the context has ended. A truncated body ends with io.ErrUnexpectedEOF,
// except that truncation can't be detected if the body ends with a connection that is
// closed in order.
func (x *Exchange) Read(buffer []byte) (int, error) {
	n, err := x.body.Read(buffer)
	if errors.Is(err, io.EOF) {
		if x.aborted.Load() {
			return n, io.ErrUnexpectedEOF
		}
		if endErr := x.checkEnd(); endErr != nil {
			return n, endErr
		}
		x.bodyComplete = true
	}
	return n, err
}

// checkEnd checks what follows the last byte of the body.
func (x *Exchange) checkEnd() error {
	switch x.framing {
	case framingChunked:
		return httpx.ReadTrailer(x.conn.reader)
	case framingClose:
		return x.checkClose()
	}
	return nil
}

// Finish returns the connection to the pool if the complete response was read and
// nothing else was received, and closes it otherwise. The pool keeps the connection
// for idleTimeout, or for Config.IdleTimeout if it is 0. A negative idleTimeout closes
// the connection.
func (x *Exchange) Finish(idleTimeout time.Duration) {
	reusable := x.bodyComplete && x.framing != framingClose && x.skippedResponses == 0 && x.conn.reader.Buffered() == 0 &&
		!x.Header.ConnectionClose() && x.isRequestWritten()
	if !x.stopAbort() || !reusable || idleTimeout < 0 {
		_ = x.conn.net.Close() // it isn't used again, so an error has no effect
		return
	}
	x.pool.putIdle(x.conn, idleTimeout)
}

// isRequestWritten reports whether the whole request was written without an
// error.
func (x *Exchange) isRequestWritten() bool {
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
		return false
	}
}

// Discard closes the connection with a reset, which the worker notices, so that it
// may stop work on the request.
func (x *Exchange) Discard() {
	x.stopAbort()
	discardUnsentOnClose(x.conn.net)
	_ = x.conn.net.Close() // it isn't used again, so an error has no effect
}

// lengthReader reads a body of a known length, and returns io.ErrUnexpectedEOF if
// it is truncated.
type lengthReader struct {
	source    io.Reader
	remaining int
}

func (r *lengthReader) Read(buffer []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	n, err := r.source.Read(buffer[:min(len(buffer), r.remaining)])
	r.remaining -= n
	if r.remaining == 0 {
		return n, io.EOF
	}
	if errors.Is(err, io.EOF) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
