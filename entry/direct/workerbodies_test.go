package direct

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestWorkerBodiesAtTheSameMoment guards against bodies that are checked together and then
// sent together: their sum would exceed the bound of the worker.
func TestWorkerBodiesAtTheSameMoment(t *testing.T) {
	const senders, rounds, size = 8, 2000, megabyte / 3
	b := newWorkerBodies(1)
	var inProgress, over, taken atomic.Int64
	var wait sync.WaitGroup
	for range senders {
		wait.Go(func() {
			for range rounds {
				if !b.take("w", size) {
					continue
				}
				taken.Add(1)
				if inProgress.Add(size) > megabyte {
					over.Add(1)
				}
				inProgress.Add(-size)
				b.end("w", size)
			}
		})
	}
	wait.Wait()
	require.Zero(t, over.Load())
	require.Positive(t, taken.Load())
	require.Zero(t, b.most())
	require.True(t, b.take("w", 2*megabyte), "a body over the limit goes to a worker that has none")
	require.False(t, b.take("w", 1))
	require.True(t, b.take("w", 0))
}
