package upstream

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// conn is one connection to a worker.
type conn struct {
	address   string
	net       net.Conn
	reader    *bufio.Reader
	goodUntil time.Time
}

func newConn(address string, raw net.Conn, headerBytes int) *conn {
	return &conn{address: address, net: raw, reader: bufio.NewReaderSize(raw, headerBytes)}
}

// quiet tells whether nothing waits to be read on an unused connection: a byte
// there belongs to no request, and an end means that the worker closed it.
func quiet(raw net.Conn) bool {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return true
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failure := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = failure == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// reset makes the close of the connection discard what is not yet delivered.
func reset(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a plain close follows where this fails
	}
}
