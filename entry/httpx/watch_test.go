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

// endless is a body without an end that tells when it is closed.
type endless struct {
	once   sync.Once
	closed chan struct{}
}

func (e *endless) Read(p []byte) (int, error) { return len(p), nil }

func (e *endless) Close() error {
	e.once.Do(func() { close(e.closed) })
	return nil
}

// serve starts a server behind WatchListener.
func serve(t *testing.T, stall time.Duration, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: handler}
	served := make(chan error, 1)
	go func() { served <- server.Serve(WatchListener(listener, stall)) }()
	t.Cleanup(func() {
		require.NoError(t, listener.Close())
		require.NoError(t, <-served)
	})
	return listener.Addr().String()
}

func request(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	return conn
}

// TestStalledCallerEndsItsStream has a caller that takes nothing of an answer.
func TestStalledCallerEndsItsStream(t *testing.T) {
	body := &endless{closed: make(chan struct{})}
	address := serve(t, 50*time.Millisecond, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyStream(body, -1) })
	request(t, address)
	<-body.closed // without the stall timeout this waits for ever
}

// TestWatchKeepsWhatArrivesEarly sends the next request while the first still
// runs: neither is lost, and the caller does not count as gone.
func TestWatchKeepsWhatArrivesEarly(t *testing.T) {
	arrived := make(chan struct{})
	first := true
	address := serve(t, time.Minute, func(ctx *fasthttp.RequestCtx) {
		watched, cancel, stop := Watch(t.Context(), ctx)
		defer cancel(nil)
		defer stop()
		if first {
			first = false
			<-arrived
		}
		require.NoError(t, watched.Err())
		ctx.SetBodyString("ok")
	})
	conn := request(t, address)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	close(arrived)
	answers, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Regexp(t, "(?s)200 OK.*ok.*200 OK.*ok", string(answers))
}
