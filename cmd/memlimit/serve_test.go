//go:build isolated

package memlimit

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/settings"
	outside "github.com/bulrushwick/bulrushwick/standin"
)

// ordinaryLabel is a request to a plain service.
const ordinaryLabel = "GET /labels/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"

// startServe starts an instance of serve with one engine and one plain service.
func startServe(t *testing.T) *instance {
	t.Helper()
	service, err := outside.StartService("127.0.0.1:0", "service")
	require.NoError(t, err)
	t.Cleanup(func() { _ = service.Close() })
	return startServeWith(t, service.Address())
}

// startServeWith is startServe with a plain service at an address.
func startServeWith(t *testing.T, serviceAddress string) *instance {
	t.Helper()
	const memoryMB, maxBody = smallMemory, smallBody
	platform, err := outside.StartPlatform("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = platform.Close() })
	engine, err := outside.StartEngine("127.0.0.1:0", outside.EngineConfig{Slots: 8})
	require.NoError(t, err)
	t.Cleanup(func() { _ = engine.Close() })
	spec := deployment.Silttolge()
	spec.Adapters = 8
	put := func(key string, value []byte) error {
		request, err := http.NewRequest(http.MethodPut, "http://"+platform.Address()+"/v1/kv/"+key, strings.NewReader(string(value)))
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, response.Body)
		return response.Body.Close()
	}
	snapshot, err := deployment.Snapshot(1, spec.Chunk([]string{engine.Address()}, []string{serviceAddress}))
	require.NoError(t, err)
	require.NoError(t, deployment.PublishEndpoints(put, []fleet.EndpointState{}))
	require.NoError(t, deployment.PublishTables(put, snapshot))
	host := freeHost()
	s := settings.Default()
	s.Instance, s.DataCentre = "e0", "tln-a"
	s.CallerAddress, s.PeerAddress, s.ControlAddress = host+":7000", host+":7001", host+":7002"
	s.PlatformAddress, s.BodyLimit, s.MemoryLimitMB = platform.Address(), maxBody, memoryMB
	require.NoError(t, deployment.PublishInstances(put, []member.Instance{{
		Name: s.Instance, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress, ControlAddress: s.ControlAddress, State: member.Live,
	}}))
	encoded, err := json.Marshal(s)
	require.NoError(t, err)
	i := start(t, "serve", encoded, memoryMB, s.CallerAddress)
	i.ordinary = ordinaryLabel
	i.awaitAnswer(i.ordinary)
	return i
}

func serveHead(framing string) string {
	return "POST /orders HTTP/1.1\r\nHost: x\r\n" + framing + "\r\n\r\n"
}

// TestServeLegalBodies is TestDirectLegalBodies for serve.
func TestServeLegalBodies(t *testing.T) {
	i := startServe(t)
	body := strings.Repeat("x", smallBody-1)
	i.abuse(func(n int, write func(string) bool) {
		if write(serveHead(fmt.Sprintf("Content-Length: %d", smallBody))) && write(body) && completes(n) {
			write("x")
		}
	})
}

// TestServeLegalBodiesInPieces is TestDirectLegalBodiesInPieces for serve.
func TestServeLegalBodiesInPieces(t *testing.T) {
	i := startServe(t)
	const pieces = 128
	piece := strings.Repeat("x", smallBody/pieces)
	i.abuse(func(n int, write func(string) bool) {
		sent := write(serveHead(fmt.Sprintf("Content-Length: %d", smallBody)))
		for k := 0; sent && k < pieces-1; k++ {
			sent = write(piece)
			time.Sleep(time.Millisecond)
		}
		if sent && completes(n) {
			write(piece)
		}
	})
}

// TestServeSmallChunks is TestDirectSmallChunks for serve.
func TestServeSmallChunks(t *testing.T) {
	i := startServe(t)
	const chunks = smallBody * 3 / 4
	block := strings.Repeat("1\r\nx\r\n", chunks/256)
	i.abuse(func(n int, write func(string) bool) {
		sent := write(serveHead("Transfer-Encoding: chunked"))
		for k := 0; sent && k < 256; k++ {
			sent = write(block)
		}
		if sent && completes(n) {
			write("0\r\n\r\n")
		}
	})
}

// TestServeTooLong guards against a body over the limit that is read, sent in large chunks
// by every second caller and announced by the others.
func TestServeTooLong(t *testing.T) {
	i := startServe(t)
	part := strings.Repeat("x", 1<<20)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	i.abuse(func(n int, write func(string) bool) {
		framing, text := "Transfer-Encoding: chunked", chunk
		if n%2 == 0 {
			framing, text = "Content-Length: 12582912", part
		}
		sent := write(serveHead(framing))
		for k := 0; sent && k < 12; k++ {
			sent = write(text)
		}
	})
}

// TestServeAnnouncedOnly is TestDirectAnnouncedOnly for serve.
func TestServeAnnouncedOnly(t *testing.T) {
	i := startServe(t)
	i.abuse(func(_ int, write func(string) bool) {
		write(serveHead(fmt.Sprintf("Content-Length: %d", smallBody)) + strings.Repeat("x", 10<<10))
	})
}

// TestServeSlowReaders guards against responses that pile up for callers that read
// nothing: the service sends as much as is read.
func TestServeSlowReaders(t *testing.T) {
	i := startServe(t)
	body := strings.Repeat("x", smallBody)
	i.abuse(func(_ int, write func(string) bool) {
		for range 4 {
			if !write(serveHead(fmt.Sprintf("Content-Length: %d", smallBody)) + body) {
				return
			}
		}
	})
}

// TestServeSlowReadersOfWholeResponses guards against responses that are read whole for
// callers that read nothing: the requests are small, so their bytes bound nothing.
func TestServeSlowReadersOfWholeResponses(t *testing.T) {
	long := strings.Repeat("x", smallBody)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := "ok"
		if r.URL.Path == "/labels/long" {
			text = long
		}
		_, _ = io.WriteString(w, text)
	}))
	t.Cleanup(service.Close)
	i := startServeWith(t, strings.TrimPrefix(service.URL, "http://"))
	i.abuseBy(crowd, 1, func(_ int, write func(string) bool) {
		write("GET /labels/long HTTP/1.1\r\nHost: x\r\n\r\n")
		time.Sleep(2 * time.Second)
	})
}
