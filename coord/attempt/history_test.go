package attempt

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// historyInput is one operation of a history: a caller's send, or a run at the
// service.
type historyInput struct {
	key Key
	run bool
}

// atMostOnce is the sequential specification: a key runs at most once, and the
// outcome Served is reported only for a key that has run.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[Key][]porcupine.Operation)
		for _, operation := range history {
			key := operation.Input.(historyInput).key
			byKey[key] = append(byKey[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		ran := state.(bool)
		switch {
		case input.(historyInput).run:
			return !ran, true
		case output.(Outcome) == Served:
			return ran, ran
		default:
			return true, ran
		}
	},
}

// concurrentCluster is a fleet whose holder changes while callers send
// concurrently.
type concurrentCluster struct {
	noFloor bool
	clock   atomic.Int64 // virtual milliseconds; each reading advances it by one

	mu      sync.Mutex
	record  *Record // of the current holder
	since   time.Duration
	waiting map[uint64]chan Outcome
	history []porcupine.Operation
}

func (s *concurrentCluster) now() time.Duration {
	return time.Duration(s.clock.Add(1)) * time.Millisecond
}

func (s *concurrentCluster) addOperation(input historyInput, outcome Outcome, called time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, porcupine.Operation{Input: input, Output: outcome, Call: int64(called), Return: int64(s.now())})
}

// replaceHolder makes another instance the holder without a hand-over.
func (s *concurrentCluster) replaceHolder() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record = NewRecord(DefaultRecordConfig())
	s.since = s.now()
	if s.noFloor {
		s.since = -time.Hour
	}
}

// step applies an event to a holder's record and answers the sends that its
// actions name. The lock must be held.
func (s *concurrentCluster) step(record *Record, now time.Duration, event RecordEvent) []RecordAction {
	actions := record.Step(now, event)
	for _, action := range actions {
		switch a := action.(type) {
		case Reply:
			s.waiting[a.Send] <- Served
		case Refuse:
			s.waiting[a.Send] <- a.Outcome
		}
	}
	return actions
}

// send sends a key to the current holder and adds the operations to the history.
func (s *concurrentCluster) send(id uint64, key Key, responseLost bool) {
	called := s.now()
	s.mu.Lock()
	record, now, answer := s.record, s.now(), make(chan Outcome, 1)
	s.waiting[id] = answer
	actions := s.step(record, now, Arrive{Send: id, Key: key, Wall: epoch + now, Held: true, HeldSince: s.since})
	s.mu.Unlock()
	if len(actions) == 1 && actions[0] == (Run{Send: id}) {
		runtime.Gosched() // the holder may be replaced before the call reaches the endpoint
		began := s.now()
		s.addOperation(historyInput{key: key, run: true}, Served, began)
		outcome := Served
		if responseLost {
			outcome = Unknown
		}
		s.mu.Lock()
		s.step(record, s.now(), Finished{Send: id, Outcome: outcome})
		s.mu.Unlock()
		answer <- outcome
	}
	s.addOperation(historyInput{key: key}, <-answer, called)
}

// generateHistory sends every key several times concurrently while the holder
// changes.
func generateHistory(seed uint64, noFloor bool) []porcupine.Operation {
	s := &concurrentCluster{noFloor: noFloor, waiting: make(map[uint64]chan Outcome)}
	random := rand.New(rand.NewPCG(seed, 0))
	s.replaceHolder()
	s.clock.Add(2000)
	id := uint64(0)
	for n := range uint64(40) {
		key := keyAt(epoch+s.now(), n)
		var senders sync.WaitGroup
		replaced, settled := random.IntN(16), random.IntN(2) == 0
		for sender := range 4 {
			id++
			send, lost := id, random.IntN(3) == 0
			senders.Go(func() { s.send(send, key, lost) })
			if sender != replaced {
				continue
			}
			if settled {
				senders.Wait() // the next holder gets a key that has already run
			}
			senders.Go(s.replaceHolder)
		}
		senders.Wait()
		s.clock.Add(random.Int64N(500))
	}
	return s.history
}

const historySeeds = 25

func TestHistoriesRunEachKeyAtMostOnce(t *testing.T) {
	served := 0
	for seed := range uint64(historySeeds) {
		history := generateHistory(seed, false)
		require.True(t, porcupine.CheckOperations(atMostOnce, history), "seed %d", seed)
		for _, operation := range history {
			if operation.Output.(Outcome) == Served {
				served++
			}
		}
	}
	require.Positive(t, served)
}

// TestHistoriesDetectMissingFloor checks that a second run of a key is detected.
func TestHistoriesDetectMissingFloor(t *testing.T) {
	for seed := range uint64(historySeeds) {
		if !porcupine.CheckOperations(atMostOnce, generateHistory(seed, true)) {
			return
		}
	}
	require.Fail(t, "no history without a floor was rejected")
}
