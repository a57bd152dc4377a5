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

// run is one time that a worker ran a request.
type run struct {
	worker string
	at     time.Time
}

// answers lets workers answer, some of them badly, and keeps what they ran. It is
// safe for concurrent use.
type answers struct {
	mu     sync.Mutex
	random *rand.Rand
	runs   map[string][]run
}

func newAnswers(seed uint64) *answers {
	return &answers{random: rand.New(rand.NewPCG(seed, 1)), runs: make(map[string][]run)} //nolint:gosec // faults need no secrecy
}

// ran returns how often each request ran.
func (a *answers) ran() map[string][]run {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make(map[string][]run, len(a.runs))
	for id, runs := range a.runs {
		all[id] = append([]run(nil), runs...)
	}
	return all
}

// chance draws whether something with this probability happens.
func (a *answers) chance(p float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.random.Float64() < p
}

// draw returns a number below n.
func (a *answers) draw(n int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.random.IntN(n)
}

// Shares of the answers that go wrong.
const (
	refusedShare = 0.03
	silentShare  = 0.02
	cutShare     = 0.03
	garbledShare = 0.02
	doubledShare = 0.03
	brokenShare  = 0.08
)

// workTime bounds the time of a plain request.
const workTime = 25 * time.Millisecond

// answer runs a request, or refuses it.
func (a *answers) answer(w *standins.Worker, conn net.Conn, r standins.ReceivedRequest) bool {
	id := r.RequestID()
	if a.chance(refusedShare) {
		return standins.Write(conn, standins.NotExecutedResponse(r))
	}
	a.mu.Lock()
	a.runs[id] = append(a.runs[id], run{worker: w.ID, at: time.Now()})
	a.mu.Unlock()
	if w.Service == standins.ModelService {
		return a.stream(conn, r)
	}
	time.Sleep(time.Duration(a.draw(int(workTime))))
	whole := standins.SignedResponse(r, bodyOf(id))
	switch {
	case a.chance(silentShare):
		return false
	case a.chance(cutShare):
		standins.Write(conn, whole[:len(whole)-4])
		return false
	case a.chance(garbledShare):
		standins.Write(conn, "\x00\x01 not an answer\r\n\r\n")
		return false
	case a.chance(doubledShare):
		return standins.Write(conn, whole+whole)
	}
	return standins.Write(conn, whole)
}

// bodyOf is the answer to a plain request.
func bodyOf(id string) string { return "done " + id }

// streamEvents is the length of every stream.
const streamEvents = 12

// eventOf is one event of a request's stream.
func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// stream answers with events after the last one that the caller has.
func (a *answers) stream(conn net.Conn, r standins.ReceivedRequest) bool {
	first, _ := strconv.Atoi(r.ResumeAfter()) // none for a stream from its beginning
	breakAt := 0
	if a.chance(brokenShare) {
		breakAt = 1 + a.draw(streamEvents)
	}
	if !standins.Write(conn, standins.StreamHeader(r)) {
		return false
	}
	for n := first + 1; n <= streamEvents; n++ {
		event := eventOf(r.RequestID(), n)
		if n == breakAt {
			standins.Write(conn, standins.Chunk(event)[:len(event)/2]) // in the middle of an event
			return false
		}
		if !standins.Write(conn, standins.Chunk(event)) {
			return false
		}
		time.Sleep(time.Duration(a.draw(int(workTime))))
	}
	return standins.Write(conn, standins.LastChunk)
}
