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

// eventLimit is how long a test waits for an event before it counts as lost.
const eventLimit = time.Minute

// neverTokens is an answer far longer than any test.
const neverTokens = 10_000_000

// startSmall starts one deployment with a single engine, so that every instance
// but its owner forwards to it.
func startSmall(t *testing.T) *Cluster {
	t.Helper()
	spec := deployment.Silttolge()
	spec.Workers, spec.Batch = 1, 1
	cluster, err := Start(zerolog.Nop(), spec)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, cluster.Stop()) })
	ready, cancel := context.WithTimeout(context.Background(), eventLimit)
	defer cancel()
	require.NoError(t, cluster.WaitReady(ready))
	return cluster
}

// dialCompletion sends a completion on a connection of its own.
func dialCompletion(t *testing.T, entry, model string, stream bool) net.Conn {
	t.Helper()
	body, err := json.Marshal(completionBody{Model: model, Prompt: "label", MaxTokens: neverTokens, Stream: stream})
	require.NoError(t, err)
	conn, err := net.Dial("tcp", entry)
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(t, err)
	return conn
}

func awaitHangUp(t *testing.T, engine *standin.Engine, model string) {
	t.Helper()
	select {
	case got := <-engine.Disconnected():
		require.Equal(t, model, got)
	case <-time.After(eventLimit):
		require.FailNow(t, "the engine was not told that the caller hung up")
	}
}

// awaitRunning waits until the engine runs a request of model.
func awaitRunning(t *testing.T, engine *standin.Engine, model string) {
	t.Helper()
	require.Eventually(t, func() bool { return engine.InProgress(model) > 0 }, eventLimit, time.Millisecond)
}

// TestHangUpCancelsAtEngine closes the caller's connection while the engine
// works on a request that has sent nothing yet, through every instance, so both
// with and without a forward.
func TestHangUpCancelsAtEngine(t *testing.T) {
	cluster := startSmall(t)
	for i, entry := range cluster.Callers {
		for _, stream := range []bool{false, true} {
			model := fmt.Sprintf("tolk-%04d@v1", i)
			conn := dialCompletion(t, entry, model, stream)
			awaitRunning(t, cluster.Engines[0], model)
			require.NoError(t, conn.Close())
			awaitHangUp(t, cluster.Engines[0], model)
		}
	}
}

// TestHangUpFreesPlaceInQueue lets a caller hang up while its request waits
// behind another: its adapter is never run, and the next in the queue is.
func TestHangUpFreesPlaceInQueue(t *testing.T) {
	cluster := startSmall(t)
	engine := cluster.Engines[0]
	first := dialCompletion(t, cluster.Callers[0], "tolk-0001@v1", false)
	awaitRunning(t, engine, "tolk-0001@v1")
	gaveUp := dialCompletion(t, cluster.Callers[1], "tolk-0002@v1", false)
	cluster.awaitWaiting(t, 1)
	require.NoError(t, gaveUp.Close())
	cluster.awaitWaiting(t, 0)
	next := dialCompletion(t, cluster.Callers[2], "tolk-0003@v1", false)
	cluster.awaitWaiting(t, 1)
	require.NoError(t, first.Close())
	awaitHangUp(t, engine, "tolk-0001@v1")
	awaitRunning(t, engine, "tolk-0003@v1")
	require.Zero(t, engine.InProgress("tolk-0002@v1"))
	require.NoError(t, next.Close())
	awaitHangUp(t, engine, "tolk-0003@v1")
}

// awaitWaiting waits until count requests wait in all queues together.
func (c *Cluster) awaitWaiting(t *testing.T, count int) {
	t.Helper()
	require.Eventually(t, func() bool {
		waiting := 0
		for _, d := range c.daemons {
			waiting += d.Waiting()
		}
		return waiting == count
	}, eventLimit, time.Millisecond)
}
