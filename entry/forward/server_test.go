package forward

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
)

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
		WriteAnswer(ctx, &call.Response{Status: fasthttp.StatusOK, ContentType: "text/event-stream", Body: body}, report)
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
	reported := make(chan *recovery.Panic, 2)
	got := sendAnswer(t, "1.1", &panickingBody{}, func(p *recovery.Panic) { reported <- p })
	require.NotContains(t, got, "0\r\n\r\n", "a response that broke off must not look complete")
	require.Contains(t, (<-reported).Stack, "server_test.go")
	require.ErrorContains(t, <-reported, "unexpected again")
}
