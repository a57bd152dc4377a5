package direct

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/revision"
	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/coord/slots"
	"github.com/bulrushwick/bulrushwick/coord/worker"
)

// countingOrderer reports order counts by worker; a worker without one does not respond.
type countingOrderer struct {
	mu      sync.Mutex
	reports map[string]Report
}

func (c *countingOrderer) set(id string, r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports[id] = r
}

func (c *countingOrderer) Report(_ context.Context, w worker.Worker) (Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report, found := c.reports[w.ID]
	if !found {
		return Report{}, errors.New("no response")
	}
	return report, nil
}

func (c *countingOrderer) Order(context.Context, worker.Worker, slots.Order, uint64) (slots.Result, error) {
	return slots.Rejected, nil
}

// watchedFleet returns a fleet with two workers that this instance may order and one
// that it may not.
func watchedFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(Settings{DataCentre: "a", DataCentres: map[string]string{"a": "r", "b": "r"}})
	f.config.install(&routing.Config{Version: 1, Services: map[string]routing.Service{"llm": {Engine: &routing.Engine{}}}}, nil)
	f.changeWorkers(func(r *worker.Registry) []worker.Event {
		var events []worker.Event
		for id, dataCentre := range map[string]string{"w1": "a", "w2": "a", "w3": "b"} {
			events = append(events, r.Put(worker.Worker{ID: id, Service: "llm", Address: "10.0.0.9:1", DataCentre: dataCentre, Slots: 1, Born: 1}, revision.Decode(1))...)
		}
		return events
	})
	return f
}

// TestOrdersOfOthersAreSeenOnTheWorkers guards against an instance that restarts behind
// a cut and takes the workers for idle, though the other side of the cut orders them.
func TestOrdersOfOthersAreSeenOnTheWorkers(t *testing.T) {
	orderer := &countingOrderer{reports: map[string]Report{"w1": {Born: 1, OrdersAccepted: 4}, "w2": {Born: 1}}}
	watch := newOrderWatch(watchedFleet(t), orderer, []string{"a"})
	_, known := watch.quietSince()
	require.False(t, known, "nothing was read yet")
	watch.runRound(t.Context())
	began, known := watch.quietSince()
	require.True(t, known)

	watch.runRound(t.Context())
	since, _ := watch.quietSince()
	require.Equal(t, began, since, "no count has moved")

	orderer.set("w2", Report{Born: 2, OrdersAccepted: 0})
	watch.runRound(t.Context())
	since, _ = watch.quietSince()
	require.Equal(t, began, since, "a restart is no order")

	orderer.set("w1", Report{Born: 1, OrdersAccepted: 5})
	watch.runRound(t.Context())
	since, _ = watch.quietSince()
	require.Greater(t, since, began)
}

// TestWorkersThatDoNotRespondAreNotQuiet covers a watch that reads too few workers to
// tell whether they are ordered.
func TestWorkersThatDoNotRespondAreNotQuiet(t *testing.T) {
	orderer := &countingOrderer{reports: map[string]Report{}}
	watch := newOrderWatch(watchedFleet(t), orderer, []string{"a"})
	watch.runRound(t.Context())
	_, known := watch.quietSince()
	require.False(t, known)
	orderer.set("w1", Report{Born: 1})
	watch.runRound(t.Context())
	_, known = watch.quietSince()
	require.True(t, known, "half of the workers respond")
}

// TestALostReportForgetsNothing covers reports that are lost for a while: the counts before
// and after still show that nothing was ordered.
func TestALostReportForgetsNothing(t *testing.T) {
	orderer := &countingOrderer{reports: map[string]Report{"w1": {Born: 1, OrdersAccepted: 4}, "w2": {Born: 1}}}
	watch := newOrderWatch(watchedFleet(t), orderer, []string{"a"})
	watch.runRound(t.Context())
	began, _ := watch.quietSince()
	w1, w2 := orderer.reports["w1"], orderer.reports["w2"]
	orderer.reports = map[string]Report{}
	watch.runRound(t.Context())
	orderer.set("w1", w1)
	orderer.set("w2", w2)
	watch.runRound(t.Context())
	since, known := watch.quietSince()
	require.True(t, known)
	require.Equal(t, began, since)
	orderer.set("w2", Report{Born: 1, OrdersAccepted: 1})
	watch.runRound(t.Context())
	since, _ = watch.quietSince()
	require.Greater(t, since, began)
}

// TestAnOldRoundShowsNothing covers a process that was suspended while it watched.
func TestAnOldRoundShowsNothing(t *testing.T) {
	watch := newOrderWatch(watchedFleet(t), &countingOrderer{reports: map[string]Report{"w1": {Born: 1}, "w2": {Born: 1}}}, []string{"a"})
	watch.runRound(t.Context())
	_, known := watch.quietSince()
	require.True(t, known)
	for id, count := range watch.counts {
		count.readAt -= 2 * maxWatchAge
		watch.counts[id] = count
	}
	_, known = watch.quietSince()
	require.False(t, known)
}

func TestNothingIsQuietBeforeTheWorkersAreKnown(t *testing.T) {
	watch := newOrderWatch(newFleet(Settings{}), &countingOrderer{}, nil)
	watch.runRound(t.Context())
	_, known := watch.quietSince()
	require.False(t, known)
}
