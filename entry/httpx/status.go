package httpx

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrInvalidStatus is returned for a response without a valid HTTP status.
var ErrInvalidStatus = errors.New("the response has no valid HTTP status")

// maxStatusLineBytes bounds the status line of a response.
const maxStatusLineBytes = 4 << 10

// ReadHeader reads the header of a response, which must have a valid status, and be
// without a body if it is an interim one. fasthttp alone reports the status 000 as 200,
// and the body of an interim response would be read as the next header.
func ReadHeader(header *fasthttp.ResponseHeader, reader *bufio.Reader) error {
	status, err := peekStatus(reader)
	if err != nil {
		return err
	}
	if err := header.Read(reader); err != nil {
		return err
	}
	if status < fasthttp.StatusOK && (status == fasthttp.StatusSwitchingProtocols || header.ContentLength() > 0 || header.ContentLength() == chunked) {
		return ErrInvalidStatus
	}
	return nil
}

// chunked is the content length that fasthttp reports for chunks.
const chunked = -1

// peekStatus waits for the status line of the next response and returns its status. It
// consumes nothing.
func peekStatus(reader *bufio.Reader) (int, error) {
	for needed := 1; ; needed = reader.Buffered() + 1 {
		_, err := reader.Peek(needed)
		received, _ := reader.Peek(reader.Buffered()) // never fails
		status, complete, invalid := parseStatusLine(received)
		switch {
		case invalid != nil:
			return 0, invalid
		case complete:
			return status, nil
		case errors.Is(err, io.EOF) && len(received) > 0:
			return 0, io.ErrUnexpectedEOF
		case err != nil:
			return 0, err
		}
	}
}

// parseStatusLine returns the status of a response that starts with the given bytes, unless
// its status line is not complete yet.
func parseStatusLine(start []byte) (status int, complete bool, err error) {
	line, _, complete := bytes.Cut(bytes.TrimLeft(start, "\r\n"), []byte("\n"))
	if !complete {
		return 0, false, nil
	}
	_, rest, _ := bytes.Cut(bytes.TrimRight(line, "\r"), []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(code) != 3 {
		return 0, true, ErrInvalidStatus
	}
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return 0, true, ErrInvalidStatus
		}
		status = 10*status + int(digit-'0')
	}
	if status < fasthttp.StatusContinue {
		return 0, true, ErrInvalidStatus
	}
	return status, true, nil
}

// DialChecked connects to an address within a timeout, 0 for fasthttp's default. A response on the connection whose status is invalid
// or interim is an error of the read; see ReadHeader. It is for a fasthttp.Client, which
// writes a request only after the response to the one before.
func DialChecked(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 {
		timeout = fasthttp.DefaultDialTimeout
	}
	conn, err := fasthttp.DialTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: conn}, nil
}

// checkedConn checks the status line that follows each request.
type checkedConn struct {
	net.Conn
	// start holds the first bytes of a response until its status line is complete.
	start   []byte
	checked bool
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.start, c.checked = nil, false
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.checked || n == 0 {
		return n, err
	}
	c.start = append(c.start, p[:n]...)
	status, complete, invalid := parseStatusLine(c.start)
	switch {
	case invalid != nil:
		return 0, invalid
	case complete && status < fasthttp.StatusOK, !complete && len(c.start) > maxStatusLineBytes:
		return 0, ErrInvalidStatus
	case complete:
		c.start, c.checked = nil, true
	}
	return n, err
}
