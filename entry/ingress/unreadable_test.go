package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// TestUnreadableRequestGetsOutcomeNotRun sends requests that can't be read,
// each on its own connection. Each must get the outcome not-run, and a valid
// request after it must still be served.
func TestUnreadableRequestGetsOutcomeNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{
		Handler:            func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") },
		ErrorHandler:       HandleReadError,
		MaxRequestBodySize: 10,
		ReadTimeout:        50 * time.Millisecond,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		require.NoError(t, listener.Close())
		require.NoError(t, <-served)
	})
	send := func(text string) *http.Response {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, text)
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, text)
		t.Cleanup(func() { _ = response.Body.Close() })
		return response
	}
	for text, status := range map[string]int{
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n12345678901":        http.StatusRequestEntityTooLarge,
		"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 1<<16) + "\r\n\r\n": http.StatusRequestHeaderFieldsTooLarge,
		"GET / HTTP/1.1\r\nHost:": http.StatusRequestTimeout,
		"nonsense\r\n\r\n":        http.StatusBadRequest,
	} {
		response := send(text)
		require.Equal(t, status, response.StatusCode, "%.20s", text)
		require.Equal(t, "not-run", response.Header.Get(httpx.Outcome))
		require.Equal(t, http.StatusOK, send("GET / HTTP/1.1\r\nHost: a\r\n\r\n").StatusCode)
	}
}
