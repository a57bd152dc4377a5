package quorum

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// maxOrderFlight bounds the time from the sending of an order to its arrival.
const maxOrderFlight = 400 * time.Millisecond

// order is an order under a right. A worker may receive it at any time within
// maxOrderFlight.
type order struct {
	right, by string
	fence     uint64
}

// workerState is the last order that a worker accepted.
type workerState struct {
	by    string
	fence uint64
}

// singleHolderModel is a worker that accepts the orders of one holder at a time. It
// accepts those of another holder only with a higher fencing token, and then no
// more orders of the former holder.
var singleHolderModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byRight := make(map[string][]porcupine.Operation)
		for _, op := range history {
			right := op.Input.(order).right
			byRight[right] = append(byRight[right], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byRight {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return workerState{} },
	Step: func(state, input, _ any) (bool, any) {
		last, o := state.(workerState), input.(order)
		accepted := o.fence > last.fence || o.fence == last.fence && o.by == last.by
		return accepted, workerState{by: o.by, fence: o.fence}
	},
}

// recordInterval limits the recorded orders to one per holder and interval.
const recordInterval = 100 * time.Millisecond

// recordOrder records an order that is sent now, unless the same holder's order was
// already recorded in this interval.
func (w *world) recordOrder(right, by string, fence uint64) {
	last, found := w.lastOrders[right]
	if found && last.by == by && last.fence == fence && w.now/recordInterval == last.at/recordInterval {
		return
	}
	w.sentOrders = append(w.sentOrders, porcupine.Operation{
		Input: order{right: right, by: by, fence: fence}, Call: int64(w.now), Return: int64(w.now + maxOrderFlight),
	})
}

// TestOrdersOfRandomHistoriesComeFromOneHolderAtATime checks the orders of random
// histories against the model, for any times of arrival within their flight.
func TestOrdersOfRandomHistoriesComeFromOneHolderAtATime(t *testing.T) {
	few := testConfig()
	few.MaxVoters = 5
	for seed := range uint64(12) {
		for members, config := range map[int]Config{6: testConfig(), 12: few} {
			w := newWorld(seed+500, members, config)
			runRandomFaults(w)
			require.True(t, porcupine.CheckOperations(singleHolderModel, w.sentOrders), "seed %d, %d members", seed, members)
		}
	}
}

// TestFencesThatDoNotIncreaseAreDetected checks that the model detects fencing
// tokens that start over after all instances restart.
func TestFencesThatDoNotIncreaseAreDetected(t *testing.T) {
	found := false
	for _, right := range []string{"a/0", "a/1", "b/0", "b/1"} {
		for members := 5; members < 9; members++ {
			found = found || !porcupine.CheckOperations(singleHolderModel, restartAllButHolder(members, right, restartFences))
			require.True(t, porcupine.CheckOperations(singleHolderModel, restartAllButHolder(members, right, nil)), "%s of %d", right, members)
		}
	}
	require.True(t, found)
}

// restartAllButHolder simulates a cluster in which all nodes restart, except that
// the holder of a right stays down.
func restartAllButHolder(members int, right string, mutate func(*Machine)) []porcupine.Operation {
	w := newWorld(1, members, testConfig())
	w.mutate = mutate
	for _, n := range w.sorted() {
		w.start(n)
	}
	w.run(12 * time.Second)
	former := holders(w)
	w.inFlight = nil // no message from before may reveal the fencing tokens
	for _, n := range w.sorted() {
		w.start(n)
	}
	w.nodes[former[right]].down = true
	w.run(w.config.SeedWait + 8*time.Second)
	return w.sentOrders
}

// restartFences replaces the fencing token floor, which rises with the clock, by a
// constant.
func restartFences(m *Machine) {
	ordinal := uint32(m.members.self.Address[7])
	m.minFence = func() uint64 { return Fence(1, ordinal) }
}
