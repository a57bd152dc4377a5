package standin

import (
	"net"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// Direction is a direction of data through a link. Its value is the index of the
// sending end in a connection's ends.
type Direction int

// The two directions of a link.
const (
	// Forth is from the client to the link's target.
	Forth Direction = iota
	// Back is from the link's target to the client.
	Back
)

// LinkFaults are the faults that a link can inject. As in a network partition, data
// is delayed and not lost: it arrives once the partition ends.
type LinkFaults struct {
	// CutForth and CutBack partition one direction.
	CutForth bool
	CutBack  bool
	// Delay is added to each read of data, in both directions.
	Delay time.Duration
}

// Link is a TCP proxy that stands in for the network between two processes. It
// forwards connections to its target and injects faults.
type Link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	faults  LinkFaults
	changed chan struct{}
	conns   map[*linkConn]struct{}
	closed  bool
}

// linkConn is one connection through a link.
type linkConn struct {
	ends   [2]net.Conn
	silent bool
}

// StartLink starts a link that listens on address and forwards to target.
func StartLink(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.Code("listen_failed").With("address", address).Wrap(err)
	}
	l := &Link{
		listener: listener,
		target:   target,
		changed:  make(chan struct{}),
		conns:    make(map[*linkConn]struct{}),
	}
	go l.accept()
	return l, nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Silence makes every open connection discard all further data in both directions
// without being closed, as if the peer's host had vanished. Connections that are
// opened later work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent = true
	}
	l.wakePumps()
}

// Reset closes every open connection; connections that are opened later work.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.close()
	}
}

// SetFaults replaces the faults of all connections, open and new.
func (l *Link) SetFaults(f LinkFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.wakePumps()
}

// wakePumps makes every waiting pump check the faults again; l.mu must be held.
func (l *Link) wakePumps() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Close stops the listener and closes all connections.
func (l *Link) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		c.close()
	}
	l.wakePumps()
	return l.listener.Close()
}

func (c *linkConn) close() {
	_ = c.ends[0].Close()
	_ = c.ends[1].Close()
}

func (l *Link) accept() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(from)
	}
}

// forward connects to the target and forwards data in both directions.
func (l *Link) forward(from net.Conn) {
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = from.Close()
		return
	}
	c := &linkConn{ends: [2]net.Conn{from, to}}
	l.mu.Lock()
	if l.closed {
		c.close()
	}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	go l.pump(c, Forth)
	l.pump(c, Back)
}

// bufferSize is the buffer size of one read, in bytes.
const bufferSize = 32 << 10

// pump forwards data in one direction until either end closes. A silent connection
// discards data, and the close of one end is not propagated to the other.
func (l *Link) pump(c *linkConn, d Direction) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := c.ends[d].Read(buffer)
		silent := l.awaitDelivery(c, d)
		if !silent && n > 0 {
			if _, writeErr := c.ends[1-d].Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			l.closeEnds(c, silent, d)
			return
		}
	}
}

// awaitDelivery waits while the direction is partitioned, then for the delay. It
// reports whether the connection is silent.
func (l *Link) awaitDelivery(c *linkConn, d Direction) bool {
	for {
		l.mu.Lock()
		faults, silent, closed, changed := l.faults, c.silent, l.closed, l.changed
		l.mu.Unlock()
		partitioned := d == Forth && faults.CutForth || d == Back && faults.CutBack
		if silent || closed {
			return silent
		}
		if !partitioned {
			time.Sleep(faults.Delay)
			return false
		}
		<-changed
	}
}

// closeEnds closes both ends of a connection, or only the end that d reads
// from if the connection is silent.
func (l *Link) closeEnds(c *linkConn, silent bool, d Direction) {
	_ = c.ends[d].Close()
	if silent {
		return
	}
	c.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Handler is the HTTP handler that sets a link's faults from query arguments.
func (l *Link) Handler(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	if args.GetBool("silence") {
		l.Silence()
	}
	delay, err := time.ParseDuration(string(args.Peek("delay")))
	if err != nil {
		delay = 0
	}
	l.SetFaults(LinkFaults{CutForth: args.GetBool("cutForth"), CutBack: args.GetBool("cutBack"), Delay: delay})
}

// ServeFaults serves Handler on address and returns the address that it listens on.
func (l *Link) ServeFaults(address string) (faultAddress string, err error) {
	s, err := listen(address, l.Handler)
	if err != nil {
		return "", err
	}
	return s.Address(), nil
}
