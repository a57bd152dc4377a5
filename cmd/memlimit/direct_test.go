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
	// descriptorBound is a descriptor for each caller, one to a worker for each, and those
	// of the instance itself.
	descriptorBound = 2*crowd + 100
)

func head(kind, path string, n int, framing string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: abuse-%d\r\n%s\r\n\r\n", kind, path, standin.Host, n, framing)
}

// sender writes the request of one caller.
type sender func(n int, write func(text string) bool)

// abuse has each caller of a crowd send on a connection of its own, and returns when all
// have ended; the connections stay open until the end of the test.
func (i *instance) abuse(send sender) {
	i.t.Helper()
	stop := i.sample()
	var wait sync.WaitGroup
	for n := range crowd {
		conn, err := net.Dial("tcp", i.callers)
		require.NoError(i.t, err)
		i.t.Cleanup(func() { _ = conn.Close() })
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
	i.requireWithin(descriptorBound)
}

// completes reports whether a caller sends its whole body; most stop just before the end.
func completes(n int) bool { return n%6 == 0 }

// TestDirectLegalBodies guards against memory without a bound over all connections: each
// body is legal, and most callers stop just before the end and stay.
func TestDirectLegalBodies(t *testing.T) {
	i := startDirect(t, smallMemory, smallBody, nil)
	body := strings.Repeat("x", smallBody-1)
	i.abuse(func(n int, write func(string) bool) {
		if write(head("POST", "/r/x", n, fmt.Sprintf("Content-Length: %d", smallBody))) && write(body) && completes(n) {
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
		sent := write(head("POST", "/r/x", n, fmt.Sprintf("Content-Length: %d", smallBody)))
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
		sent := write(head("POST", "/r/x", n, "Transfer-Encoding: chunked"))
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
		sent := write(head("POST", "/r/x", n, "Transfer-Encoding: chunked"))
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
		sent := write(head("POST", "/r/x", n, "Content-Length: 7340032"))
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
		write(head("POST", "/r/x", n, fmt.Sprintf("Content-Length: %d", smallBody)) + strings.Repeat("x", 10<<10))
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
	i.awaitAnswer(head("POST", "/r/x", 0, fmt.Sprintf("Connection: close\r\nContent-Length: %d", limit)) + strings.Repeat("x", limit))
	body := strings.Repeat("x", limit-1)
	i.abuse(func(n int, write func(string) bool) {
		if write(head("POST", "/r/x", n, fmt.Sprintf("Content-Length: %d", limit))) && write(body) && completes(n) {
			write("x")
		}
	})
}
