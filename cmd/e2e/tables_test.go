package e2e

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// revisions reads, from every instance at once and without end, the revision
// that it tells its callers.
type revisions struct {
	stop  chan struct{}
	group sync.WaitGroup

	mu    sync.Mutex
	last  map[int]uint64
	falls []string
}

func watchRevisions(s *system) *revisions {
	r := &revisions{stop: make(chan struct{}), last: make(map[int]uint64)}
	for i, caller := range s.callers {
		r.group.Go(func() {
			for {
				select {
				case <-r.stop:
					return
				default:
					r.read(i, caller)
				}
			}
		})
	}
	return r
}

// read asks for a model that no table has; the refusal tells the revision.
func (r *revisions) read(i int, caller string) {
	response, err := post(caller, "/v1/completions", completionBody{Model: "none@v0"}, nil)
	if err != nil {
		return // the instance is being replaced
	}
	defer func() { _ = response.Body.Close() }()
	revision, err := strconv.ParseUint(response.Header.Get(httpx.Revision), 10, 64)
	if err != nil {
		return // not ready
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.last[i] {
		r.falls = append(r.falls, fmt.Sprintf("instance %d went from %d to %d", i, r.last[i], revision))
	}
	r.last[i] = revision
}

// end returns the falls that were seen.
func (r *revisions) end() []string {
	close(r.stop)
	r.group.Wait()
	return r.falls
}

func (s *system) platformFault(t *testing.T, query string) {
	t.Helper()
	response, err := http.Get("http://" + s.platform + "/fault?" + query)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
}

// awaitRevision returns when the process says that the revision is in force.
func (p *process) awaitRevision(t *testing.T, revision uint64) {
	t.Helper()
	for p.await(t, "tables_accepted").Revision != revision {
		continue
	}
}

// publish puts a revision before the instances. Its chunk keys are the same for
// every revision, so that readers may meet another revision's bytes.
func (s *system) publish(t *testing.T, revision uint64, change func(*table.Chunk)) {
	t.Helper()
	chunk := s.spec.Chunk(s.workers, s.services)
	change(&chunk)
	snapshot, err := deployment.Snapshot(revision, chunk)
	require.NoError(t, err)
	key := snapshot.Manifest.Chunks[0].Key
	snapshot.Manifest.Chunks[0].Key = "bulrushwick/chunk"
	snapshot.Chunks = map[string][]byte{"bulrushwick/chunk": snapshot.Chunks[key]}
	require.NoError(t, deployment.PublishTables(s.put, snapshot))
}

// TestRevisionNeverFalls takes the platform through every way of being wrong
// while instances are replaced.
func TestRevisionNeverFalls(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 2)
	adapter := s.adapters(1)[0]
	serves := func() {
		for _, caller := range s.callers {
			require.NoError(t, complete(caller, adapter, table.Normal, "label", 4))
		}
	}
	watched := watchRevisions(s)
	s.publish(t, 2, func(c *table.Chunk) { c.Routes[0].DeadlineMs = 20_000 })
	for _, entry := range s.entries {
		entry.awaitRevision(t, 2)
	}

	// The platform falls back; an instance without memory must not follow.
	s.publish(t, 1, func(*table.Chunk) {})
	for _, i := range []int{0, 3} {
		s.restartEntry(t, i)
		first := s.entries[i].await(t, "tables_accepted")
		require.EqualValues(t, 2, first.Revision, "instance %d", i)
		s.entries[i].await(t, "ready")
	}

	s.platformFault(t, "down=true")
	serves()
	s.platformFault(t, "down=false")

	// A bad revision leaves the former in force; the next good one follows.
	s.publish(t, 3, func(c *table.Chunk) { c.Routes[0].Pool = "nowhere" })
	s.entries[0].await(t, "tables_rejected")
	serves()
	s.publish(t, 4, func(c *table.Chunk) { c.Routes[0].DeadlineMs = 10_000 })
	for _, entry := range s.entries {
		entry.awaitRevision(t, 4)
	}
	serves()
	require.Empty(t, watched.end())
	for i, revision := range watched.last {
		require.GreaterOrEqual(t, revision, uint64(2), "instance %d was read", i)
	}
}
