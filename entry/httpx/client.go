package httpx

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// maxConnsPerHost bounds the connections to one peer or endpoint.
const maxConnsPerHost = 4096

// idleConnTimeout is how long an unused connection is kept.
const idleConnTimeout = 5 * time.Second

// ClientConfig bounds a client's waits.
type ClientConfig struct {
	// ConnectTimeout bounds a connection attempt.
	ConnectTimeout time.Duration
	// ProgressTimeout bounds each read and write.
	ProgressTimeout time.Duration
}

// NewClient returns a client that never repeats a call by itself and whose
// connections fail when the other side makes no progress.
func NewClient(config ClientConfig) *fasthttp.Client {
	return &fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		MaxConnsPerHost:           maxConnsPerHost,
		MaxIdleConnDuration:       idleConnTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		StreamResponseBody: true,
		Dial: func(address string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", address, config.ConnectTimeout)
			if err != nil {
				return nil, &DialError{Err: err}
			}
			return &progressConn{Conn: conn, timeout: config.ProgressTimeout}, nil
		},
	}
}

// DialError says that no connection was made, so no byte was sent.
type DialError struct{ Err error }

// Error implements error.
func (e *DialError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// progressConn bounds each read and write by the progress timeout, within the
// deadline of the whole call, so that a stream may last but not stall.
type progressConn struct {
	net.Conn
	timeout       time.Duration
	readDeadline  deadline
	writeDeadline deadline
}

// deadline is the call's deadline in nanoseconds since the epoch; 0 is none.
type deadline struct{ nanos atomic.Int64 }

func (d *deadline) set(t time.Time) {
	if t.IsZero() {
		d.nanos.Store(0)
		return
	}
	d.nanos.Store(t.UnixNano())
}

// next returns the earlier of the call's deadline and a progress timeout from now.
func (d *deadline) next(timeout time.Duration) time.Time {
	progress := time.Now().Add(timeout)
	if nanos := d.nanos.Load(); nanos != 0 && nanos < progress.UnixNano() {
		return time.Unix(0, nanos)
	}
	return progress
}

// SetReadDeadline implements net.Conn.
func (c *progressConn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return c.Conn.SetReadDeadline(c.readDeadline.next(c.timeout))
}

// SetWriteDeadline implements net.Conn.
func (c *progressConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.set(t)
	return c.Conn.SetWriteDeadline(c.writeDeadline.next(c.timeout))
}

// Read implements net.Conn.
func (c *progressConn) Read(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(c.readDeadline.next(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *progressConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(c.writeDeadline.next(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
