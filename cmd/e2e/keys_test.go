package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// orderResponse is the response to an order as its caller received it.
type orderResponse struct {
	status  int
	outcome attempt.Outcome
	body    string
}

// resendInterval is the pause before a caller retries a key.
const resendInterval = 50 * time.Millisecond

// sendOrder sends an order with a key and with limit as its deadline.
func sendOrder(address, key string, limit time.Duration) (orderResponse, error) {
	response, err := post(address, "/orders", "label "+key, map[string]string{
		httpx.IdempotencyKey: key,
		httpx.DeadlineHeader: fmt.Sprint(limit.Milliseconds()),
	})
	if err != nil {
		return orderResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return orderResponse{response.StatusCode, attempt.Outcome(response.Header.Get(httpx.Outcome)), string(body)}, err
}

// ownerAndSuccessor returns the indexes of the instance that owns a key and of
// the next instance in the ranking, which takes over when the owner is lost.
func (s *system) ownerAndSuccessor(t *testing.T, key string) (owner, successor int) {
	t.Helper()
	parsed, err := attempt.ParseKey(key)
	require.NoError(t, err)
	home := attempt.Home(parsed, s.spec.DataCentres())
	positions, names := make(map[string]int), []string{}
	for i, instance := range s.members {
		if instance.DataCentre == home {
			positions[instance.Name] = i
			names = append(names, instance.Name)
		}
	}
	order := ownership.Rank(string(ownership.KeyRight(home, parsed.Shard())), names)
	return positions[order[0]], positions[order[1]]
}

// runCount returns how often a key ran, summed over all services.
func (s *system) runCount(t *testing.T, key string) int {
	t.Helper()
	sum := 0
	for _, service := range s.serviceAddresses {
		response, err := http.Get("http://" + service + "/runs")
		require.NoError(t, err)
		runs := make(map[string]int)
		require.NoError(t, json.NewDecoder(response.Body).Decode(&runs))
		_ = response.Body.Close()
		sum += runs[key]
	}
	return sum
}

// setServiceFaults sets the faults of every service as query says and clears the others.
func (s *system) setServiceFaults(t *testing.T, query string) {
	t.Helper()
	for _, service := range s.serviceAddresses {
		response, err := http.Get("http://" + service + "/fault?" + query)
		require.NoError(t, err)
		_ = response.Body.Close()
	}
}

// awaitRun returns when the key has run at one of the services.
func (s *system) awaitRun(key string) {
	ran := make(chan struct{}, len(s.serviceAddresses))
	for _, service := range s.serviceAddresses {
		go func() {
			response, err := http.Get("http://" + service + "/runs?await=" + key)
			if err == nil {
				_ = response.Body.Close()
				ran <- struct{}{}
			}
		}()
	}
	<-ran
}

// resendUntilDecided sends the key that nextKey returns until the order is served,
// or until its outcome is unknown and nextKey returns the same key again. Other
// responses are refusals and are retried.
func resendUntilDecided(t *testing.T, address string, nextKey func() string) (string, orderResponse) {
	t.Helper()
	for {
		sent := nextKey()
		response, err := sendOrder(address, sent, time.Second)
		require.NoError(t, err)
		if response.outcome == attempt.Served || response.outcome == attempt.Unknown && nextKey() == sent {
			return sent, response
		}
		<-time.After(resendInterval)
	}
}

// newKey returns a key minted now.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// fixedKey returns a nextKey function that always returns key.
func fixedKey(key string) func() string { return func() string { return key } }

// TestSameKeyThroughEveryEntryAtOnce guards against an order that runs twice
// because concurrent sends of its key arrive at different instances, or because
// it is sent again when it is done. A truncated response must give the outcome
// unknown and no second run.
func TestSameKeyThroughEveryEntryAtOnce(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 3)
	key := newKey()
	responses := make([]orderResponse, 2*len(s.callerAddresses))
	s.setServiceFaults(t, "hold=true")
	var group sync.WaitGroup
	for i := range responses {
		group.Go(func() {
			var err error
			responses[i], err = sendOrder(s.callerAddresses[i%len(s.callerAddresses)], key, time.Minute)
			if err != nil {
				t.Error(err)
			}
		})
	}
	s.awaitRun(key)
	s.setServiceFaults(t, "hold=false")
	group.Wait()
	for _, response := range responses {
		require.Equal(t, responses[0], response, "every send must get the response of the single run")
	}
	require.Equal(t, attempt.Served, responses[0].outcome, responses[0].body)
	again, err := sendOrder(s.callerAddresses[0], key, time.Minute)
	require.NoError(t, err)
	require.Equal(t, responses[0], again)
	require.Equal(t, 1, s.runCount(t, key))

	s.setServiceFaults(t, "truncate=true")
	truncatedKey := newKey()
	for range 2 {
		response, err := sendOrder(s.callerAddresses[0], truncatedKey, time.Minute)
		require.NoError(t, err)
		require.Equal(t, attempt.Unknown, response.outcome, "a truncated response must not be passed on as complete")
	}
	require.Equal(t, 1, s.runCount(t, truncatedKey))
}

// TestKilledOwnerLeavesUnknown guards against a second run of an order whose
// owner crashes while the service works on it. The record of the run is lost, so
// the successor must report the outcome unknown to every retry.
func TestKilledOwnerLeavesUnknown(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 2)
	key := newKey()
	owner, successor := s.ownerAndSuccessor(t, key)
	s.setServiceFaults(t, "hold=true")
	first := make(chan orderResponse, 1)
	go func() {
		response, _ := sendOrder(s.callerAddresses[successor], key, time.Minute)
		first <- response
	}()
	s.awaitRun(key)
	s.instances[owner].kill()
	s.setServiceFaults(t, "hold=false")
	require.Equal(t, attempt.Unknown, (<-first).outcome)
	_, response := resendUntilDecided(t, s.callerAddresses[successor], fixedKey(key))
	require.Equal(t, attempt.Unknown, response.outcome, response.body)
	require.Equal(t, 1, s.runCount(t, key))
}

// TestFrozenOwnerWakesLate guards against a second run by an owner that is
// paused, loses its right to the successor and resumes with an order still in its
// socket.
func TestFrozenOwnerWakesLate(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 2)
	earlyKey := newKey()
	owner, successor := s.ownerAndSuccessor(t, earlyKey)
	newKeyOfOwner := func() string {
		for {
			key := newKey()
			if index, _ := s.ownerAndSuccessor(t, key); index == owner {
				return key
			}
		}
	}
	s.instances[owner].freeze(t)
	firstResponse, err := sendOrder(s.callerAddresses[successor], earlyKey, time.Second)
	require.NoError(t, err)
	require.Equal(t, attempt.Unknown, firstResponse.outcome, "the order must still be in the paused owner's socket")
	lateKey, lateResponse := resendUntilDecided(t, s.callerAddresses[successor], newKeyOfOwner)
	require.Equal(t, attempt.Served, lateResponse.outcome, lateResponse.body)
	_, response := resendUntilDecided(t, s.callerAddresses[successor], fixedKey(earlyKey))
	require.Equal(t, attempt.Unknown, response.outcome, "the key was minted before the successor acquired the right")
	s.instances[owner].signal(syscall.SIGCONT)
	_, repeated := resendUntilDecided(t, s.callerAddresses[owner], fixedKey(lateKey))
	require.NotEqual(t, attempt.NotRun, repeated.outcome)
	_, fresh := resendUntilDecided(t, s.callerAddresses[owner], newKeyOfOwner)
	require.Equal(t, attempt.Served, fresh.outcome, fresh.body)
	require.Equal(t, 1, s.runCount(t, lateKey))
	require.LessOrEqual(t, s.runCount(t, earlyKey), 1)
}

// TestPlannedStopHandsKeysOver guards against the loss of records when an owner
// is stopped by SIGTERM: the successor must return the response of the first run
// and not run the order again.
func TestPlannedStopHandsKeysOver(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 2)
	key := newKey()
	owner, successor := s.ownerAndSuccessor(t, key)
	first, err := sendOrder(s.callerAddresses[successor], key, time.Minute)
	require.NoError(t, err)
	require.Equal(t, attempt.Served, first.outcome, first.body)
	s.instances[owner].signal(syscall.SIGTERM)
	s.instances[owner].await(t, "stopped")
	_, again := resendUntilDecided(t, s.callerAddresses[successor], fixedKey(key))
	require.Equal(t, first, again, "the successor must respond from the record")
	require.Equal(t, 1, s.runCount(t, key))
}
