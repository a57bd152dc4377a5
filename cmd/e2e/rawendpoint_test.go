package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// rawAnswer is what a rawEndpoint writes: head once, and then tail until the peer closes.
// Without a tail the connection ends after head.
type rawAnswer struct {
	head, tail string
	// reset ends the connection by a reset.
	reset bool
	// pause is the time between two bytes of tail. Zero is as fast as the peer reads.
	pause time.Duration
}

// rawEndpoint is an endpoint in front of a stand-in. It passes requests on to it, but
// answers those of callers with the bytes that it is told, as a faulty worker would.
type rawEndpoint struct {
	server *httptest.Server
	answer atomic.Pointer[rawAnswer]
	// arrived counts the requests of callers that got a rawAnswer, by path.
	arrived *arrivals
}

// arrivals counts requests by path.
type arrivals struct {
	mu     sync.Mutex
	byPath map[string]int
}

func (a *arrivals) add(path string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byPath[path]++
}

func (a *arrivals) at(path string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byPath[path]
}

func startRawEndpoint(t *testing.T, address string, arrived *arrivals) *rawEndpoint {
	t.Helper()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	proxy.FlushInterval = -1
	e := &rawEndpoint{arrived: arrived}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := e.answer.Load()
		if answer == nil || !isCallersPath(r.URL.Path) {
			proxy.ServeHTTP(w, r)
			return
		}
		e.arrived.add(r.URL.Path)
		_, _ = io.Copy(io.Discard, r.Body)
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
	if a.tail == "" {
		_, _ = io.WriteString(conn, a.head)
		if a.reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return
	}
	block := []byte(strings.Repeat(a.tail, 1+(64<<10)/len(a.tail)))
	step := len(block)
	if a.pause > 0 {
		step = 1
	}
	_, err := io.WriteString(conn, a.head)
	for at := 0; err == nil; at = (at + step) % len(block) {
		_, err = conn.Write(block[at : at+step])
		time.Sleep(a.pause)
	}
}

// startRawSystem starts a small deployment whose endpoints are rawEndpoints with the same
// arrivals.
func startRawSystem(t *testing.T) (*system, []*rawEndpoint) {
	t.Helper()
	spec := deployment.Silttolge()
	spec.Workers, spec.Adapters = 3, 8
	var endpoints []*rawEndpoint
	arrived := &arrivals{byPath: make(map[string]int)}
	s := &system{spec: spec, inFrontOf: func(address string) string {
		e := startRawEndpoint(t, address, arrived)
		endpoints = append(endpoints, e)
		return e.address()
	}}
	s.startAll(t, 1)
	s.awaitKeyedCalls(t)
	return s, endpoints
}

func requestText(method, path, body string, deadline time.Duration, headers ...string) string {
	headers = append(headers, fmt.Sprintf("%s: %d", httpx.DeadlineHeader, deadline.Milliseconds()), fmt.Sprintf("Content-Length: %d", len(body)))
	return method + " " + path + " HTTP/1.1\r\nHost: x\r\n" + strings.Join(headers, "\r\n") + "\r\n\r\n" + body
}

// callerRequests returns the text of one request of every kind, each with that deadline.
func (s *system) callerRequests(deadline time.Duration) []string {
	text := func(method, path, body string, headers ...string) string {
		return requestText(method, path, body, deadline, headers...)
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
