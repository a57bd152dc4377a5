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

// The kinds of requests: those that run once, those that may run again, streams
// that may be continued, and questions for the newest configuration.
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
	// starts is the instance's number of starts before and after the request.
	startsBefore, startsAfter int
	// version is that of the configuration that a mark asked for.
	version int
	began   time.Time
	ended   time.Time
	status  int // 0 where no answer came
	signed  bool
	body    string
	// whole answers ended as they should.
	whole bool
}

// callers send requests and keep what they saw. They are safe for concurrent use.
type callers struct {
	deployment *deployment
	mu         sync.Mutex
	results    []result
	count      int
}

// waits of callers, and their pause between two requests.
const (
	callerWait  = 3 * time.Second
	callerPause = 15 * time.Millisecond
)

// run sends requests one after the other until ctx ends. The connection is kept
// as long as it works, also while its instance stops.
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
			if !c.send(conn, reader, i, c.next(random)) {
				break
			}
			time.Sleep(time.Duration(random.Int64N(int64(2 * callerPause))))
		}
		_ = conn.Close() // what was owed on it has been read or is counted as cut
	}
}

// probe asks one instance for the newest configurations until ctx ends, so that
// none is in force there unseen for long.
func (c *callers) probe(ctx context.Context, i *instance, random *rand.Rand) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", i.settings.CallerAddress, probeWait)
		for reader := bufio.NewReader(conn); err == nil && ctx.Err() == nil; {
			if !c.send(conn, reader, i, c.mark(random, 2, probeWait)) {
				break
			}
			time.Sleep(probePause)
		}
		if conn != nil {
			_ = conn.Close() // what was owed on it has been read or is counted as cut
		}
		time.Sleep(probePause)
	}
}

// probeWait bounds a probe, and probePause is left between two.
const (
	probeWait  = 500 * time.Millisecond
	probePause = 50 * time.Millisecond
)

// call is a request to send.
type call struct {
	result
	text string
	// wait is how long the caller waits.
	wait time.Duration
}

// mark asks for the route of one of the newest configurations.
func (c *callers) mark(random *rand.Rand, newest int, wait time.Duration) call {
	c.mu.Lock()
	c.count++
	id := fmt.Sprintf("q%d", c.count)
	c.mu.Unlock()
	version := max(1, c.deployment.newest()-random.IntN(newest))
	return call{result: result{id: id, kind: markKind, version: version}, text: standins.RequestText("GET", versionPrefix(version), id, "", wait), wait: wait}
}

// next draws a request.
func (c *callers) next(random *rand.Rand) call {
	c.mu.Lock()
	c.count++
	id := fmt.Sprintf("q%d", c.count)
	c.mu.Unlock()
	r := result{id: id}
	var text string
	switch draw := random.IntN(10); {
	case draw < 3:
		r.kind, text = orderKind, standins.RequestText("POST", "/o/x", id, "", callerWait)
	case draw < 5:
		r.kind, text = readKind, standins.RequestText("GET", "/r/x", id, "", callerWait)
	case draw < 6:
		return c.mark(random, markVersions, callerWait)
	default:
		r.kind, text = streamKind, standins.RequestText("POST", "/s/x", id, fmt.Sprintf("a%d", random.IntN(adapters)), callerWait)
	}
	return call{result: r, text: text, wait: callerWait}
}

// markVersions is the number of configurations that callers ask for.
const markVersions = 3

// send sends one request and tells whether the connection may be used again.
func (c *callers) send(conn net.Conn, reader *bufio.Reader, i *instance, next call) bool {
	r := next.result
	r.instance, r.startsBefore, r.began = i.settings.Instance, i.starts(), time.Now()
	_ = conn.SetDeadline(r.began.Add(2 * next.wait)) // a broken connection shows on the write
	keep := false
	if _, err := io.WriteString(conn, next.text); err == nil {
		if response, err := http.ReadResponse(reader, nil); err == nil {
			body, err := io.ReadAll(response.Body)
			r.status, r.body, r.whole = response.StatusCode, string(body), err == nil
			r.signed = standins.IsSigned(response.Header)
			keep = r.whole && !response.Close
		}
	}
	r.ended, r.startsAfter = time.Now(), i.starts()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
	return keep
}
