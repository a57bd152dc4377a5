package direct

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/revision"
	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/coord/slots"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/decision"
	"github.com/bulrushwick/bulrushwick/entry/settings"
)

// Figures of laggingWorker.
const (
	testReportAge = 300 * time.Millisecond
	testLoadTime  = 20 * time.Millisecond
	testSlots     = 2
)

// laggingWorker is a worker whose reports are testReportAge old. It implements Orderer.
type laggingWorker struct {
	mu        sync.Mutex
	born      int64
	held      map[string]time.Duration // until when each adapter loads
	history   []workerSnapshot
	overloads int
}

type workerSnapshot struct {
	at       time.Duration
	adapters []string
}

func newLaggingWorker(born int64, adapters ...string) *laggingWorker {
	w := &laggingWorker{born: born, held: make(map[string]time.Duration)}
	for _, a := range adapters {
		w.held[a] = 0
	}
	w.remember(0)
	return w
}

// remember keeps the present state for later reports; w.mu must be held.
func (w *laggingWorker) remember(at time.Duration) {
	w.history = append(w.history, workerSnapshot{at: at, adapters: slices.Sorted(maps.Keys(w.held))})
}

// restart starts another process, which holds nothing.
func (w *laggingWorker) restart(born int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born, w.history = born, nil
	clear(w.held)
	w.remember(now())
}

func (w *laggingWorker) Report(context.Context, worker.Worker) (Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := w.history[0]
	for _, s := range w.history {
		if now()-s.at >= testReportAge {
			state = s
		}
	}
	return Report{Born: w.born, Held: slots.WorkerState{HasModel: true, Adapters: state.adapters}}, nil
}

func (w *laggingWorker) Order(_ context.Context, _ worker.Worker, o slots.Order, _ uint64) (slots.Result, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer func() { w.remember(now()) }()
	readyAt, held := w.held[o.Adapter]
	switch {
	case o.Unload:
		delete(w.held, o.Adapter)
		return slots.Done, nil
	case held && now() >= readyAt:
		return slots.Done, nil
	case held:
		return slots.Accepted, nil
	}
	if len(w.held) >= testSlots {
		w.overloads++
	}
	w.held[o.Adapter] = now() + testLoadTime
	return slots.Accepted, nil
}

func (w *laggingWorker) overloadCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overloads
}

// switchedRights holds every right while it is on.
type switchedRights struct {
	mu sync.Mutex
	on bool
}

func (r *switchedRights) Held(string) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return 1, r.on
}

func (r *switchedRights) set(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.on = on
}

// orderTest runs a dispatcher over one worker.
type orderTest struct {
	t          *testing.T
	worker     *laggingWorker
	rights     *switchedRights
	fleet      *fleet
	dispatcher *orderDispatcher
	born       int64
}

func newOrderTest(t *testing.T, w *laggingWorker) *orderTest {
	t.Helper()
	s := Settings{DataCentre: "a", DataCentres: map[string]string{"a": "r"}, OrderTurnGap: settings.Duration(3 * time.Second)}
	o := &orderTest{t: t, worker: w, rights: &switchedRights{on: true}, fleet: newFleet(s), born: w.born}
	engine := &routing.Engine{AdapterSlots: testSlots, Models: []routing.Model{{Name: "m"}}}
	o.fleet.config.install(&routing.Config{Version: 1, Services: map[string]routing.Service{"llm": {Engine: engine}}}, nil)
	o.register(1)
	o.dispatcher = newOrderDispatcher(o.fleet, o.rights, func() int { return 1 }, w, decision.New(decision.DefaultConfig(), io.Discard, "e0"), newMetrics())
	ctx, cancel := context.WithCancel(t.Context())
	var refreshing sync.WaitGroup
	refreshing.Go(func() {
		for ctx.Err() == nil {
			o.dispatcher.refresh(ctx)
			time.Sleep(10 * time.Millisecond)
		}
	})
	t.Cleanup(func() { cancel(); refreshing.Wait() })
	return o
}

// register writes the worker's entry.
func (o *orderTest) register(written uint64) {
	o.fleet.changeWorkers(func(r *worker.Registry) []worker.Event {
		return r.Put(worker.Worker{ID: "w", Service: "llm", Address: "10.0.0.9:1", DataCentre: "a", Slots: 8, Born: o.born}, revision.Decode(written))
	})
}

// publishedSlots returns the slots that the instance tells others of.
func (o *orderTest) publishedSlots() []slots.Slot {
	o.fleet.residency.mu.Lock()
	defer o.fleet.residency.mu.Unlock()
	return o.fleet.residency.own["w"].slots
}

// begin requests an adapter and waits until the worker has been ordered to load it.
func (o *orderTest) begin(adapter string) {
	o.t.Helper()
	loading := o.dispatcher.findWorker("w", 1)
	require.NotNil(o.t, loading)
	loading.requestAdapter(loadRequest{worker: "w", born: 1, adapter: adapter, deadline: now() + 3*time.Second})
	require.Eventually(o.t, func() bool {
		o.worker.mu.Lock()
		defer o.worker.mu.Unlock()
		_, ordered := o.worker.held[adapter]
		return ordered
	}, time.Second, 5*time.Millisecond)
}

// load requests an adapter, again while it is refused, and waits until it is ready.
func (o *orderTest) load(adapter string) {
	o.t.Helper()
	require.Eventually(o.t, func() bool {
		ctx, cancel := context.WithTimeout(o.t.Context(), 3*time.Second)
		defer cancel()
		ready, _ := o.dispatcher.loadAdapter(ctx, loadRequest{worker: "w", born: o.born, adapter: adapter, deadline: now() + 3*time.Second})
		return ready
	}, 8*time.Second, 10*time.Millisecond, "adapter %s is not loaded", adapter)
}

// TestARightLostForAMomentKeepsTheBelief guards against a holder that regains its rights
// and adopts a report older than its own last orders: it ordered the worker to load more
// adapters than it holds.
func TestARightLostForAMomentKeepsTheBelief(t *testing.T) {
	t.Parallel()
	o := newOrderTest(t, newLaggingWorker(1, "x", "y"))
	time.Sleep(600 * time.Millisecond) // past the grace for newly known adapters
	o.begin("a")
	o.rights.set(false)
	time.Sleep(100 * time.Millisecond)
	o.rights.set(true)
	o.load("b")
	o.load("c")
	require.Zero(t, o.worker.overloadCount())
}

// TestAWorkerThatRestartsIsNotBelievedByAnOldReport guards against the control loop of a
// worker process that started under a known id: its first report was older than the
// orders that the loop before had sent to the same process.
func TestAWorkerThatRestartsIsNotBelievedByAnOldReport(t *testing.T) {
	t.Parallel()
	o := newOrderTest(t, newLaggingWorker(1, "x", "y"))
	time.Sleep(600 * time.Millisecond) // past the grace for newly known adapters
	o.worker.restart(2)
	o.begin("a") // by the former loop: the store tells of the restart later
	o.born = 2
	o.register(2)
	o.load("b")
	o.load("c")
	require.Zero(t, o.worker.overloadCount())
}

// TestARightHeldAgainAfterOthersStartsAnew checks that a belief does not outlive the time
// within which another holder may have sent orders.
func TestARightHeldAgainAfterOthersStartsAnew(t *testing.T) {
	t.Parallel()
	o := newOrderTest(t, newLaggingWorker(1, "x", "y"))
	o.load("x")
	o.rights.set(false)
	time.Sleep(o.dispatcher.beliefTTL() + 200*time.Millisecond)
	o.worker.restart(1) // another holder has unloaded everything
	_, err := o.worker.Order(t.Context(), worker.Worker{}, slots.Order{Model: "m", Adapter: "z"}, 1)
	require.NoError(t, err)
	time.Sleep(testReportAge + 50*time.Millisecond)
	o.rights.set(true)
	o.load("z")
	require.Equal(t, []slots.Slot{{Adapter: "z", Ready: true}}, o.publishedSlots())
	require.Zero(t, o.worker.overloadCount())
}
