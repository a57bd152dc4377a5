package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// maxEndlessMemory is the memory of a machine on the operators' sites, in bytes.
const maxEndlessMemory = 284 << 20

// rawAnswer is what a rawEndpoint writes: head once, and then tail until the peer closes.
type rawAnswer struct{ head, tail string }

// rawEndpoint is an endpoint in front of a stand-in. It passes requests on to it, but
// answers those of callers with the bytes that it is told, as a faulty worker would.
type rawEndpoint struct {
	server *httptest.Server
	answer atomic.Pointer[rawAnswer]
}

func startRawEndpoint(t *testing.T, address string) *rawEndpoint {
	t.Helper()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	proxy.FlushInterval = -1
	e := &rawEndpoint{}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := e.answer.Load()
		if answer == nil || !isCallersPath(r.URL.Path) {
			proxy.ServeHTTP(w, r)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		answer.writeTo(conn)
	}))
	t.Cleanup(e.server.Close)
	return e
}

func (e *rawEndpoint) address() string { return strings.TrimPrefix(e.server.URL, "http://") }

// isCallersPath tells the requests of callers from orders to an engine.
func isCallersPath(path string) bool {
	return path == "/v1/completions" || strings.HasPrefix(path, "/orders") || strings.HasPrefix(path, "/labels")
}

func (a *rawAnswer) writeTo(conn net.Conn) {
	block := []byte(strings.Repeat(a.tail, 1+(64<<10)/len(a.tail)))
	for _, err := io.WriteString(conn, a.head); err == nil; {
		_, err = conn.Write(block)
	}
}

// memory returns the resident memory of the process in bytes.
func (p *process) memory(t *testing.T) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	require.NoError(t, err, "the process has ended")
	for line := range strings.SplitSeq(string(status), "\n") {
		if size, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(size), " kB"), 10, 64)
			require.NoError(t, err)
			return kilobytes << 10
		}
	}
	require.FailNow(t, "the process has ended")
	return 0
}

// startRawSystem starts a small deployment whose endpoints are rawEndpoints.
func startRawSystem(t *testing.T) (*system, []*rawEndpoint) {
	t.Helper()
	spec := deployment.Silttolge()
	spec.Workers, spec.Adapters = 3, 8
	var endpoints []*rawEndpoint
	s := &system{spec: spec, inFrontOf: func(address string) string {
		e := startRawEndpoint(t, address)
		endpoints = append(endpoints, e)
		return e.address()
	}}
	s.startAll(t, 1)
	s.awaitKeyedCalls(t)
	return s, endpoints
}

// callerRequests returns the text of one request of every kind, each with that deadline.
func (s *system) callerRequests(deadline time.Duration) []string {
	text := func(method, path, body string, headers ...string) string {
		headers = append(headers, fmt.Sprintf("%s: %d", httpx.DeadlineHeader, deadline.Milliseconds()), fmt.Sprintf("Content-Length: %d", len(body)))
		return method + " " + path + " HTTP/1.1\r\nHost: x\r\n" + strings.Join(headers, "\r\n") + "\r\n\r\n" + body
	}
	completion := func(stream bool) string {
		return text("POST", "/v1/completions", fmt.Sprintf(`{"model":%q,"prompt":"label","max_tokens":4,"stream":%t}`, s.adapterVersions(1)[0], stream))
	}
	return []string{
		text("GET", "/labels/1", ""),
		text("POST", "/orders", `"label"`),
		text("POST", "/orders", `"label"`, httpx.IdempotencyKey+": "+uuid.Must(uuid.NewV7()).String()),
		completion(false),
		completion(true),
	}
}

// TestEndlessAnswersDoNotFillMemory guards against an instance that runs out of memory,
// and loses the requests of all its callers, because it keeps what a faulty worker writes
// without end.
func TestEndlessAnswersDoNotFillMemory(t *testing.T) {
	const (
		deadline = time.Second
		rounds   = 4 // half of the callers of each round read nothing
	)
	s, endpoints := startRawSystem(t)
	events := "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := "800\r\n" + strings.Repeat("abcdefgh", 0x800/8) + "\r\n"
	event := "800\r\n" + "data:" + strings.Repeat("a", 0x800-len("data:\n\n")) + "\n\n\r\n"
	for name, answer := range map[string]*rawAnswer{
		"head":              {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"one header":        {"HTTP/1.1 200 OK\r\nX-A: ", "b"},
		"bytes":             {"", chunk},
		"interim":           {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"body":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
		"body until closed": {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", chunk},
		"length":            {"HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n", chunk},
		"refusal":           {"HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
		"one event":         {"HTTP/1.1 200 OK\r\n" + events, chunk},
		"events":            {"HTTP/1.1 200 OK\r\n" + events, event},
	} {
		t.Run(name, func(t *testing.T) {
			before := make([]int64, len(s.instances))
			for i, instance := range s.instances {
				before[i] = instance.memory(t)
			}
			for _, e := range endpoints {
				e.answer.Store(answer)
			}
			for i := range rounds {
				for _, text := range s.callerRequests(deadline) {
					conn, err := net.Dial("tcp", s.callerAddresses[i%len(s.callerAddresses)])
					require.NoError(t, err)
					defer func() { _ = conn.Close() }()
					_, err = io.WriteString(conn, text)
					require.NoError(t, err)
					if i%2 == 0 {
						go func() { _, _ = io.Copy(io.Discard, conn) }()
					}
				}
			}
			most := int64(0)
			for end := time.Now().Add(deadline + deadline/2); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				for i, instance := range s.instances {
					most = max(most, instance.memory(t)-before[i])
				}
			}
			t.Logf("at most %d MB more", most>>20)
			require.Less(t, most, int64(maxEndlessMemory))
			for _, e := range endpoints {
				e.answer.Store(nil)
			}
			adapter := s.adapterVersions(1)[0]
			require.Eventually(t, func() bool { // callers of other requests are served
				return requestOrder(s.callerAddresses[0], "sound") == nil &&
					requestStream(s.callerAddresses[0], adapter, table.Normal, "sound", 4) == nil
			}, 10*time.Second, 100*time.Millisecond)
		})
	}
}
