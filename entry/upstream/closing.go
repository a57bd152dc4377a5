package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// errReset is returned if a body that ends with its connection was ended by a reset.
var errReset = fmt.Errorf("the worker reset the connection during the request: %w", io.ErrUnexpectedEOF)

// maxWriteVerdict bounds the wait for the result of writing a request if the state of its
// connection is unknown. A write on a connection that was reset fails at once.
const maxWriteVerdict = 100 * time.Millisecond

// checkClose returns an error if the connection, whose end is the end of the body, was
// reset. A socket reports a reset once: if the writer of the request gets it, the reader
// gets an end of input like that of a connection that was closed in order.
func (x *Exchange) checkClose() error {
	closed, known := isClosed(x.conn.net)
	if known && !closed {
		return nil // the worker has ended its side in order, and may go on reading
	}
	if !known && !x.awaitWrite(maxWriteVerdict) {
		return nil // still being written: the reader was the only one that could get a reset
	}
	<-x.written
	if x.writeErr == nil || known && errors.Is(x.writeErr, syscall.EPIPE) {
		return nil // a reset that follows an end in order is reported as EPIPE
	}
	return errReset
}

// awaitWrite waits until the request has been written or can't be, and reports whether
// that was so within the timeout.
func (x *Exchange) awaitWrite(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-x.written:
		return true
	case <-timer.C:
		return false
	}
}

// States of a TCP connection whose peer has ended its side, and of one that is closed in
// both directions, as in the kernel's TCP_CLOSE_WAIT and TCP_CLOSE.
const (
	tcpCloseWait = 8
	tcpClose     = 7
)

// isClosed reports whether a connection whose input has ended, and that was not closed
// here, is closed in both directions, as by a reset. known is false if the system does
// not tell. It leaves a pending error of the socket to the next read or write.
func isClosed(raw net.Conn) (closed, known bool) {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return false, false
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return false, false
	}
	var state uint8
	err = control.Control(func(fd uintptr) {
		if info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
			state = info.State
		}
	})
	return state == tcpClose, err == nil && (state == tcpClose || state == tcpCloseWait)
}
