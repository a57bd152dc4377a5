package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	standins "github.com/bulrushwick/bulrushwick/platform/standin"
)

// run is one execution of a request by a worker.
type run struct {
	worker string
	at     time.Time
}

// workerResponder responds for the workers, with random faults, and records which
// requests they ran. It is safe for concurrent use.
type workerResponder struct {
	mu     sync.Mutex
	random *rand.Rand
	runs   map[string][]run
}

func newResponder(seed uint64) *workerResponder {
	return &workerResponder{random: rand.New(rand.NewPCG(seed, 1)), runs: make(map[string][]run)} //nolint:gosec // faults need no secrecy
}

// runsByRequest returns the runs of each request by its id.
func (a *workerResponder) runsByRequest() map[string][]run {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make(map[string][]run, len(a.runs))
	for id, runs := range a.runs {
		all[id] = append([]run(nil), runs...)
	}
	return all
}

// chance returns true with probability p.
func (a *workerResponder) chance(p float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.random.Float64() < p
}

// draw returns a random number in [0, n).
func (a *workerResponder) draw(n int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.random.IntN(n)
}

// Probabilities of the faults of a response. Those of plain requests apply one after
// the other.
const (
	notExecutedProbability  = 0.03
	noResponseProbability   = 0.02
	truncatedProbability    = 0.03
	malformedProbability    = 0.02
	duplicateProbability    = 0.03
	brokenStreamProbability = 0.08
)

// maxWorkTime is the upper bound of the random time that a plain request or one event
// of a stream takes.
const maxWorkTime = 25 * time.Millisecond

// respond runs a request, or rejects it as not executed. It reports whether the
// connection stays open.
func (a *workerResponder) respond(w *standins.Worker, conn net.Conn, r standins.ReceivedRequest) bool {
	id := r.RequestID()
	if a.chance(notExecutedProbability) {
		return standins.Write(conn, standins.NotExecutedResponse(r))
	}
	a.mu.Lock()
	a.runs[id] = append(a.runs[id], run{worker: w.ID, at: time.Now()})
	a.mu.Unlock()
	if w.Service == standins.ModelService {
		return a.stream(conn, r)
	}
	time.Sleep(time.Duration(a.draw(int(maxWorkTime))))
	complete := standins.SignedResponse(r, responseBody(id))
	switch {
	case a.chance(noResponseProbability):
		return false
	case a.chance(truncatedProbability):
		standins.Write(conn, complete[:len(complete)-4])
		return false
	case a.chance(malformedProbability):
		standins.Write(conn, "\x00\x01 not an answer\r\n\r\n")
		return false
	case a.chance(duplicateProbability):
		return standins.Write(conn, complete+complete)
	}
	return standins.Write(conn, complete)
}

// responseBody returns the response body of a plain request.
func responseBody(id string) string { return "done " + id }

// streamEvents is the number of events of every stream.
const streamEvents = 12

// streamEvent returns the n-th event (from 1) of a request's stream.
func streamEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// stream responds with the events after the last one that the caller has received.
func (a *workerResponder) stream(conn net.Conn, r standins.ReceivedRequest) bool {
	first, _ := strconv.Atoi(r.ResumeAfter()) // 0 for a stream from its beginning
	breakAt := 0
	if a.chance(brokenStreamProbability) {
		breakAt = 1 + a.draw(streamEvents)
	}
	if !standins.Write(conn, standins.StreamHeader(r)) {
		return false
	}
	for n := first + 1; n <= streamEvents; n++ {
		event := streamEvent(r.RequestID(), n)
		if n == breakAt {
			standins.Write(conn, standins.Chunk(event)[:len(event)/2]) // breaks off in the middle of an event
			return false
		}
		if !standins.Write(conn, standins.Chunk(event)) {
			return false
		}
		time.Sleep(time.Duration(a.draw(int(maxWorkTime))))
	}
	return standins.Write(conn, standins.LastChunk)
}
