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

// revisionWatcher continuously reads the table revision that each instance reports
// to its callers, and records every decrease.
type revisionWatcher struct {
	done  chan struct{}
	group sync.WaitGroup

	mu        sync.Mutex
	latest    map[int]uint64
	decreases []string
}

// startRevisionWatcher starts one reader per instance; stop ends them.
func startRevisionWatcher(s *system) *revisionWatcher {
	r := &revisionWatcher{done: make(chan struct{}), latest: make(map[int]uint64)}
	for i, address := range s.callerAddresses {
		r.group.Go(func() {
			for {
				select {
				case <-r.done:
					return
				default:
					r.readRevision(i, address)
				}
			}
		})
	}
	return r
}

// readRevision requests a model that is in no table; the refusal has the revision.
func (r *revisionWatcher) readRevision(i int, address string) {
	response, err := post(address, "/v1/completions", completionBody{Model: "none@v0"}, nil)
	if err != nil {
		return // the instance is being restarted
	}
	defer func() { _ = response.Body.Close() }()
	revision, err := strconv.ParseUint(response.Header.Get(httpx.Revision), 10, 64)
	if err != nil {
		return // not ready
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.latest[i] {
		r.decreases = append(r.decreases, fmt.Sprintf("instance %d went from %d to %d", i, r.latest[i], revision))
	}
	r.latest[i] = revision
}

// stop ends the readers and returns the decreases that they saw.
func (r *revisionWatcher) stop() []string {
	close(r.done)
	r.group.Wait()
	return r.decreases
}

// setPlatformFaults sets the faults of the platform stand-in as query says.
func (s *system) setPlatformFaults(t *testing.T, query string) {
	t.Helper()
	response, err := http.Get("http://" + s.platformAddress + "/fault?" + query)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
}

// awaitRevision returns when the process logs that it accepted the revision.
func (p *process) awaitRevision(t *testing.T, revision uint64) {
	t.Helper()
	for p.await(t, "tables_accepted").Revision != revision {
		continue
	}
}

// publishRevision publishes a revision of the tables. All revisions use the same
// chunk key, so that an instance may read the chunk of another revision than its
// manifest's.
func (s *system) publishRevision(t *testing.T, revision uint64, change func(*table.Chunk)) {
	t.Helper()
	chunk := s.spec.Chunk(s.workerAddresses, s.serviceAddresses)
	change(&chunk)
	snapshot, err := deployment.Snapshot(revision, chunk)
	require.NoError(t, err)
	key := snapshot.Manifest.Chunks[0].Key
	snapshot.Manifest.Chunks[0].Key = "bulrushwick/chunk"
	snapshot.Chunks = map[string][]byte{"bulrushwick/chunk": snapshot.Chunks[key]}
	require.NoError(t, deployment.PublishTables(s.put, snapshot))
}

// TestRevisionNeverFalls guards against instances that go back to an older table
// revision. The platform goes back to an older revision, becomes unavailable and
// publishes an invalid revision. While it serves the older one, two instances
// restart without state; the first revision that they accept must be the newest.
func TestRevisionNeverFalls(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 2)
	adapter := s.adapterVersions(1)[0]
	checkServing := func() {
		for _, address := range s.callerAddresses {
			require.NoError(t, requestCompletion(address, adapter, table.Normal, "label", 4))
		}
	}
	watcher := startRevisionWatcher(s)
	s.publishRevision(t, 2, func(c *table.Chunk) { c.Routes[0].DeadlineMs = 20_000 })
	for _, instance := range s.instances {
		instance.awaitRevision(t, 2)
	}

	// The platform returns to revision 1; an instance without state must not accept it.
	s.publishRevision(t, 1, func(*table.Chunk) {})
	for _, i := range []int{0, 3} {
		s.restartInstance(t, i)
		first := s.instances[i].await(t, "tables_accepted")
		require.EqualValues(t, 2, first.Revision, "instance %d", i)
		s.instances[i].await(t, "ready")
	}

	s.setPlatformFaults(t, "down=true")
	checkServing()
	s.setPlatformFaults(t, "down=false")

	// An invalid revision leaves the former one in force; the next valid one is accepted.
	s.publishRevision(t, 3, func(c *table.Chunk) { c.Routes[0].Pool = "nowhere" })
	s.instances[0].await(t, "tables_rejected")
	checkServing()
	s.publishRevision(t, 4, func(c *table.Chunk) { c.Routes[0].DeadlineMs = 10_000 })
	for _, instance := range s.instances {
		instance.awaitRevision(t, 4)
	}
	checkServing()
	require.Empty(t, watcher.stop())
	for i, revision := range watcher.latest {
		require.GreaterOrEqual(t, revision, uint64(2), "latest revision of instance %d", i)
	}
}
