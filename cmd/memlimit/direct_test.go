//go:build isolated

package memlimit

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/platform/standin"
)

// The abusive load. It is small, since the machine and the limit of a body are: 60
// bodies of legal size exceed the memory of the machine.
const (
	crowd       = 60
	smallMemory = 96
	smallBody   = 2 << 20
	// crowdTime bounds the time in which a caller sends.
	crowdTime = 5 * time.Second
	// holdTime is how long all connections stay open after the last byte.
	holdTime = 500 * time.Millisecond
	// ownDescriptors bounds the descriptors that are neither a caller's connection nor one
	// to a worker for it.
	ownDescriptors = 100
)

func head(path string, n int, framing string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: abuse-%d\r\n%s\r\n\r\n", path, standin.Host, n, framing)
}

// sender writes the request of one caller.
type sender func(n int, write func(text string) bool)

// abuse has each caller of a crowd send on a connection of its own, and returns when all
// have ended; the connections stay open until the end of the test.
func (i *instance) abuse(send sender) {
	i.t.Helper()
	i.abuseBy(crowd, 0, send)
}

// abuseBy is abuse with a number of callers whose receive buffers are as small as the
// kernel allows if callersBuffer is not 0.
func (i *instance) abuseBy(callers, callersBuffer int, send sender) {
	i.t.Helper()
	stop := i.sample()
	var wait sync.WaitGroup
	for n := range callers {
		conn, err := net.Dial("tcp", i.callers)
		require.NoError(i.t, err)
		i.t.Cleanup(func() { _ = conn.Close() })
		if callersBuffer > 0 {
			require.NoError(i.t, conn.(*net.TCPConn).SetReadBuffer(callersBuffer))
		}
		require.NoError(i.t, conn.SetDeadline(time.Now().Add(crowdTime)))
		wait.Go(func() {
			send(n, func(text string) bool {
				_, err := conn.Write([]byte(text))
				return err == nil
			})
		})
	}
	wait.Wait()
	time.Sleep(holdTime)
	i.awaitAnswer(i.ordinary)
	stop()
	i.requireWithin(int64(2*callers + ownDescriptors))
}

// completes reports whether a caller sends its whole body; most stop just before the end.
func completes(n int) bool { return n%6 == 0 }

// TestDirectLegalBodies guards against memory without a bound over all connections: each
// body is legal, and most callers stop just before the end and stay.
func TestDirectLegalBodies(t *testing.T) {
	i := startDirect(t, smallMemory, smallBody, nil)
	body := strings.Repeat("x", smallBody-1)
	i.abuse(func(n int, write func(string) bool) {
		if write(head("/r/x", n, fmt.Sprintf("Content-Length: %d", smallBody))) && write(body) && completes(n) {
			write("x")
		}
	})
}

// TestDirectLegalBodiesInPieces is TestDirectLegalBodies with callers that keep making
// progress for a while.
func TestDirectLegalBodiesInPieces(t *testing.T) {
	i := startDirect(t, smallMemory, smallBody, nil)
	const pieces = 128
	piece := strings.Repeat("x", smallBody/pieces)
	i.abuse(func(n int, write func(string) bool) {
		sent := write(head("/r/x", n, fmt.Sprintf("Content-Length: %d", smallBody)))
		for k := 0; sent && k < pieces-1; k++ {
			sent = write(piece)
			time.Sleep(time.Millisecond)
		}
		if sent && completes(n) {
			write(piece)
		}
	})
}

// TestDirectSmallChunks guards against memory that grows with the number of chunks.
func TestDirectSmallChunks(t *testing.T) {
	i := startDirect(t, smallMemory, smallBody, nil)
	const chunks = smallBody * 3 / 4
	block := strings.Repeat("1\r\nx\r\n", chunks/256)
	i.abuse(func(n int, write func(string) bool) {
		sent := write(head("/r/x", n, "Transfer-Encoding: chunked"))
		for k := 0; sent && k < 256; k++ {
			sent = write(block)
		}
		if sent && completes(n) {
			write("0\r\n\r\n")
		}
	})
}

// TestDirectLargeChunks guards against a chunked body that is read beyond the limit.
func TestDirectLargeChunks(t *testing.T) {
	i := startDirect(t, smallMemory, smallBody, nil)
	chunk := standin.Chunk(strings.Repeat("x", 1<<20))
	i.abuse(func(n int, write func(string) bool) {
		sent := write(head("/r/x", n, "Transfer-Encoding: chunked"))
		for k := 0; sent && k < 12; k++ {
			sent = write(chunk)
		}
	})
}

// TestDirectAnnouncedTooLong guards against reading a body whose length exceeds the limit.
func TestDirectAnnouncedTooLong(t *testing.T) {
	i := startDirect(t, smallMemory, smallBody, nil)
	part := strings.Repeat("x", 1<<20)
	i.abuse(func(n int, write func(string) bool) {
		sent := write(head("/r/x", n, "Content-Length: 7340032"))
		for k := 0; sent && k < 6; k++ {
			sent = write(part)
		}
	})
}

// TestDirectAnnouncedOnly guards against memory that is taken for a body before its bytes
// arrive.
func TestDirectAnnouncedOnly(t *testing.T) {
	i := startDirect(t, smallMemory, smallBody, nil)
	i.abuse(func(n int, write func(string) bool) {
		write(head("/r/x", n, fmt.Sprintf("Content-Length: %d", smallBody)) + strings.Repeat("x", 10<<10))
	})
}

// TestDirectSlowReaders guards against responses that pile up for callers that read nothing.
func TestDirectSlowReaders(t *testing.T) {
	event := standin.Chunk("id: 1\ndata: " + strings.Repeat("x", 16<<10) + "\n\n")
	i := startDirect(t, smallMemory, smallBody, func(conn net.Conn, r standin.ReceivedRequest) bool {
		if !strings.HasPrefix(r.Target, "/b/") {
			return standin.Write(conn, standin.SignedResponse(r, "ok"))
		}
		sent := standin.Write(conn, standin.StreamHeader(r))
		for k := 0; sent && k < 512; k++ {
			sent = standin.Write(conn, event)
		}
		return sent && standin.Write(conn, standin.LastChunk)
	})
	i.awaitAnswer(strings.Replace(standin.RequestText("POST", "/b/x", "first", "a1", time.Minute), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	i.abuse(func(n int, write func(string) bool) {
		write(standin.RequestText("POST", "/b/x", fmt.Sprintf("slow-%d", n), "a1", time.Minute))
		time.Sleep(2 * time.Second)
	})
}

// TestDirectSmallestMachine guards against limits that hold only by refusing what is
// legal: at 144 MB a body of the usual limit is served, and a crowd of them is bounded.
func TestDirectSmallestMachine(t *testing.T) {
	const memory, limit = 144, 4 << 20
	i := startDirect(t, memory, limit, nil)
	i.awaitAnswer(head("/r/x", 0, fmt.Sprintf("Connection: close\r\nContent-Length: %d", limit)) + strings.Repeat("x", limit))
	body := strings.Repeat("x", limit-1)
	i.abuse(func(n int, write func(string) bool) {
		if write(head("/r/x", n, fmt.Sprintf("Content-Length: %d", limit))) && write(body) && completes(n) {
			write("x")
		}
	})
}

// TestDirectSlowReadersOfWholeResponses guards against responses that are read whole for
// callers that read nothing.
func TestDirectSlowReadersOfWholeResponses(t *testing.T) {
	const callers, size = 300, 250 << 10
	long := strings.Repeat("x", size)
	i := startDirect(t, smallMemory, smallBody, func(conn net.Conn, r standin.ReceivedRequest) bool {
		if r.Target == "/r/long" {
			return standin.Write(conn, standin.SignedResponse(r, long))
		}
		return standin.Write(conn, standin.SignedResponse(r, "ok"))
	})
	i.abuseBy(callers, 1, func(n int, write func(string) bool) {
		write(head("/r/long", n, "Content-Length: 0"))
		time.Sleep(2 * time.Second)
	})
}

// TestDirectUnfinishedEvents guards against events of streams that pile up because they
// never end: a stream is passed on in whole events.
func TestDirectUnfinishedEvents(t *testing.T) {
	const memory, callers, models, size = 64, 120, 12, 1000 << 10
	unfinished := standin.Chunk("id: 1\ndata: " + strings.Repeat("x", size))
	i := startDirectWith(t, memory, smallBody, models, func(conn net.Conn, r standin.ReceivedRequest) bool {
		if !strings.HasPrefix(r.Target, "/b/") {
			return standin.Write(conn, standin.SignedResponse(r, "ok"))
		}
		if standin.Write(conn, standin.StreamHeader(r)+unfinished) {
			time.Sleep(crowdTime)
		}
		return false
	})
	i.abuseBy(callers, 0, func(n int, write func(string) bool) {
		write(head("/b/x", n, "Content-Length: 0"))
		time.Sleep(2 * time.Second)
	})
}
