package upstream

import (
	"bufio"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// conn is a connection to a worker, used by one request at a time. An idle one
// may be reused before expiresAt.
type conn struct {
	address   string
	net       net.Conn
	reader    *bufio.Reader
	expiresAt time.Time
	// carried holds a hash of the IDs of the last requests; carriedCount is their
	// number so far.
	carried      [carriedIDs]uint64
	carriedCount int
}

// carriedIDs is the number of requests after whose responses a worker may still
// write a late copy of one.
const carriedIDs = 32

// addRequest records that the connection carries a request.
func (c *conn) addRequest(id string) {
	c.carried[c.carriedCount%carriedIDs] = xxhash.Sum64String(id)
	c.carriedCount++
}

// hasCarried reports whether one of the last requests had the ID.
func (c *conn) hasCarried(id string) bool {
	return slices.Contains(c.carried[:min(c.carriedCount, carriedIDs)], xxhash.Sum64String(id))
}

func newConn(address string, raw net.Conn, headerBytes int) *conn {
	return &conn{address: address, net: raw, reader: bufio.NewReaderSize(raw, headerBytes)}
}

// isHealthy reports whether an idle connection is open and has no unread input.
// Input belongs to no request, and the end of the input means that the worker has
// closed the connection. It doesn't block.
func isHealthy(raw net.Conn) bool {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return true
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	isEmpty := false
	err = control.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isEmpty = recvErr == syscall.EAGAIN
		return true
	})
	return err == nil && isEmpty
}

// discardUnsentOnClose makes the close of a TCP connection discard unsent data and
// send a reset.
func discardUnsentOnClose(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if this fails, the connection is closed normally
	}
}
