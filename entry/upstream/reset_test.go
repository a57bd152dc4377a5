package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// uploadBytes exceeds what the socket buffers of both sides hold, so that the upload is
// still being written while its response is read.
const uploadBytes = 8 << 20

var uploadBody = make([]byte, uploadBytes)

// startRawServer passes each connection to serve after the first bytes of its request.
func startRawServer(t *testing.T, serve func(*net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 64))
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// upload sends a long request and reads the body of its response after a pause.
func upload(t *testing.T, address string, pause time.Duration) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	head := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", uploadBytes)
	x, err := NewPool(DefaultConfig()).Send(ctx, address, Request{Bytes: []byte(head), Body: uploadBody, Attribute: attribute(ThisRequest)})
	if err != nil {
		require.NoError(t, ctx.Err(), "the attempt ended only with its context")
		return "", err
	}
	defer x.Discard()
	time.Sleep(pause)
	body, err := io.ReadAll(x)
	require.NoError(t, ctx.Err(), "the body ended only with its context")
	return string(body), err
}

const unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// TestResetDuringUploadEndsNoBody guards against a truncated body that looks complete: a
// socket reports a reset once, to the writer of the upload or to the reader of the body.
func TestResetDuringUploadEndsNoBody(t *testing.T) {
	for _, size := range []int{0, 64, 40_960} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 80 * time.Millisecond} {
			for _, pause := range []time.Duration{0, 150 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d bytes, reset after %v, read after %v", size, delay, pause), func(t *testing.T) {
					t.Parallel()
					address := startRawServer(t, func(conn *net.TCPConn) {
						_, _ = io.WriteString(conn, unframedHead+strings.Repeat("x", size))
						time.Sleep(delay)
						_ = conn.SetLinger(0)
					})
					for range 5 {
						body, err := upload(t, address, pause)
						require.Error(t, err, "%d bytes look complete", len(body))
					}
				})
			}
		}
	}
}

// TestOrderlyEndDuringUploadEndsTheBody covers servers that respond before they have read
// an upload and end their side of the connection in order.
func TestOrderlyEndDuringUploadEndsTheBody(t *testing.T) {
	for name, afterEnd := range map[string]func(*net.TCPConn){
		"the rest is read at once": func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) },
		"the rest is read later": func(conn *net.TCPConn) {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.Copy(io.Discard, conn)
		},
		"the rest is not read": func(*net.TCPConn) { time.Sleep(time.Second) },
		"a reset follows": func(conn *net.TCPConn) {
			time.Sleep(20 * time.Millisecond)
			_ = conn.SetLinger(0)
		},
	} {
		for _, pause := range []time.Duration{0, 150 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, read after %v", name, pause), func(t *testing.T) {
				t.Parallel()
				want := strings.Repeat("x", 40_960)
				address := startRawServer(t, func(conn *net.TCPConn) {
					_, _ = io.WriteString(conn, unframedHead+want)
					_ = conn.CloseWrite()
					afterEnd(conn)
				})
				for range 5 {
					start := time.Now()
					body, err := upload(t, address, pause)
					require.NoError(t, err)
					require.Equal(t, want, body)
					require.Less(t, time.Since(start), pause+500*time.Millisecond, "the end waited for the upload")
				}
			})
		}
	}
}
