package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	standins "github.com/bulrushwick/bulrushwick/platform/standin"
)

// kind is a kind of request.
type kind string

// The kinds of requests: non-idempotent ones, idempotent ones, resumable streams,
// and requests for a route that exists only from some configuration on.
const (
	orderKind  kind = "order"
	readKind   kind = "read"
	streamKind kind = "stream"
	markKind   kind = "mark"
)

// result is what a caller saw of one request.
type result struct {
	id       string
	kind     kind
	instance string
	// startsBefore and startsAfter are the number of starts of the instance's
	// process before and after the request.
	startsBefore, startsAfter int
	// version is the configuration version whose route a mark requested.
	version int
	began   time.Time
	ended   time.Time
	status  int // 0 if there was no response
	signed  bool
	body    string
	// complete is set if the response was complete.
	complete bool
}

// callers sends requests and records the results. It is safe for concurrent use.
type callers struct {
	deployment *deployment
	mu         sync.Mutex
	results    []result
	count      int
}

// callerTimeout is the deadline of a request. callerPause is the mean pause
// between two requests of a caller.
const (
	callerTimeout = 3 * time.Second
	callerPause   = 15 * time.Millisecond
)

// run sends requests one after the other until ctx ends. It keeps a connection for
// up to 30 requests while it works, also while its instance is stopping.
func (c *callers) run(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		i := c.deployment.instances[random.IntN(len(c.deployment.instances))]
		conn, err := net.DialTimeout("tcp", i.settings.CallerAddress, time.Second)
		if err != nil {
			time.Sleep(callerPause)
			continue
		}
		reader := bufio.NewReader(conn)
		for n := 0; ctx.Err() == nil && n < 1+random.IntN(30); n++ {
			if !c.send(conn, reader, i, c.randomCall(random)) {
				break
			}
			time.Sleep(time.Duration(random.Int64N(int64(2 * callerPause))))
		}
		_ = conn.Close() // all responses were read or are recorded as incomplete
	}
}

// probe sends marks for the newest configurations to one instance until ctx ends, so
// that each configuration is observed there soon after it takes effect.
func (c *callers) probe(ctx context.Context, i *instance, random *rand.Rand) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", i.settings.CallerAddress, probeTimeout)
		for reader := bufio.NewReader(conn); err == nil && ctx.Err() == nil; {
			if !c.send(conn, reader, i, c.mark(random, 2, probeTimeout)) {
				break
			}
			time.Sleep(probePause)
		}
		if conn != nil {
			_ = conn.Close() // all responses were read or are recorded as incomplete
		}
		time.Sleep(probePause)
	}
}

// probeTimeout is the deadline of a probe and probePause the pause between two.
const (
	probeTimeout = 500 * time.Millisecond
	probePause   = 50 * time.Millisecond
)

// call is a request to send.
type call struct {
	result
	text string
	// wait is the deadline of the request.
	wait time.Duration
}

// mark returns a request for the route that was added by one of the newest
// configurations, drawn from that many versions.
func (c *callers) mark(random *rand.Rand, newest int, wait time.Duration) call {
	c.mu.Lock()
	c.count++
	id := fmt.Sprintf("q%d", c.count)
	c.mu.Unlock()
	version := max(1, c.deployment.newest()-random.IntN(newest))
	return call{result: result{id: id, kind: markKind, version: version}, text: standins.RequestText("GET", versionPrefix(version), id, "", wait), wait: wait}
}

// randomCall returns a random request.
func (c *callers) randomCall(random *rand.Rand) call {
	c.mu.Lock()
	c.count++
	id := fmt.Sprintf("q%d", c.count)
	c.mu.Unlock()
	r := result{id: id}
	var text string
	switch draw := random.IntN(10); {
	case draw < 3:
		r.kind, text = orderKind, standins.RequestText("POST", "/o/x", id, "", callerTimeout)
	case draw < 5:
		r.kind, text = readKind, standins.RequestText("GET", "/r/x", id, "", callerTimeout)
	case draw < 6:
		return c.mark(random, markVersions, callerTimeout)
	default:
		r.kind, text = streamKind, standins.RequestText("POST", "/s/x", id, fmt.Sprintf("a%d", random.IntN(adapters)), callerTimeout)
	}
	return call{result: r, text: text, wait: callerTimeout}
}

// markVersions is the number of newest configurations that callers request routes
// of.
const markVersions = 3

// send sends one request, records its result and reports whether the connection can
// be used again.
func (c *callers) send(conn net.Conn, reader *bufio.Reader, i *instance, next call) bool {
	r := next.result
	r.instance, r.startsBefore, r.began = i.settings.Instance, i.starts(), time.Now()
	_ = conn.SetDeadline(r.began.Add(2 * next.wait)) // an error would also show on the write
	keep := false
	if _, err := io.WriteString(conn, next.text); err == nil {
		if response, err := http.ReadResponse(reader, nil); err == nil {
			body, err := io.ReadAll(response.Body)
			r.status, r.body, r.complete = response.StatusCode, string(body), err == nil
			r.signed = standins.IsSigned(response.Header)
			keep = r.complete && !response.Close
		}
	}
	r.ended, r.startsAfter = time.Now(), i.starts()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
	return keep
}
