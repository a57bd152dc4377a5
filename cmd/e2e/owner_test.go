package e2e

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/standin"
)

// ownerOf returns the position of the entry that owns an engine.
func (s *system) ownerOf(worker int) int {
	name := fmt.Sprintf("%s-%d", s.spec.EnginePool, worker)
	dataCentre := s.spec.DataCentres()[worker%len(s.spec.DataCentres())]
	positions, names := make(map[string]int), []string{}
	for i, instance := range s.instances {
		if instance.DataCentre == dataCentre {
			positions[instance.Name] = i
			names = append(names, instance.Name)
		}
	}
	return positions[ownership.Rank(string(ownership.WorkerRight(name)), names)[0]]
}

// engineHistories checks that no engine lost an adapter in use or took an older
// order after a newer one, and returns each engine's highest fencing number.
func (s *system) engineHistories(t *testing.T) []uint64 {
	t.Helper()
	highest := make([]uint64, len(s.workers))
	for i, worker := range s.workers {
		response, err := http.Get("http://" + worker + "/history")
		require.NoError(t, err)
		var h standin.EngineHistory
		require.NoError(t, json.NewDecoder(response.Body).Decode(&h))
		_ = response.Body.Close()
		require.Zero(t, h.EvictedInUse, "engine %d", i)
		for _, order := range h.Orders {
			if order.Taken {
				require.GreaterOrEqual(t, order.Fence, highest[i], "engine %d", i)
				highest[i] = order.Fence
			}
		}
	}
	return highest
}

// awaitRight returns when an entry logs an event of the right to an engine.
func (s *system) awaitRight(t *testing.T, entry int, event string, worker int) {
	t.Helper()
	right := string(ownership.WorkerRight(fmt.Sprintf("%s-%d", s.spec.EnginePool, worker)))
	for s.entries[entry].await(t, event).Right != right {
		continue
	}
}

// flood keeps every engine loading until the returned function is called, which
// returns the requests that ended without a known outcome.
func (s *system) flood(entry string) (stop func() error) {
	done, over := make(chan struct{}), make(chan struct{})
	var failed error
	go func() {
		defer close(over)
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			default:
			}
			adapter := table.AdapterVersion{Adapter: s.spec.Adapter(i % s.spec.Adapters), Version: "v1"}
			err := complete(entry, adapter, table.Normal, fmt.Sprintf("flood %d", i), 1)
			if err != nil && strings.Contains(err.Error(), "unknown") {
				failed = errors.Join(failed, err)
			}
		}
	}()
	return func() error {
		close(done)
		<-over
		return failed
	}
}

// TestOwnerChangesKeepTheWorkersOrders stops, freezes and kills the owner of an
// engine while adapters are loaded and evicted everywhere.
func TestOwnerChangesKeepTheWorkersOrders(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 2)
	const worker = 0
	owner := s.ownerOf(worker)
	successor := 1 - owner // the two entries of the first data centre
	stop := s.flood(s.callers[successor])
	before := s.engineHistories(t)[worker]

	s.entries[owner].signal(syscall.SIGSTOP)
	s.awaitRight(t, successor, "acquired", worker)
	s.entries[owner].signal(syscall.SIGCONT)
	s.awaitRight(t, owner, "lost", worker)
	frozen := s.engineHistories(t)[worker]

	s.entries[owner].signal(syscall.SIGTERM)
	s.entries[owner].await(t, "stopped")
	require.NoError(t, stop())
	s.engineHistories(t)

	adapter := s.adapters(1)[0]
	require.NoError(t, complete(s.callers[successor], adapter, table.Urgent, "after the stop", 1))
	require.GreaterOrEqual(t, frozen, before)
}

// TestKilledOwnersWorkersServeAgain kills one of two owners.
func TestKilledOwnersWorkersServeAgain(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 2)
	owner := s.ownerOf(0)
	successor := 1 - owner
	before := s.engineHistories(t)
	s.entries[owner].kill()
	s.awaitRight(t, successor, "acquired", 0)
	s.entries[successor].await(t, "adopted")
	require.NoError(t, complete(s.callers[successor], s.adapters(1)[0], table.Urgent, "after the kill", 1))
	require.Greater(t, s.engineHistories(t)[0], before[0], "the successor claims with a higher number")
}
