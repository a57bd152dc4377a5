package intake

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/bytebudget"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// Sizes of the kernel's buffers of a caller's connection. The kernel doubles them, and by
// default grows them to megabytes for each connection.
const (
	receiveBuffer = 32 << 10
	sendBuffer    = 64 << 10
)

// Listener returns a listener whose connections belong to the intake. It closes the
// connection that has been idle for longest, or else made the least progress, when there
// are too many.
func (i *Intake) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, intake: i}
}

type listener struct {
	net.Listener
	intake *Intake
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := raw.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(receiveBuffer) // a failure leaves the kernel's own size
			_ = tcp.SetWriteBuffer(sendBuffer)
		}
		c := &Conn{Conn: raw, intake: l.intake}
		c.account.Owner = c
		c.since.Store(int64(l.intake.now()))
		if l.intake.add(c) {
			return c, nil
		}
		_ = raw.Close() // the response is a closed connection
	}
}

// add adds a connection, and closes another one if there are too many. It returns false
// if no other can be closed.
func (i *Intake) add(c *Conn) bool {
	i.mu.Lock()
	var victim *Conn
	if len(i.conns) >= i.config.Connections {
		i.counts.TooMany.Add(1)
		if victim = i.leastUseful(); victim == nil {
			i.mu.Unlock()
			return false
		}
		delete(i.conns, victim)
	}
	i.conns[c] = struct{}{}
	i.mu.Unlock()
	if victim != nil {
		victim.reset()
	}
	return true
}

// staleAfter is how long a header or a body may arrive until its connection is closed
// before idle ones: otherwise connections that stand still would take the places of those
// that callers reuse.
const staleAfter = 5 * time.Second

// leastUseful returns the connection whose request has been arriving for longest, if that
// is for longer than staleAfter; or else the one that has waited for its next request for
// longest, the one whose request has been arriving for longest, or nil if all requests are
// being served. i.mu must be held.
func (i *Intake) leastUseful() *Conn {
	now := i.now()
	var found *Conn
	var foundRank int32
	for c := range i.conns {
		rank := c.phase.Load()
		if rank == phaseServing {
			continue
		}
		if rank != phaseIdle && now-time.Duration(c.since.Load()) > staleAfter {
			rank = phaseIdle - 1
		}
		if found == nil || rank < foundRank || rank == foundRank && c.since.Load() < found.since.Load() {
			found, foundRank = c, rank
		}
	}
	return found
}

// Phases of a connection, in the order in which connections are closed.
const (
	phaseIdle int32 = iota
	// phaseHeader is until the first byte of the header has been read and the server has
	// set the deadline of the request.
	phaseHeader
	// phaseHeaderTimed is the rest of the header.
	phaseHeaderTimed
	phaseBody
	// phaseServing is while the request is handled and its response is written.
	phaseServing
)

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	intake *Intake
	phase  atomic.Int32
	// since is when the phase began, as a time.Duration of the intake's clock.
	since atomic.Int64
	// account is guarded by the intake's mutex.
	account bytebudget.Account
	// refused is set once a body was refused of which more may arrive.
	refused atomic.Bool
}

// of returns the connection of a request, or nil if the server has another listener.
func of(conn net.Conn) *Conn {
	c, _ := httpx.Unwatched(conn).(*Conn)
	return c
}

func (c *Conn) enter(phase int32) {
	c.phase.Store(phase)
	c.since.Store(int64(c.intake.now()))
}

// SetReadDeadline implements net.Conn. The server sets a deadline at the first byte of a
// request, and one again when the header is complete: the first of them is shortened to
// the limit of a header.
func (c *Conn) SetReadDeadline(at time.Time) error {
	switch c.phase.Load() {
	case phaseHeader:
		c.phase.Store(phaseHeaderTimed)
		if limit := c.intake.config.HeaderTimeout(); limit > 0 {
			at = time.Now().Add(limit)
		}
	case phaseHeaderTimed:
		c.enter(phaseBody)
	}
	return c.Conn.SetReadDeadline(at)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && c.phase.Load() == phaseHeaderTimed {
		var networkErr net.Error
		if errors.As(err, &networkErr) && networkErr.Timeout() {
			c.intake.counts.SlowHeaders.Add(1)
		}
	}
	return n, err
}

// Bounds on what is read and dropped after the refusal of a body.
const (
	discardTime  = 200 * time.Millisecond
	discardBytes = 1 << 20
)

// discard reads and drops what still arrives of a refused body for a short time. Closing a
// connection with unread input makes the kernel send a reset, and the caller may lose the
// response.
func (c *Conn) discard() {
	if tcp, ok := c.Conn.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
	var buffer [4 << 10]byte
	for total := 0; total < discardBytes; {
		n, err := c.Conn.Read(buffer[:])
		if total += n; err != nil {
			return
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.release()
	if c.refused.Load() {
		c.discard()
	}
	c.intake.mu.Lock()
	delete(c.intake.conns, c)
	c.intake.mu.Unlock()
	return c.Conn.Close()
}

// release returns the bytes held for the connection.
func (c *Conn) release() {
	i := c.intake
	i.mu.Lock()
	defer i.mu.Unlock()
	i.budget.End(&c.account)
	i.wake()
}

// reset closes the connection and discards what the kernel holds of it. The goroutine
// that serves it then releases its bytes.
func (c *Conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if this fails, the connection is closed normally
	}
	_ = c.Conn.Close() // its reader reports the error
}

// ConnState is the hook of the callers' server for the states of connections.
func ConnState(conn net.Conn, state fasthttp.ConnState) {
	c := of(conn)
	if c == nil {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.enter(phaseHeader)
	case fasthttp.StateIdle:
		c.release()
		c.refused.Store(false) // the server has read the rest of the body
		c.enter(phaseIdle)
	}
}

// HeaderReceived is the hook of the callers' server for a complete header.
func (i *Intake) HeaderReceived(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{ReadTimeout: i.config.BodyTimeout}
}

// HandleReadError responds to a request whose header or body could not be read.
func HandleReadError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	var networkErr net.Error
	switch {
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &networkErr) && networkErr.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	ctx.Error("the request could not be read", status)
}
