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

// keyedAnswer is what a caller of an order got.
type keyedAnswer struct {
	status  int
	outcome attempt.Outcome
	body    string
}

// resendEvery paces a caller that sends the same key again.
const resendEvery = 50 * time.Millisecond

// sendOrder sends an order whose answer must come within limit.
func sendOrder(entry, key string, limit time.Duration) (keyedAnswer, error) {
	response, err := post(entry, "/orders", "label "+key, map[string]string{
		httpx.IdempotencyKey: key,
		httpx.DeadlineHeader: fmt.Sprint(limit.Milliseconds()),
	})
	if err != nil {
		return keyedAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return keyedAnswer{response.StatusCode, attempt.Outcome(response.Header.Get(httpx.Outcome)), string(body)}, err
}

// owners returns the positions of a key's owner and of the next in order.
func (s *system) owners(t *testing.T, key string) (owner, next int) {
	t.Helper()
	parsed, err := attempt.ParseKey(key)
	require.NoError(t, err)
	home := attempt.Home(parsed, s.spec.DataCentres())
	positions, names := make(map[string]int), []string{}
	for i, instance := range s.instances {
		if instance.DataCentre == home {
			positions[instance.Name] = i
			names = append(names, instance.Name)
		}
	}
	order := ownership.Rank(string(ownership.KeyRight(home, parsed.Shard())), names)
	return positions[order[0]], positions[order[1]]
}

// runs sums how often a key ran at all services.
func (s *system) runs(t *testing.T, key string) int {
	t.Helper()
	sum := 0
	for _, service := range s.services {
		response, err := http.Get("http://" + service + "/runs")
		require.NoError(t, err)
		all := make(map[string]int)
		require.NoError(t, json.NewDecoder(response.Body).Decode(&all))
		_ = response.Body.Close()
		sum += all[key]
	}
	return sum
}

// serviceFault switches every service.
func (s *system) serviceFault(t *testing.T, query string) {
	t.Helper()
	for _, service := range s.services {
		response, err := http.Get("http://" + service + "/fault?" + query)
		require.NoError(t, err)
		_ = response.Body.Close()
	}
}

// awaitRun returns when the key has run at a service.
func (s *system) awaitRun(key string) {
	ran := make(chan struct{}, len(s.services))
	for _, service := range s.services {
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

// resend sends a key through an entry until the answer is not a refusal.
func resend(t *testing.T, entry string, key func() string) (string, keyedAnswer) {
	t.Helper()
	for {
		sent := key()
		answer, err := sendOrder(entry, sent, time.Second)
		require.NoError(t, err)
		if answer.outcome == attempt.Served || answer.outcome == attempt.Unknown && key() == sent {
			return sent, answer
		}
		<-time.After(resendEvery)
	}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func same(key string) func() string { return func() string { return key } }

// TestSameKeyThroughEveryEntryAtOnce sends one order through every entry at the
// same time, and again when it is done.
func TestSameKeyThroughEveryEntryAtOnce(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 3)
	key := newKey()
	answers := make([]keyedAnswer, 2*len(s.callers))
	s.serviceFault(t, "hold=true")
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() {
			var err error
			answers[i], err = sendOrder(s.callers[i%len(s.callers)], key, time.Minute)
			if err != nil {
				t.Error(err)
			}
		})
	}
	s.awaitRun(key)
	s.serviceFault(t, "hold=false")
	group.Wait()
	for _, answer := range answers {
		require.Equal(t, answers[0], answer, "every send gets the answer of the one run")
	}
	require.Equal(t, attempt.Served, answers[0].outcome, answers[0].body)
	again, err := sendOrder(s.callers[0], key, time.Minute)
	require.NoError(t, err)
	require.Equal(t, answers[0], again)
	require.Equal(t, 1, s.runs(t, key))

	s.serviceFault(t, "truncate=true")
	cut := newKey()
	for range 2 {
		answer, err := sendOrder(s.callers[0], cut, time.Minute)
		require.NoError(t, err)
		require.Equal(t, attempt.Unknown, answer.outcome, "a cut answer is not passed as complete")
	}
	require.Equal(t, 1, s.runs(t, cut))
}

// TestKilledOwnerLeavesUnknown kills the owner while the service works on an
// order, and sends the order again until the next owner answers.
func TestKilledOwnerLeavesUnknown(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 2)
	key := newKey()
	owner, next := s.owners(t, key)
	s.serviceFault(t, "hold=true")
	first := make(chan keyedAnswer, 1)
	go func() {
		answer, _ := sendOrder(s.callers[next], key, time.Minute)
		first <- answer
	}()
	s.awaitRun(key)
	s.entries[owner].kill()
	s.serviceFault(t, "hold=false")
	require.Equal(t, attempt.Unknown, (<-first).outcome)
	_, answer := resend(t, s.callers[next], same(key))
	require.Equal(t, attempt.Unknown, answer.outcome, answer.body)
	require.Equal(t, 1, s.runs(t, key))
}

// TestFrozenOwnerWakesLate freezes the owner of a key, lets the next one take
// over, and wakes the first with an order in its socket.
func TestFrozenOwnerWakesLate(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 2)
	early := newKey()
	owner, next := s.owners(t, early)
	ofOwner := func() string {
		for {
			key := newKey()
			if at, _ := s.owners(t, key); at == owner {
				return key
			}
		}
	}
	s.entries[owner].signal(syscall.SIGSTOP)
	lost, err := sendOrder(s.callers[next], early, time.Second)
	require.NoError(t, err)
	require.Equal(t, attempt.Unknown, lost.outcome, "the frozen owner holds the order in its socket")
	late, taken := resend(t, s.callers[next], ofOwner)
	require.Equal(t, attempt.Served, taken.outcome, taken.body)
	_, answer := resend(t, s.callers[next], same(early))
	require.Equal(t, attempt.Unknown, answer.outcome, "minted before the next owner's right began")
	s.entries[owner].signal(syscall.SIGCONT)
	_, repeated := resend(t, s.callers[owner], same(late))
	require.NotEqual(t, attempt.NotRun, repeated.outcome)
	_, fresh := resend(t, s.callers[owner], ofOwner)
	require.Equal(t, attempt.Served, fresh.outcome, fresh.body)
	require.Equal(t, 1, s.runs(t, late))
	require.LessOrEqual(t, s.runs(t, early), 1)
}

// TestPlannedStopHandsKeysOver stops the owner of an order that was served, and
// sends the order again through the next owner.
func TestPlannedStopHandsKeysOver(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 2)
	key := newKey()
	owner, next := s.owners(t, key)
	first, err := sendOrder(s.callers[next], key, time.Minute)
	require.NoError(t, err)
	require.Equal(t, attempt.Served, first.outcome, first.body)
	s.entries[owner].signal(syscall.SIGTERM)
	s.entries[owner].await(t, "stopped")
	_, again := resend(t, s.callers[next], same(key))
	require.Equal(t, first, again, "the next owner answers from the record")
	require.Equal(t, 1, s.runs(t, key))
}
