package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/standin"
)

// eventTimeout is how long a test waits for an event before it fails.
const eventTimeout = time.Minute

// endlessTokens is the length of a response that lasts far longer than any test.
const endlessTokens = 10_000_000

// startSingleEngine starts one deployment with a single engine, so that all
// instances but the engine's owner forward requests for it.
func startSingleEngine(t *testing.T) *Cluster {
	t.Helper()
	spec := deployment.Silttolge()
	spec.Workers, spec.Batch = 1, 1
	cluster, err := Start(zerolog.Nop(), spec)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, cluster.Stop()) })
	ready, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	require.NoError(t, cluster.WaitReady(ready))
	return cluster
}

// dialCompletion sends a completion request on a new connection and returns the
// connection without reading the response.
func dialCompletion(t *testing.T, entry, model string, stream bool) net.Conn {
	t.Helper()
	body, err := json.Marshal(completionBody{Model: model, Prompt: "label", MaxTokens: endlessTokens, Stream: stream})
	require.NoError(t, err)
	conn, err := net.Dial("tcp", entry)
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(t, err)
	return conn
}

// awaitDisconnect waits until the engine reports that the client of a request of
// model disconnected.
func awaitDisconnect(t *testing.T, engine *standin.Engine, model string) {
	t.Helper()
	select {
	case got := <-engine.Disconnected():
		require.Equal(t, model, got)
	case <-time.After(eventTimeout):
		require.FailNow(t, "the engine did not see that the caller disconnected")
	}
}

// awaitRunning waits until the engine runs a request of model.
func awaitRunning(t *testing.T, engine *standin.Engine, model string) {
	t.Helper()
	require.Eventually(t, func() bool { return engine.InProgress(model) > 0 }, eventTimeout, time.Millisecond)
}

// TestDisconnectCancelsEngineRequest closes the caller's connection while the
// engine works on a request whose response has not begun yet. The engine
// must see the disconnect through every instance, with and without a forward.
func TestDisconnectCancelsEngineRequest(t *testing.T) {
	cluster := startSingleEngine(t)
	for i, entry := range cluster.EntryAddresses {
		for _, stream := range []bool{false, true} {
			model := fmt.Sprintf("tolk-%04d@v1", i)
			conn := dialCompletion(t, entry, model, stream)
			awaitRunning(t, cluster.Engines[0], model)
			require.NoError(t, conn.Close())
			awaitDisconnect(t, cluster.Engines[0], model)
		}
	}
}

// TestDisconnectRemovesQueuedRequest disconnects a caller while its request waits
// in the queue behind another. The request must never run, and the next one in
// the queue must.
func TestDisconnectRemovesQueuedRequest(t *testing.T) {
	cluster := startSingleEngine(t)
	engine := cluster.Engines[0]
	first := dialCompletion(t, cluster.EntryAddresses[0], "tolk-0001@v1", false)
	awaitRunning(t, engine, "tolk-0001@v1")
	abandoned := dialCompletion(t, cluster.EntryAddresses[1], "tolk-0002@v1", false)
	cluster.awaitQueued(t, 1)
	require.NoError(t, abandoned.Close())
	cluster.awaitQueued(t, 0)
	next := dialCompletion(t, cluster.EntryAddresses[2], "tolk-0003@v1", false)
	cluster.awaitQueued(t, 1)
	require.NoError(t, first.Close())
	awaitDisconnect(t, engine, "tolk-0001@v1")
	awaitRunning(t, engine, "tolk-0003@v1")
	require.Zero(t, engine.InProgress("tolk-0002@v1"))
	require.NoError(t, next.Close())
	awaitDisconnect(t, engine, "tolk-0003@v1")
}

// awaitQueued waits until the queues of all instances together hold count
// requests.
func (c *Cluster) awaitQueued(t *testing.T, count int) {
	t.Helper()
	require.Eventually(t, func() bool {
		waiting := 0
		for _, d := range c.daemons {
			waiting += d.Waiting()
		}
		return waiting == count
	}, eventTimeout, time.Millisecond)
}
