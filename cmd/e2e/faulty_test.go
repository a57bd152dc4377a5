package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// maxEndlessMemory is the memory of a machine on the operators' sites, in bytes.
const maxEndlessMemory = 284 << 20

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
		"head":              {head: "HTTP/1.1 200 OK\r\n", tail: "X-A: b\r\n"},
		"one header":        {head: "HTTP/1.1 200 OK\r\nX-A: ", tail: "b"},
		"bytes":             {tail: chunk},
		"interim":           {tail: "HTTP/1.1 102 Processing\r\n\r\n"},
		"body":              {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", tail: chunk},
		"body until closed": {head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", tail: chunk},
		"length":            {head: "HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n", tail: chunk},
		"refusal":           {head: "HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n", tail: chunk},
		"one event":         {head: "HTTP/1.1 200 OK\r\n" + events, tail: chunk},
		"events":            {head: "HTTP/1.1 200 OK\r\n" + events, tail: event},
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

// TestAStalledAnswerEndsAtTheDeadline guards against requests that never end, since a
// faulty worker goes on with its response by a byte now and then.
func TestAStalledAnswerEndsAtTheDeadline(t *testing.T) {
	const (
		deadline = time.Second
		margin   = 2 * deadline
		pause    = 50 * time.Millisecond
	)
	s, endpoints := startRawSystem(t)
	ok := "HTTP/1.1 200 OK\r\n"
	chunked, events := ok+"Transfer-Encoding: chunked\r\n\r\n", ok+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, answer := range map[string]*rawAnswer{
		"status line":  {tail: "HTTP/1.1 200 OK"},
		"header":       {head: ok, tail: "X-A: b\r\n"},
		"interim":      {tail: "HTTP/1.1 102 Processing\r\n\r\n"},
		"chunk size":   {head: chunked, tail: "0"},
		"chunk":        {head: chunked + "fff\r\n", tail: "a"},
		"trailer":      {head: chunked + "1\r\na\r\n0\r\n", tail: "X-A: b\r\n"},
		"length":       {head: ok + "Content-Length: 4096\r\n\r\n", tail: "a"},
		"until closed": {head: ok + "Connection: close\r\n\r\n", tail: "a"},
		"event":        {head: events + "fff\r\n", tail: "data: a"},
		"events":       {head: events + "ffff\r\n", tail: ": a comment\n\n"},
	} {
		answer.pause = pause
		t.Run(name, func(t *testing.T) {
			for _, e := range endpoints {
				e.answer.Store(answer)
			}
			start := time.Now()
			var group sync.WaitGroup
			for _, text := range s.callerRequests(deadline) {
				conn, err := net.Dial("tcp", s.callerAddresses[0])
				require.NoError(t, err)
				defer func() { _ = conn.Close() }()
				require.NoError(t, conn.SetDeadline(start.Add(deadline+margin)))
				_, err = io.WriteString(conn, text)
				require.NoError(t, err)
				group.Go(func() {
					response, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err == nil {
						_, err = io.Copy(io.Discard, response.Body)
					}
					assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "no end at the deadline: %s", text)
					if err == nil {
						assert.GreaterOrEqual(t, response.StatusCode, 500, "a stalled answer looks complete: %s", text)
					}
				})
			}
			group.Wait()
		})
	}
}

// TestAfterALostAnswerNothingRunsTwice guards against a request that is sent to a second
// worker, or called not run, after the first one had it and its answer was lost.
func TestAfterALostAnswerNothingRunsTwice(t *testing.T) {
	s, endpoints := startRawSystem(t)
	ok := "HTTP/1.1 200 OK\r\n"
	for name, head := range map[string]string{
		"before the head":     "",
		"in the status line":  "HTTP/1.1 2",
		"in the head":         ok + "X-A",
		"after interim":       "HTTP/1.1 102 Processing\r\n\r\n",
		"before the body":     ok + "Content-Length: 4\r\n\r\n",
		"in the body":         ok + "Content-Length: 4\r\n\r\nab",
		"in a chunk":          ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nab",
		"before the last one": ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		"in the trailer":      ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX",
	} {
		for end, reset := range map[string]bool{"end": false, "reset": true} {
			t.Run(name+", "+end, func(t *testing.T) {
				for _, e := range endpoints {
					e.answer.Store(&rawAnswer{head: head, reset: reset})
				}
				path := "/orders/" + uuid.NewString()
				s.requireUnknownOutcome(t, requestText("POST", path, `"label"`, startTimeout))
				require.Equal(t, 1, endpoints[0].arrived.at(path))

				keyed := "/orders/" + uuid.NewString()
				text := requestText("POST", keyed, `"label"`, startTimeout, httpx.IdempotencyKey+": "+uuid.Must(uuid.NewV7()).String())
				s.requireUnknownOutcome(t, text)
				s.requireUnknownOutcome(t, text)
				require.Equal(t, 1, endpoints[0].arrived.at(keyed), "a key runs once")
			})
		}
	}
}

// requireUnknownOutcome sends a request and checks that it fails with an outcome that
// promises nothing.
func (s *system) requireUnknownOutcome(t *testing.T, text string) {
	t.Helper()
	conn, err := net.Dial("tcp", s.callerAddresses[0])
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(startTimeout)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.GreaterOrEqual(t, response.StatusCode, 500, "%s", body)
	require.Equal(t, "unknown", response.Header.Get(httpx.Outcome), "%s", body)
}

// TestAnInvalidStatusOrABrokenHeadIsNoAnswer guards against a response of an endpoint with
// the status 000, or with a head that breaks off, that a caller gets as a success.
func TestAnInvalidStatusOrABrokenHeadIsNoAnswer(t *testing.T) {
	s, endpoints := startRawSystem(t)
	adapter := s.adapterVersions(1)[0]
	plain := fmt.Sprintf(`{"model":%q,"choices":[{"text":"label"}]}`, adapter)
	events := "data: " + plain + "\n\ndata: [DONE]\n\n"
	whole := map[string]string{
		"body":   fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(plain), plain),
		"events": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(events), events),
	}
	answers := make(map[string]*rawAnswer)
	for kind, text := range whole {
		for _, status := range []string{"000", "000 OK", "001 OK", "099 OK", "00 OK", "20x OK", "101 Switching Protocols"} {
			answers[kind+", "+status] = &rawAnswer{head: strings.Replace(text, "200 OK", status, 1)}
			answers[kind+", interim, "+status] = &rawAnswer{head: "HTTP/1.1 102 Processing\r\n\r\n" + strings.Replace(text, "200 OK", status, 1)}
		}
		answers[kind+", interim with a body"] = &rawAnswer{head: strings.Replace(text, "200 OK", "102 Processing", 1) + text}
		head := text[:strings.Index(text, "\r\n\r\n")+len("\r\n\r\n")]
		for _, length := range []int{0, 4, 9, 12, 15, 16, 17, len(head) / 2, len(head) - 3, len(head) - 2, len(head) - 1} {
			answers[fmt.Sprintf("%s, closed after %d", kind, length)] = &rawAnswer{head: head[:length]}
			answers[fmt.Sprintf("%s, reset after %d", kind, length)] = &rawAnswer{head: head[:length], reset: true}
		}
	}
	for name, answer := range answers {
		for _, e := range endpoints {
			e.answer.Store(answer)
		}
		for _, text := range s.callerRequests(startTimeout) {
			conn, err := net.Dial("tcp", s.callerAddresses[0])
			require.NoError(t, err)
			require.NoError(t, conn.SetDeadline(time.Now().Add(startTimeout)))
			_, err = io.WriteString(conn, text)
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err, "%s: %s", name, text)
			body, err := io.ReadAll(response.Body)
			if err == nil {
				require.GreaterOrEqual(t, response.StatusCode, 500, "%s: %s got %q", name, text, body)
			}
			require.NoError(t, conn.Close())
		}
	}
}
