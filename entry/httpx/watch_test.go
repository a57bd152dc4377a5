package httpx

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// endlessBody is a body without an end. Its Close closes the channel closed.
type endlessBody struct {
	once   sync.Once
	closed chan struct{}
}

func (e *endlessBody) Read(p []byte) (int, error) { return len(p), nil }

func (e *endlessBody) Close() error {
	e.once.Do(func() { close(e.closed) })
	return nil
}

// startServer starts a server behind WatchListener.
func startServer(t *testing.T, stallTimeout time.Duration, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: handler}
	served := make(chan error, 1)
	go func() { served <- server.Serve(WatchListener(listener, stallTimeout)) }()
	t.Cleanup(func() {
		require.NoError(t, listener.Close())
		require.NoError(t, <-served)
	})
	return listener.Addr().String()
}

func sendRequest(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	return conn
}

// TestStalledCallerClosesResponseBody guards against a caller that never reads
// its response and so would keep the body open without limit.
func TestStalledCallerClosesResponseBody(t *testing.T) {
	body := &endlessBody{closed: make(chan struct{})}
	address := startServer(t, 50*time.Millisecond, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyStream(body, -1) })
	sendRequest(t, address)
	<-body.closed // without the stall timeout this blocks forever
}

// TestWatchKeepsPipelinedRequest sends a second request while the first is
// still handled. The background read of Watch receives a byte of it: both
// requests must be served, and the caller must not count as disconnected.
func TestWatchKeepsPipelinedRequest(t *testing.T) {
	secondSent := make(chan struct{})
	first := true
	address := startServer(t, time.Minute, func(ctx *fasthttp.RequestCtx) {
		watched, cancel, stop := Watch(t.Context(), ctx)
		defer cancel(nil)
		defer stop()
		if first {
			first = false
			<-secondSent
		}
		require.NoError(t, watched.Err())
		ctx.SetBodyString("ok")
	})
	conn := sendRequest(t, address)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	close(secondSent)
	responses, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Regexp(t, "(?s)200 OK.*ok.*200 OK.*ok", string(responses))
}
