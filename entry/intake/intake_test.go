package intake

import (
	"bufio"
	"fmt"
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

const testLimit = 100 << 10

// startServer starts a server that echoes the size of each body, and returns its address.
func startServer(t *testing.T, change func(*Config)) (*Intake, string) {
	t.Helper()
	config := Config{Bytes: 1 << 20, Connections: 100, BodyTimeout: time.Minute, HeaderTimeout: func() time.Duration { return 300 * time.Millisecond }}
	if change != nil {
		change(&config)
	}
	i := New(config)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			body, refusal := i.ReadBody(ctx, testLimit)
			if refusal != nil {
				ctx.SetConnectionClose()
				ctx.SetStatusCode(refusal.Status)
				return
			}
			ctx.SetBodyString(fmt.Sprint(len(body)))
		},
		ReduceMemoryUsage: true, StreamRequestBody: true, ReadTimeout: time.Minute, IdleTimeout: time.Minute,
		HeaderReceived: i.HeaderReceived, ConnState: ConnState, ErrorHandler: HandleReadError,
	}
	go func() { _ = server.Serve(httpx.WatchListener(i.Listener(inner), time.Minute)) }()
	t.Cleanup(func() { _ = inner.Close() })
	return i, inner.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn, bufio.NewReader(conn)
}

func post(framing, body string) string {
	return "POST / HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n" + body
}

func requireResponse(t *testing.T, reader *bufio.Reader, status int, body string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, status, response.StatusCode)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, body, string(text))
}

func requireReleased(t *testing.T, i *Intake) {
	t.Helper()
	require.Eventually(t, func() bool { return i.State().Held == 0 && i.State().Readers == 0 }, 5*time.Second, 5*time.Millisecond)
}

// TestBodiesOnOneConnection guards against a body whose end is found wrongly: the next
// request on the connection would start in the middle of it.
func TestBodiesOnOneConnection(t *testing.T) {
	i, address := startServer(t, nil)
	conn, reader := dial(t, address)
	long := strings.Repeat("x", testLimit)
	for _, text := range []string{
		post("Content-Length: 3", "abc"), post("Content-Length: 0", ""), "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		post(fmt.Sprintf("Content-Length: %d", testLimit), long),
		post("Transfer-Encoding: chunked", "3\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n"),
		post("Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", testLimit, long)),
	} {
		go func() { _, _ = io.WriteString(conn, text+text) }() // the second one is pipelined
		for range 2 {
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			want := map[bool]string{true: fmt.Sprint(testLimit)}[len(text) > testLimit]
			require.Contains(t, []string{want, "0", "3", "5"}, string(body))
		}
	}
	requireReleased(t, i)
}

// TestBodyOverTheLimit guards against reading on after a body was found too long, and
// against a response that is lost because the body still arrives.
func TestBodyOverTheLimit(t *testing.T) {
	i, address := startServer(t, nil)
	part := strings.Repeat("x", testLimit/2)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	for _, text := range []string{
		post(fmt.Sprintf("Content-Length: %d", testLimit+1), part), post("Content-Length: 1000000000000", part),
		post("Transfer-Encoding: chunked", chunk+chunk+chunk),
	} {
		conn, reader := dial(t, address)
		_, err := io.WriteString(conn, text)
		require.NoError(t, err)
		requireResponse(t, reader, http.StatusRequestEntityTooLarge, "")
		_, err = reader.ReadByte()
		require.ErrorIs(t, err, io.EOF, "the connection is closed")
	}
	require.EqualValues(t, 3, i.Counts().TooLong.Load())
	requireReleased(t, i)
}

// TestExpectContinue guards against a caller that waits in vain before it sends its body.
func TestExpectContinue(t *testing.T) {
	_, address := startServer(t, nil)
	conn, reader := dial(t, address)
	_, err := io.WriteString(conn, post("Expect: 100-continue\r\nContent-Length: 3", ""))
	require.NoError(t, err)
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "100 Continue")
	_, err = io.WriteString(conn, "abc")
	require.NoError(t, err)
	_, err = reader.ReadString('\n')
	require.NoError(t, err)
	requireResponse(t, reader, http.StatusOK, "3")
}

// TestHeaderThatTricklesIn guards against a header that keeps its connection for as long
// as single bytes arrive.
func TestHeaderThatTricklesIn(t *testing.T) {
	i, address := startServer(t, nil)
	conn, reader := dial(t, address)
	go func() {
		for _, b := range []byte("GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 1000)) {
			if _, err := conn.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	began := time.Now()
	response, err := http.ReadResponse(reader, nil)
	if err == nil {
		require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	}
	require.Less(t, time.Since(began), 5*time.Second)
	require.EqualValues(t, 1, i.Counts().SlowHeaders.Load())
}

// TestBodyMayTakeLongerThanTheHeader guards against the limit of a header on a body.
func TestBodyMayTakeLongerThanTheHeader(t *testing.T) {
	_, address := startServer(t, nil)
	conn, reader := dial(t, address)
	_, err := io.WriteString(conn, post("Content-Length: 5", "a"))
	require.NoError(t, err)
	for range 4 {
		time.Sleep(150 * time.Millisecond)
		_, err := io.WriteString(conn, "x")
		require.NoError(t, err)
	}
	requireResponse(t, reader, http.StatusOK, "5")
}

// TestStalledBodiesMakeRoom guards against bodies that stop short and keep out others.
func TestStalledBodiesMakeRoom(t *testing.T) {
	i, address := startServer(t, nil)
	body := strings.Repeat("x", testLimit)
	for range 30 {
		conn, _ := dial(t, address)
		_, err := io.WriteString(conn, post(fmt.Sprintf("Content-Length: %d", testLimit), body[1:]))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool {
		conn, reader := dial(t, address)
		if _, err := io.WriteString(conn, post(fmt.Sprintf("Content-Length: %d", testLimit), body)); err != nil {
			return false
		}
		response, err := http.ReadResponse(reader, nil)
		return err == nil && response.StatusCode == http.StatusOK
	}, 10*time.Second, 10*time.Millisecond)
	require.LessOrEqual(t, i.State().Held, i.State().Limit)
	require.Positive(t, i.Counts().Evicted.Load()+i.Counts().NoRoom.Load())
}

// TestTooManyConnections guards against idle connections that keep out new ones.
func TestTooManyConnections(t *testing.T) {
	i, address := startServer(t, func(c *Config) { c.Connections = 5 })
	for range 20 {
		conn, reader := dial(t, address)
		_, err := io.WriteString(conn, post("Content-Length: 1", "x"))
		require.NoError(t, err)
		requireResponse(t, reader, http.StatusOK, "1")
		require.Eventually(t, func() bool { return i.State().Connections <= 5 }, time.Second, time.Millisecond)
	}
	require.EqualValues(t, 15, i.Counts().TooMany.Load())
}

// TestCallerDisconnectsInItsBody guards against bytes that are not returned.
func TestCallerDisconnectsInItsBody(t *testing.T) {
	i, address := startServer(t, nil)
	for _, framing := range []string{"Content-Length: 90000", "Transfer-Encoding: chunked"} {
		conn, _ := dial(t, address)
		_, err := io.WriteString(conn, post(framing, "2000\r\n"+strings.Repeat("x", 8192)))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return i.State().Held > 0 }, 5*time.Second, time.Millisecond)
		require.NoError(t, conn.Close())
		requireReleased(t, i)
	}
	require.Eventually(t, func() bool { return i.State().Connections == 0 }, 5*time.Second, 5*time.Millisecond)
}

// TestStalledConnectionsCloseBeforeIdleOnes guards against connections that stand still in a
// header or a body and take the places of those that callers reuse.
func TestStalledConnectionsCloseBeforeIdleOnes(t *testing.T) {
	i := &Intake{conns: make(map[*Conn]struct{}), start: time.Now().Add(-time.Hour)}
	now := i.now()
	connection := func(phase int32, age time.Duration) *Conn {
		c := &Conn{intake: i}
		c.phase.Store(phase)
		c.since.Store(int64(now - age))
		i.conns[c] = struct{}{}
		return c
	}
	connection(phaseServing, time.Minute)
	arriving := connection(phaseBody, staleAfter/2)
	require.Equal(t, arriving, i.leastUseful())
	idle := connection(phaseIdle, 10*time.Second)
	require.Equal(t, idle, i.leastUseful(), "a body that has just begun to arrive is kept")
	stalled := connection(phaseBody, staleAfter+1)
	require.Equal(t, stalled, i.leastUseful())
}
