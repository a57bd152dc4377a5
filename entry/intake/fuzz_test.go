package intake

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// scriptedConn is a connection on which input arrives and then its end. What is written
// to it is dropped.
type scriptedConn struct{ input *bytes.Reader }

func (c *scriptedConn) Read(p []byte) (int, error)       { return c.input.Read(p) }
func (c *scriptedConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *scriptedConn) Close() error                     { return nil }
func (c *scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// The bounds are small, so that short inputs reach them.
const (
	fuzzLimit  = 6 << 10
	fuzzBudget = 16 << 10
)

// bodiesOf serves the requests of one connection, and returns the bodies that were read
// and the statuses of those refused. It checks that nothing stays held.
func bodiesOf(t *testing.T, input []byte) (bodies []string, refused []int) {
	i := New(Config{Bytes: fuzzBudget, Connections: 1, BodyTimeout: time.Minute, HeaderTimeout: func() time.Duration { return time.Minute }})
	server := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			body, refusal := i.ReadBody(ctx, fuzzLimit)
			if refusal != nil {
				refused = append(refused, refusal.Status)
				ctx.SetConnectionClose()
				ctx.SetStatusCode(refusal.Status)
				return
			}
			require.LessOrEqual(t, len(body), fuzzLimit)
			require.LessOrEqual(t, i.State().Held, int64(fuzzBudget))
			bodies = append(bodies, string(body))
		},
		StreamRequestBody: true, ReadTimeout: time.Minute, HeaderReceived: i.HeaderReceived,
		ConnState: ConnState, ErrorHandler: HandleReadError, Logger: silent{},
	}
	conn := &Conn{Conn: &scriptedConn{input: bytes.NewReader(input)}, intake: i}
	conn.account.Owner = conn
	_ = server.ServeConn(conn) // the input may be malformed
	state := i.State()
	require.Zero(t, state.Held)
	require.Zero(t, state.Readers)
	return bodies, refused
}

type silent struct{}

func (silent) Printf(string, ...any) {}

// FuzzBodyFraming sends any bytes as the header fields and the body of a request. It guards
// against panics, bodies over the limit and bytes that stay held.
func FuzzBodyFraming(f *testing.F) {
	for _, seed := range []string{
		"Content-Length: 3\r\n\r\nabc", "Content-Length: 9999999999999\r\n\r\nabc", "Content-Length: -1\r\n\r\nabc",
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nabc",
		"Transfer-Encoding: chunked\r\n\r\n1;x=y\r\na\r\n0\r\nX: y\r\n\r\n", "Transfer-Encoding: gzip\r\n\r\nabc",
		"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "Expect: 100-continue\r\nContent-Length: 1\r\n\r\na",
		"Content-Length: 7000\r\n\r\n" + strings.Repeat("x", 7000),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		bodiesOf(t, append([]byte("POST / HTTP/1.1\r\nHost: h\r\n"), input...))
	})
}

// FuzzBodyIsReadAsSent sends a body with its length or in chunks, whole or cut, and a
// second request behind it. It guards against an end that is found wrongly: a body that is
// passed on incomplete, or a request that starts in the middle of one.
func FuzzBodyIsReadAsSent(f *testing.F) {
	f.Add([]byte("abc"), uint16(0), uint16(0), uint16(0))
	f.Add([]byte("0\r\n\r\nPOST / HTTP/1.1\r\n\r\n"), uint16(1), uint16(0), uint16(0))
	f.Add([]byte("abcdefgh"), uint16(3), uint16(0), uint16(5))
	f.Add([]byte("x"), uint16(100), uint16(fuzzLimit), uint16(0))
	f.Add([]byte("x"), uint16(0), uint16(fuzzLimit+1), uint16(0))
	f.Fuzz(func(t *testing.T, part []byte, chunkSize, minLength, cut uint16) {
		body := string(part)
		if len(part) > 0 && len(part) < int(minLength) {
			body = strings.Repeat(body, (int(minLength)+len(part)-1)/len(part))
		}
		const second = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nsecond"
		text := framed(body, int(chunkSize))
		if cut > 0 && int(cut) < len(text) {
			bodies, _ := bodiesOf(t, []byte(text[:len(text)-int(cut)]))
			require.Empty(t, bodies, "an incomplete request is not passed on")
			return
		}
		bodies, refused := bodiesOf(t, []byte(text+second))
		if len(body) > fuzzLimit {
			require.Empty(t, bodies)
			require.Equal(t, []int{fasthttp.StatusRequestEntityTooLarge}, refused)
			return
		}
		require.Empty(t, refused)
		require.Equal(t, []string{body, "second"}, bodies)
	})
}

// framed returns a request with a body in chunks, or with its length if chunkSize is 0.
func framed(body string, chunkSize int) string {
	var text strings.Builder
	text.WriteString("POST / HTTP/1.1\r\nHost: h\r\n")
	if chunkSize == 0 {
		_, _ = fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n", len(body))
		_, _ = io.WriteString(&text, body)
		return text.String()
	}
	text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		n := min(chunkSize, len(body))
		_, _ = fmt.Fprintf(&text, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	text.WriteString("0\r\n\r\n")
	return text.String()
}
