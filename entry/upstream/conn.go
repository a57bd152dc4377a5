package upstream

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// conn is a connection to a worker, used by one request at a time. An idle one
// may be reused before expiresAt.
type conn struct {
	address   string
	net       net.Conn
	reader    *bufio.Reader
	expiresAt time.Time
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
