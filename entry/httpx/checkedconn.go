package httpx

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// maxStatusLineBytes bounds the status line of a response on a checked connection.
const maxStatusLineBytes = 4 << 10

// DialChecked connects to an address within a timeout, 0 for fasthttp's default. A response
// on the connection whose status is invalid or interim, or whose header has an invalid field
// name, is an error of the read; see ReadHeader. It is for a fasthttp.Client, which writes a
// request only after the response to the one before.
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

// checkedConn checks the response header that follows each request.
type checkedConn struct {
	net.Conn
	scanner headScanner
	checked bool
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.scanner, c.checked = headScanner{}, false
	return c.Conn.Write(p)
}

// Read implements net.Conn. It passes on the start of a header before the rest has arrived,
// but never a whole header that is invalid.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.checked || n == 0 {
		return n, err
	}
	complete, invalid := c.scanner.scan(p[:n])
	isInterim := c.scanner.status != 0 && c.scanner.status < fasthttp.StatusOK
	switch {
	case invalid != nil:
		return 0, invalid
	case isInterim, len(c.scanner.line) > maxStatusLineBytes:
		return 0, ErrInvalidStatus
	}
	c.checked = complete
	return n, err
}
