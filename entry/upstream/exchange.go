package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrWrongAnswer marks bytes that are no answer to the request.
var ErrWrongAnswer = errors.New("the connection carried bytes that are no answer to the request")

// maxStrays bounds the answers to other requests that are read past.
const maxStrays = 2

// Exchange is a request whose answer has begun.
type Exchange struct {
	Header fasthttp.ResponseHeader
	// Unframed answers have no length and end with their connection.
	Unframed bool

	pool     *Pool
	conn     *conn
	body     io.Reader
	framing  framing
	complete bool
	strays   int
	stop     func() bool
	aborted  atomic.Bool
	written  chan error
}

type framing uint8

const (
	byLength framing = iota
	byChunks
	byClose
)

// Matches tells whether an answer's header belongs to the request that was sent.
type Matches func(*fasthttp.ResponseHeader) bool

// Send writes a request and waits for the header of its answer. Its error is a
// *SendError. When ctx ends, also later, the connection is closed, which is how
// a worker learns that nobody waits.
func (p *Pool) Send(ctx context.Context, address string, request []byte, matches Matches) (*Exchange, error) {
	c := p.take(address, time.Now())
	if c == nil {
		fresh, err := p.dial(ctx, address)
		if err != nil {
			return nil, &SendError{Cause: err}
		}
		c = fresh
	}
	if ctx.Err() != nil {
		_ = c.net.Close() // nothing was sent on it
		return nil, &SendError{Cause: context.Cause(ctx)}
	}
	x := &Exchange{pool: p, conn: c, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() {
		x.aborted.Store(true)
		reset(c.net)
		_ = c.net.Close() // wakes the reader, which reports the end of ctx
	})
	if err := x.begin(request, matches); err != nil {
		x.Discard()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &SendError{Sent: true, Cause: err}
	}
	return x, nil
}

// singleWrite is the size up to which a request is written before its answer is
// read. A worker may answer a longer one before it has read it all.
const singleWrite = 16 << 10

func (x *Exchange) begin(request []byte, matches Matches) error {
	if len(request) <= singleWrite {
		_, err := x.conn.net.Write(request)
		x.written <- err
		if err != nil {
			return err
		}
	} else {
		go func() {
			_, err := x.conn.net.Write(request)
			x.written <- err
		}()
	}
	for {
		if err := x.readHeader(); err != nil {
			return err
		}
		if matches(&x.Header) {
			return nil
		}
		if err := x.skipStray(); err != nil {
			return err
		}
	}
}

// readHeader reads the next final header and prepares the body.
func (x *Exchange) readHeader() error {
	for {
		if err := x.Header.Read(x.conn.reader); err != nil {
			return fmt.Errorf("read an answer's header: %w", err)
		}
		if x.Header.StatusCode() >= fasthttp.StatusOK {
			break
		}
	}
	x.frame()
	return nil
}

// frame prepares the body by the header's framing.
func (x *Exchange) frame() {
	status, length := x.Header.StatusCode(), x.Header.ContentLength()
	switch {
	case status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		x.framing, x.body = byLength, io.LimitReader(x.conn.reader, 0)
	case length >= 0:
		x.framing, x.body = byLength, &exactReader{from: x.conn.reader, left: length}
	case length == -1:
		x.framing, x.body = byChunks, httputil.NewChunkedReader(x.conn.reader)
	default:
		x.framing, x.body, x.Unframed = byClose, x.conn.reader, true
	}
}

// skipStray reads past an answer to another request.
func (x *Exchange) skipStray() error {
	if x.strays++; x.strays > maxStrays || x.framing == byClose {
		return ErrWrongAnswer
	}
	if _, err := io.Copy(io.Discard, x.body); err != nil {
		return err
	}
	return x.finishBody()
}

// Read returns the body; io.EOF only after all of it.
func (x *Exchange) Read(buffer []byte) (int, error) {
	n, err := x.body.Read(buffer)
	if errors.Is(err, io.EOF) {
		if x.aborted.Load() {
			return n, io.ErrUnexpectedEOF
		}
		if failed := x.finishBody(); failed != nil {
			return n, failed
		}
		x.complete = true
	}
	return n, err
}

// finishBody reads what follows the last chunk.
func (x *Exchange) finishBody() error {
	if x.framing != byChunks {
		return nil
	}
	for {
		line, err := x.conn.reader.ReadSlice('\n')
		if err != nil {
			return io.ErrUnexpectedEOF
		}
		if len(line) <= 2 {
			return nil
		}
	}
}

// Finish gives the connection back where the whole answer was read and nothing
// else came; otherwise it is closed.
func (x *Exchange) Finish(keepFor time.Duration) {
	reusable := x.complete && x.framing != byClose && x.strays == 0 && x.conn.reader.Buffered() == 0 &&
		!x.Header.ConnectionClose() && x.requestWritten()
	if !x.stop() || !reusable || keepFor < 0 {
		_ = x.conn.net.Close() // nothing is owed on it
		return
	}
	x.pool.keep(x.conn, keepFor)
}

func (x *Exchange) requestWritten() bool {
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// Discard closes the connection at once; the worker sees it and may stop.
func (x *Exchange) Discard() {
	x.stop()
	reset(x.conn.net)
	_ = x.conn.net.Close() // the reset is all that matters
}

// exactReader reads a body of a known length and tells a cut one.
type exactReader struct {
	from io.Reader
	left int
}

func (r *exactReader) Read(buffer []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n, err := r.from.Read(buffer[:min(len(buffer), r.left)])
	r.left -= n
	if r.left == 0 {
		return n, io.EOF
	}
	if errors.Is(err, io.EOF) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
