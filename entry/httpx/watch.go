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

// ErrHungUp is the cause of a context whose caller closed its connection.
var ErrHungUp = errors.New("the caller closed the connection")

// WatchListener returns a listener whose connections Watch can observe. A write
// fails when the caller takes nothing for stallTimeout, so that a caller that
// stops reading does not hold an endpoint.
func WatchListener(inner net.Listener, stallTimeout time.Duration) net.Listener {
	return &watchListener{Listener: inner, stallTimeout: stallTimeout}
}

// WatchIdleListener is a WatchListener whose connections may rest for no longer
// than idle tells when they begin to rest; 0 leaves it to the server.
func WatchIdleListener(inner net.Listener, stallTimeout time.Duration, idle func() time.Duration) net.Listener {
	return &watchListener{Listener: inner, stallTimeout: stallTimeout, idle: idle}
}

type watchListener struct {
	net.Listener
	stallTimeout time.Duration
	idle         func() time.Duration
}

// Accept implements net.Listener.
func (l *watchListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	watched := &watchedConn{Conn: conn, stallTimeout: l.stallTimeout, idle: l.idle}
	watched.resting.Store(true)
	return watched, nil
}

// Watch returns a context that ends with parent, or when the caller of ctx
// closes its connection. fasthttp notices that only on a write, so while the
// handler runs a read waits in the background. stop must be called before the
// handler returns; it does not end the context.
func Watch(parent context.Context, ctx *fasthttp.RequestCtx) (watched context.Context, cancel context.CancelCauseFunc, stop func()) {
	watched, cancel = context.WithCancelCause(parent)
	conn, observable := ctx.Conn().(*watchedConn)
	if !observable {
		return watched, cancel, func() {}
	}
	return watched, cancel, conn.watch(func() { cancel(ErrHungUp) })
}

// watchedConn can wait for the end of the connection between two requests. A
// byte that arrives meanwhile is kept for the next Read.
type watchedConn struct {
	net.Conn
	stallTimeout time.Duration
	idle         func() time.Duration
	// resting connections have no request on them.
	resting atomic.Bool

	mu   sync.Mutex
	kept []byte
}

// watch reads in the background until stop is called.
func (c *watchedConn) watch(hungUp func()) (stop func()) {
	if c.holdsByte() || c.SetReadDeadline(time.Time{}) != nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		var one [1]byte
		n, err := c.Conn.Read(one[:])
		if n == 1 {
			c.keep(one[0])
			return
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			hungUp()
		}
	}()
	return sync.OnceFunc(func() {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // wakes the waiting read
		<-done
		_ = c.SetReadDeadline(time.Time{})
	})
}

func (c *watchedConn) holdsByte() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.kept) > 0
}

func (c *watchedConn) keep(b byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept = append(c.kept, b)
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.kept) > 0 && len(p) > 0 {
		n := copy(p, c.kept)
		c.kept = c.kept[n:]
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	if limit := c.restLimit(); limit > 0 {
		if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.resting.Store(false)
	}
	return n, err
}

// restLimit is how long the next read may wait, where the connection rests and
// its rest is limited.
func (c *watchedConn) restLimit() time.Duration {
	if c.idle == nil || !c.resting.Load() {
		return 0
	}
	return c.idle()
}

// Write implements net.Conn.
func (c *watchedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.stallTimeout)); err != nil {
		return 0, err
	}
	c.resting.Store(true)
	return c.Conn.Write(p)
}
