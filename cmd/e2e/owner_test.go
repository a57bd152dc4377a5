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

// ownerIndex returns the index of the instance that owns an engine.
func (s *system) ownerIndex(worker int) int {
	name := fmt.Sprintf("%s-%d", s.spec.EnginePool, worker)
	dataCentre := s.spec.DataCentres()[worker%len(s.spec.DataCentres())]
	positions, names := make(map[string]int), []string{}
	for i, instance := range s.members {
		if instance.DataCentre == dataCentre {
			positions[instance.Name] = i
			names = append(names, instance.Name)
		}
	}
	return positions[ownership.Rank(string(ownership.WorkerRight(name)), names)[0]]
}

// checkEngineHistories fails the test if an engine unloaded an adapter in use or
// accepted an order with a lower fencing token after one with a higher token. It
// returns the highest accepted fencing token of each engine.
func (s *system) checkEngineHistories(t *testing.T) []uint64 {
	t.Helper()
	highestFences := make([]uint64, len(s.workerAddresses))
	for i, worker := range s.workerAddresses {
		response, err := http.Get("http://" + worker + "/history")
		require.NoError(t, err)
		var h standin.EngineHistory
		require.NoError(t, json.NewDecoder(response.Body).Decode(&h))
		_ = response.Body.Close()
		require.Zero(t, h.EvictedInUse, "engine %d", i)
		for _, order := range h.Orders {
			if order.Taken {
				require.GreaterOrEqual(t, order.Fence, highestFences[i], "engine %d", i)
				highestFences[i] = order.Fence
			}
		}
	}
	return highestFences
}

// awaitRightEvent returns when an instance logs event for the right to an engine.
func (s *system) awaitRightEvent(t *testing.T, instance int, event string, worker int) {
	t.Helper()
	right := string(ownership.WorkerRight(fmt.Sprintf("%s-%d", s.spec.EnginePool, worker)))
	for s.instances[instance].await(t, event).Right != right {
		continue
	}
}

// startFlood sends requests for changing adapters, one after another, so that
// every engine keeps loading. The returned function ends it and returns the errors
// of the requests whose outcome is unknown.
func (s *system) startFlood(address string) (stop func() error) {
	done, stopped := make(chan struct{}), make(chan struct{})
	var unknownOutcomes error
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			default:
			}
			adapter := table.AdapterVersion{Adapter: s.spec.Adapter(i % s.spec.Adapters), Version: "v1"}
			err := requestCompletion(address, adapter, table.Normal, fmt.Sprintf("flood %d", i), 1)
			if err != nil && strings.Contains(err.Error(), "unknown") {
				unknownOutcomes = errors.Join(unknownOutcomes, err)
			}
		}
	}()
	return func() error {
		close(done)
		<-stopped
		return unknownOutcomes
	}
}

// TestOwnerChangesKeepTheWorkersOrders guards against orders of a former owner
// that take effect after those of its successor. The owner of an engine is paused
// until its successor has acquired the right, resumed, and later stopped, while
// adapters are loaded and evicted at every engine.
func TestOwnerChangesKeepTheWorkersOrders(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 2)
	const worker = 0
	owner := s.ownerIndex(worker)
	successor := 1 - owner // instances 0 and 1 are those of the first data centre
	stopFlood := s.startFlood(s.callerAddresses[successor])
	fenceBefore := s.checkEngineHistories(t)[worker]

	s.instances[owner].freeze(t)
	s.awaitRightEvent(t, successor, "acquired", worker)
	s.instances[owner].signal(syscall.SIGCONT)
	s.awaitRightEvent(t, owner, "lost", worker)
	fenceAfterFreeze := s.checkEngineHistories(t)[worker]

	s.instances[owner].signal(syscall.SIGTERM)
	s.instances[owner].await(t, "stopped")
	require.NoError(t, stopFlood())
	s.checkEngineHistories(t)

	adapter := s.adapterVersions(1)[0]
	require.NoError(t, requestCompletion(s.callerAddresses[successor], adapter, table.Urgent, "after the stop", 1))
	require.GreaterOrEqual(t, fenceAfterFreeze, fenceBefore)
}

// TestKilledOwnersWorkersServeAgain guards against workers that stay without an
// owner after theirs was killed: the successor must adopt them with a higher
// fencing token and serve requests.
func TestKilledOwnersWorkersServeAgain(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 2)
	owner := s.ownerIndex(0)
	successor := 1 - owner
	fencesBefore := s.checkEngineHistories(t)
	s.instances[owner].kill()
	s.awaitRightEvent(t, successor, "acquired", 0)
	s.instances[successor].await(t, "adopted")
	require.NoError(t, requestCompletion(s.callerAddresses[successor], s.adapterVersions(1)[0], table.Urgent, "after the kill", 1))
	require.Greater(t, s.checkEngineHistories(t)[0], fencesBefore[0], "the successor must claim the worker with a higher fencing token")
}
