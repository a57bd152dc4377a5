package peer

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
	"github.com/bulrushwick/bulrushwick/entry/peer/peerpb"
)

// endlessBytes is what an endless message of these tests has, far above what a message
// may have.
const endlessBytes = 64 << 20

// zeros is a body of endlessBytes.
type zeros struct{ read int }

func (z *zeros) Read(p []byte) (int, error) {
	if z.read >= endlessBytes {
		return 0, io.EOF
	}
	clear(p)
	z.read += len(p)
	return len(p), nil
}

// serveControl serves handler as a control listener and returns its address.
func serveControl(t *testing.T, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewControlServer(handler, time.Minute)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// TestEndlessResponseOfAPeerIsNotKept guards against an instance that runs out of memory
// because it keeps whatever answers at the address of a peer, also where the bytes are
// few as long as they are compressed.
func TestEndlessResponseOfAPeerIsNotKept(t *testing.T) {
	address := serveControl(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = io.Copy(w, &zeros{})
	}))
	f := fleet.New("entry-0", "dc-a")
	e, err := NewExchange(Config{HeartbeatEvery: 10 * time.Second, Concurrency: 1}, f, NewRecords(f, nil), zerolog.Nop())
	require.NoError(t, err)
	for name, call := range map[string]func() error{
		"control": func() error {
			_, err := e.Lease(t.Context(), member.Instance{Name: "entry-1", ControlAddress: address}, ownership.Message{})
			return err
		},
		"tables": func() error { _, _, err := e.CompareTables(t.Context(), address, table.Stamp{}); return err },
	} {
		t.Run(name, func(t *testing.T) {
			require.ErrorContains(t, call(), "request body too large", "net/http's error of a bounded body")
		})
	}
}

// TestEndlessCallOfAPeerIsNotKept is the same for a call that an instance receives.
func TestEndlessCallOfAPeerIsNotKept(t *testing.T) {
	f := fleet.New("entry-0", "dc-a")
	address := serveControl(t, peerpb.NewPeerServer(NewServer(f, NewRecords(f, nil), nil)))
	body := &zeros{}
	response, err := http.Post("http://"+address+peerpb.PeerPathPrefix+"Heartbeat", "application/protobuf", body)
	if err == nil {
		_ = response.Body.Close()
		require.NotEqual(t, http.StatusOK, response.StatusCode)
	}
	require.Less(t, body.read, endlessBytes)
}

// TestATruncatedResponseOfAPeerIsNotDecoded guards against a part of a table that is taken
// for all of it: what answers at the address of a peer states no length, and its
// connection ends.
func TestATruncatedResponseOfAPeerIsNotDecoded(t *testing.T) {
	address := serveControl(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n")
			_ = conn.Close()
		}
	}))
	f := fleet.New("entry-0", "dc-a")
	e, err := NewExchange(Config{HeartbeatEvery: 10 * time.Second, Concurrency: 1}, f, NewRecords(f, nil), zerolog.Nop())
	require.NoError(t, err)
	_, _, err = e.CompareTables(t.Context(), address, table.Stamp{})
	require.ErrorIs(t, err, httpx.ErrUnframed)
}

// TestAnInvalidFieldNameOfAPeerIsNotDecoded guards against a table of what answers at the
// address of a peer that is used though a field name is not a token.
func TestAnInvalidFieldNameOfAPeerIsNotDecoded(t *testing.T) {
	for _, line := range []string{"X Odd: 1", "X-Odd : 1", "Transfer-Encoding : chunked"} {
		address := serveControl(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: 0\r\n"+line+"\r\n\r\n")
				_ = conn.Close()
			}
		}))
		f := fleet.New("entry-0", "dc-a")
		e, err := NewExchange(Config{HeartbeatEvery: 10 * time.Second, Concurrency: 1}, f, NewRecords(f, nil), zerolog.Nop())
		require.NoError(t, err)
		_, _, err = e.CompareTables(t.Context(), address, table.Stamp{})
		require.ErrorIs(t, err, httpx.ErrInvalidFieldName, line)
	}
}
