package standin

import (
	"net"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// Direction is one way through a link.
type Direction int

// The two directions of a link.
const (
	// Forth is from who opened the connection to the link's target.
	Forth Direction = iota
	// Back is from the link's target to who opened the connection.
	Back
)

// LinkFaults are the faults that a link can be switched to. They hold back
// bytes as a network partition does: what was cut arrives after the cut ends.
type LinkFaults struct {
	// CutForth and CutBack hold back the bytes of one direction.
	CutForth bool
	CutBack  bool
	// Delay is added to each piece of data in both directions.
	Delay time.Duration
}

// Link stands in for the network between two processes: connections to it are
// passed on to its target, with faults.
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

// StartLink starts a link on address to target.
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

// Silence makes every connection that is open now go silent for good, in both
// directions and without an end; connections opened later work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent = true
	}
	l.wake()
}

// Reset closes every connection that is open now; connections opened later work.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.close()
	}
}

// SetFaults switches faults for all connections, open and new.
func (l *Link) SetFaults(f LinkFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.wake()
}

// wake lets every held pump look again; l.mu must be held.
func (l *Link) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Close ends the link and its connections.
func (l *Link) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		c.close()
	}
	l.wake()
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
		go l.join(from)
	}
}

// join connects from with the target and pumps both ways.
func (l *Link) join(from net.Conn) {
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

// pieceSize is the largest piece that a link passes on at once, in bytes.
const pieceSize = 32 << 10

// pump passes data in one direction until an end closes. A silent connection
// swallows data, and the end of one side is not told to the other.
func (l *Link) pump(c *linkConn, d Direction) {
	piece := make([]byte, pieceSize)
	for {
		n, err := c.ends[d].Read(piece)
		silent := l.hold(c, d)
		if !silent && n > 0 {
			if _, writeErr := c.ends[1-d].Write(piece[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			l.end(c, silent, d)
			return
		}
	}
}

// hold waits while the direction is cut and tells whether the connection is
// silent.
func (l *Link) hold(c *linkConn, d Direction) bool {
	for {
		l.mu.Lock()
		faults, silent, closed, changed := l.faults, c.silent, l.closed, l.changed
		l.mu.Unlock()
		cut := d == Forth && faults.CutForth || d == Back && faults.CutBack
		if silent || closed {
			return silent
		}
		if !cut {
			time.Sleep(faults.Delay)
			return false
		}
		<-changed
	}
}

// end closes both ends, or only the one that ended where the connection is
// silent.
func (l *Link) end(c *linkConn, silent bool, d Direction) {
	_ = c.ends[d].Close()
	if silent {
		return
	}
	c.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Handler switches a link's faults by HTTP.
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

// ServeFaults starts the listener of a link's fault switch.
func (l *Link) ServeFaults(address string) (faultAddress string, err error) {
	s, err := listen(address, l.Handler)
	if err != nil {
		return "", err
	}
	return s.Address(), nil
}
