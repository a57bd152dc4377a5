package peer

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// meteredListener counts the bytes that its connections send.
type meteredListener struct {
	net.Listener
	sent atomic.Int64
}

func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &meteredConn{Conn: conn, sent: &l.sent}, err
}

type meteredConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// TestTablesTravelCompressed checks that a chunk of adapters is sent in less than a
// quarter of its size; the bound on control traffic at full scale depends on it.
func TestTablesTravelCompressed(t *testing.T) {
	const adapters, share = 40, 4
	chunk := strings.Repeat(`{"name":"tolk-00001","pool":"models","versions":["v1","v2"]},`, adapters)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	metered := &meteredListener{Listener: listener}
	server := NewControlServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = io.WriteString(w, chunk)
	}), time.Minute)
	go func() { _ = server.Serve(metered) }()
	defer func() { _ = server.Close() }()
	response, err := newControlClient(time.Minute).Get("http://" + listener.Addr().String())
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, chunk, string(body))
	require.Less(t, metered.sent.Load(), int64(len(chunk)/share))
}
