package upstream

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Bounds on an attempt at a worker that writes without end.
const (
	maxEndlessTime  = 2 * time.Second
	maxEndlessBytes = 24 << 20 // socket buffers and the largest body that is read whole
)

// endlessServer responds to a connection's first bytes with head, and then repeats
// tail until the peer closes.
type endlessServer struct {
	address string
	written atomic.Int64
	closed  chan struct{}
}

func startEndlessServer(t *testing.T, head, tail string) *endlessServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &endlessServer{address: listener.Addr().String(), closed: make(chan struct{})}
	block := []byte(strings.Repeat(tail, max(1, 4096/len(tail))))
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer close(s.closed)
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, head)
		for {
			n, err := conn.Write(block)
			s.written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return s
}

func (s *endlessServer) requireClosed(t *testing.T) {
	t.Helper()
	select {
	case <-s.closed:
	case <-time.After(maxEndlessTime):
		require.Fail(t, "the connection is still open", "%d bytes written", s.written.Load())
	}
	require.Less(t, s.written.Load(), int64(maxEndlessBytes))
}

const requestText = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

// attribute returns a function that attributes every response alike.
func attribute(a Attribution) func(*fasthttp.ResponseHeader) Attribution {
	return func(*fasthttp.ResponseHeader) Attribution { return a }
}

// TestEndlessHeadEndsTheAttempt guards against waiting for the end of a response head that never ends.
func TestEndlessHeadEndsTheAttempt(t *testing.T) {
	for name, response := range map[string][2]string{
		"status line":   {"HTTP/1.1 200 ", "O"},
		"no response":   {"", "x"},
		"header value":  {"HTTP/1.1 200 OK\r\nX-A: ", "b"},
		"header lines":  {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"empty lines":   {"", "\r\n"},
		"informational": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startEndlessServer(t, response[0], response[1])
			ctx, cancel := context.WithTimeout(context.Background(), 2*maxEndlessTime)
			defer cancel()
			_, err := NewPool(DefaultConfig()).Send(ctx, s.address, Request{Bytes: []byte(requestText), Attribute: attribute(ThisRequest)})
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "the attempt ended only with its context")
			s.requireClosed(t)
		})
	}
}

// TestEndlessResponseToAnotherRequestEndsTheAttempt guards against skipping a response that never ends.
func TestEndlessResponseToAnotherRequestEndsTheAttempt(t *testing.T) {
	for name, response := range map[string][2]string{
		"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"length":          {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
		"trailer":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
		"chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"until closed":    {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startEndlessServer(t, response[0], response[1])
			ctx, cancel := context.WithTimeout(context.Background(), 2*maxEndlessTime)
			defer cancel()
			_, err := NewPool(DefaultConfig()).Send(ctx, s.address, Request{Bytes: []byte(requestText), Attribute: attribute(OtherRequest)})
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "the attempt ended only with its context")
			s.requireClosed(t)
		})
	}
}

// TestEndlessTrailerEndsTheBody guards against a body that is complete and never ends.
func TestEndlessTrailerEndsTheBody(t *testing.T) {
	s := startEndlessServer(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-A: b\r\n")
	ctx, cancel := context.WithTimeout(context.Background(), 2*maxEndlessTime)
	defer cancel()
	x, err := NewPool(DefaultConfig()).Send(ctx, s.address, Request{Bytes: []byte(requestText), Attribute: attribute(ThisRequest)})
	require.NoError(t, err)
	_, err = io.ReadAll(x)
	require.Error(t, err)
	require.NoError(t, ctx.Err(), "the body ended only with its context")
	x.Discard()
	s.requireClosed(t)
}
