package endpoint

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// copyDelays are the times after its answer at which a faulty worker writes a copy. The
// last one is that at which the answer to a further request on the connection is due.
var copyDelays = map[string]time.Duration{"at once": 0, "a moment later": 2 * time.Millisecond, "in place of the next": -1}

// startCopyingWorker starts a worker that answers each request with answer, and writes a
// copy of each answer once more on the same connection.
func startCopyingWorker(t *testing.T, delay time.Duration, answer func(path string) (status int, body string)) string {
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
			go answerTwice(conn, delay, answer)
		}
	}()
	return listener.Addr().String()
}

func answerTwice(conn net.Conn, delay time.Duration, answer func(path string) (status int, body string)) {
	defer func() { _ = conn.Close() }()
	reader, earlier := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		status, body := answer(request.URL.Path)
		text := fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
		switch {
		case delay < 0:
			_, _ = io.WriteString(conn, earlier+text)
		case delay == 0:
			_, _ = io.WriteString(conn, text+text)
		default:
			_, _ = io.WriteString(conn, text)
			time.Sleep(delay)
			_, _ = io.WriteString(conn, text)
		}
		earlier = text
	}
}

const copyTestTimeout = 5 * time.Second

func newTestClient() *Client {
	return NewClient(httpx.ClientConfig{ConnectTimeout: copyTestTimeout, ProgressTimeout: copyTestTimeout})
}

// TestASecondCopyOfAnAnswerReachesNobody guards against a caller that gets the answer to
// another request, because a faulty worker wrote that one twice on a connection that is
// used again.
func TestASecondCopyOfAnAnswerReachesNobody(t *testing.T) {
	for name, delay := range copyDelays {
		t.Run(name, func(t *testing.T) {
			address := startCopyingWorker(t, delay, func(path string) (int, string) { return http.StatusOK, path })
			client := newTestClient()
			for i := range 20 {
				path := fmt.Sprintf("/labels/%d", i)
				request := &call.Request{ID: path, Attempt: 1, Method: http.MethodGet, Path: path, Idempotent: true, Deadline: time.Now().Add(copyTestTimeout)}
				response, err := client.Do(t.Context(), address, request)
				require.NoError(t, err)
				body, _, err := response.ReadWhole(nil)
				require.NoError(t, err)
				require.Equal(t, path, string(body))
				time.Sleep(time.Duration(i%4) * time.Millisecond)
			}
		})
	}
}

// TestASecondCopyOfAnOrdersAnswerIsNotBelieved is the same for orders: an adapter must
// not be taken for loaded because an earlier order was carried out.
func TestASecondCopyOfAnOrdersAnswerIsNotBelieved(t *testing.T) {
	for name, delay := range copyDelays {
		t.Run(name, func(t *testing.T) {
			address := startCopyingWorker(t, delay, func(path string) (int, string) {
				if path == "/v1/load_lora_adapter" {
					return http.StatusInsufficientStorage, ""
				}
				return http.StatusOK, ""
			})
			client := newTestClient()
			for i := range 20 {
				require.NoError(t, client.Unload(address, table.AdapterVersion{Adapter: "a", Version: "v1"}, 1, copyTestTimeout))
				time.Sleep(time.Duration(i%4) * time.Millisecond)
				require.Error(t, client.Load(address, table.AdapterVersion{Adapter: "b", Version: "v1"}, 1, copyTestTimeout))
			}
		})
	}
}
