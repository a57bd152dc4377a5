package httpx

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrCallerDisconnected is the cause of a context that ended because the caller
// closed its connection.
var ErrCallerDisconnected = errors.New("the caller closed the connection")

// WatchListener returns a listener whose connections Watch can observe. A write
// that does not complete within stallTimeout fails, so that a caller that stops
// reading does not keep an endpoint busy.
func WatchListener(inner net.Listener, stallTimeout time.Duration) net.Listener {
	return &watchListener{Listener: inner, stallTimeout: stallTimeout}
}

// WatchIdleListener is a WatchListener that also limits how long a connection
// may wait for its next request. idleTimeout returns the limit and is called
// when the wait begins; 0 leaves the limit to the server.
func WatchIdleListener(inner net.Listener, stallTimeout time.Duration, idleTimeout func() time.Duration) net.Listener {
	return &watchListener{Listener: inner, stallTimeout: stallTimeout, idleTimeout: idleTimeout}
}

type watchListener struct {
	net.Listener
	stallTimeout time.Duration
	idleTimeout  func() time.Duration
}

// Accept implements net.Listener.
func (l *watchListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	watched := &watchedConn{Conn: conn, stallTimeout: l.stallTimeout, idleTimeout: l.idleTimeout}
	watched.awaitingRequest.Store(true)
	return watched, nil
}

// Watch returns a context that ends with parent, or when the caller of ctx
// closes its connection. fasthttp notices that only on a write, so a background
// read waits for it while the handler runs. stop ends that read, but not the
// context, and must be called before the handler returns. If the connection is
// not from a WatchListener, only parent and cancel end the context.
func Watch(parent context.Context, ctx *fasthttp.RequestCtx) (watched context.Context, cancel context.CancelCauseFunc, stop func()) {
	watched, cancel = context.WithCancelCause(parent)
	conn, observable := ctx.Conn().(*watchedConn)
	if !observable {
		return watched, cancel, func() {}
	}
	return watched, cancel, conn.watch(func() { cancel(ErrCallerDisconnected) })
}

// Unwatched returns the connection that a WatchListener's own listener accepted, or conn
// itself if it comes from another listener.
func Unwatched(conn net.Conn) net.Conn {
	if watched, ok := conn.(*watchedConn); ok {
		return watched.Conn
	}
	return conn
}

// watchedConn can wait for the end of the connection while a request is
// handled. A byte that arrives meanwhile is buffered for the next Read.
type watchedConn struct {
	net.Conn
	stallTimeout time.Duration
	idleTimeout  func() time.Duration
	// awaitingRequest is set on accept and by each write, and cleared when data
	// is read.
	awaitingRequest atomic.Bool

	mu sync.Mutex
	// readAhead holds what the background read received.
	readAhead []byte
}

// watch reads in the background until stop is called, and calls onDisconnect if
// the connection ends. It does nothing if a byte is already buffered or the
// connection is closed.
func (c *watchedConn) watch(onDisconnect func()) (stop func()) {
	if c.hasReadAhead() || c.SetReadDeadline(time.Time{}) != nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		var buffer [1]byte
		n, err := c.Conn.Read(buffer[:])
		if n == 1 {
			c.storeReadAhead(buffer[0])
			return
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			onDisconnect()
		}
	}()
	return sync.OnceFunc(func() {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // ends the waiting read
		<-done
		_ = c.SetReadDeadline(time.Time{})
	})
}

func (c *watchedConn) hasReadAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.readAhead) > 0
}

func (c *watchedConn) storeReadAhead(b byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAhead = append(c.readAhead, b)
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.readAhead) > 0 && len(p) > 0 {
		n := copy(p, c.readAhead)
		c.readAhead = c.readAhead[n:]
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	if limit := c.requestWaitLimit(); limit > 0 {
		if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.awaitingRequest.Store(false)
	}
	return n, err
}

// requestWaitLimit returns how long the next read may wait for a request. It
// returns 0 if there is no limit or no request is awaited.
func (c *watchedConn) requestWaitLimit() time.Duration {
	if c.idleTimeout == nil || !c.awaitingRequest.Load() {
		return 0
	}
	return c.idleTimeout()
}

// Write implements net.Conn.
func (c *watchedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.stallTimeout)); err != nil {
		return 0, err
	}
	c.awaitingRequest.Store(true)
	return c.Conn.Write(p)
}
