package forward

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
)

// failingBody is a response body that ends with err after text.
type failingBody struct {
	io.Reader
	err    error
	closed int
}

func newFailingBody(text string, err error) *failingBody {
	return &failingBody{Reader: strings.NewReader(text), err: err}
}

func (b *failingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.err
	}
	return n, err
}

func (b *failingBody) Close() error {
	b.closed++
	return nil
}

// panickingBody is a response body that panics after its first bytes.
type panickingBody struct{ started bool }

func (b *panickingBody) Read(p []byte) (int, error) {
	if b.started {
		panic("unexpected")
	}
	b.started = true
	return copy(p, "first"), nil
}

func (b *panickingBody) Close() error { panic("unexpected again") }

// sendAnswer serves the answer to one request in that version of HTTP, and returns what
// the caller reads until the connection ends.
func sendAnswer(t *testing.T, version string, body io.ReadCloser, report recovery.Reporter) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		WriteAnswer(ctx, &call.Response{Status: fasthttp.StatusOK, ContentType: "text/event-stream", Body: body}, nil, report)
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, "GET / HTTP/"+version+"\r\nHost: x\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	return string(got)
}

// TestAPanicInAResponseBodyEndsOneResponse guards against a process that ends because
// one response body panics while the server sends it.
func TestAPanicInAResponseBodyEndsOneResponse(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		t.Run(version, func(t *testing.T) {
			reported := make(chan *recovery.Panic, 2)
			got := sendAnswer(t, version, &panickingBody{}, func(p *recovery.Panic) { reported <- p })
			require.NotContains(t, got, "0\r\n\r\n", "a response that broke off must not look complete")
			require.Contains(t, (<-reported).Stack, "server_test.go")
			require.ErrorContains(t, <-reported, "unexpected again")
			if version == "1.0" {
				require.Contains(t, got, "HTTP/1.1 504")
			}
		})
	}
}

// TestCutAnswersNeverLookCompleteToOldCallers guards against responses whose end an
// HTTP/1.0 caller cannot tell from a break: it takes the end of the connection for the
// end of the body.
func TestCutAnswersNeverLookCompleteToOldCallers(t *testing.T) {
	report := func(*recovery.Panic) {}
	whole := newFailingBody("data: 1\n\n", io.EOF)
	got := sendAnswer(t, "1.0", whole, report)
	require.Contains(t, got, "HTTP/1.1 200")
	require.Contains(t, got, "Content-Length: 9\r\n")
	require.True(t, strings.HasSuffix(got, "\r\n\r\ndata: 1\n\n"), "HTTP/1.0 has no chunks: %q", got)
	require.Equal(t, 1, whole.closed)

	broken := &call.Error{Failure: attempt.Failure{Sent: true}, Status: fasthttp.StatusGatewayTimeout, Code: "truncated", Err: io.ErrUnexpectedEOF}
	cut := newFailingBody("data: 1\n\n", broken)
	got = sendAnswer(t, "1.0", cut, report)
	require.Contains(t, got, "HTTP/1.1 504")
	require.Contains(t, got, `"outcome":"unknown"`)
	require.NotContains(t, got, "data: 1")
	require.Equal(t, 1, cut.closed)

	large := newFailingBody(strings.Repeat("x", call.MaxWholeBytes+1), io.EOF)
	got = sendAnswer(t, "1.0", large, report)
	require.Contains(t, got, "HTTP/1.1 504")
	require.Contains(t, got, `"outcome":"unknown"`)
	require.Equal(t, 1, large.closed)
}
