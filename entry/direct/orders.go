package direct

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/coord/slots"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/decision"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
)

// rightsPerDataCentre is the number of rights into which control of a data
// centre's workers is divided, so that several instances share the work.
const rightsPerDataCentre = 4

// rightOf returns the name of the right that covers a worker.
func rightOf(w *worker.Worker) string {
	return w.DataCentre + "/" + strconv.FormatUint(xxhash.Sum64String(w.ID)%rightsPerDataCentre, 10)
}

// rightsOf returns the names of all rights over the workers of the given data
// centres.
func rightsOf(dataCentres []string) []string {
	var rights []string
	for _, dataCentre := range dataCentres {
		for i := range rightsPerDataCentre {
			rights = append(rights, dataCentre+"/"+strconv.Itoa(i))
		}
	}
	return rights
}

// rightChecker reports whether this instance holds a right, and its fencing
// token.
type rightChecker interface {
	Held(right string) (fence uint64, ok bool)
}

// orderDispatcher sends orders to the workers whose right this instance holds.
// It is safe for concurrent use.
type orderDispatcher struct {
	fleet  *fleet
	rights rightChecker
	// instanceCount returns the number of instances that share the weight
	// store.
	instanceCount func() int
	orderer       Orderer
	log           *decision.Log
	metrics       *metrics
	// workerLeaves is called when a worker process says in a report that it leaves.
	workerLeaves func(w worker.Worker, request string)
	reportPanic  recovery.Reporter

	mu sync.Mutex
	// workers holds the control loops by worker.
	workers    map[string]*controlledWorker
	storeShare *slots.StoreShare
	// lastOrders holds until when an order of any control loop may have reached a
	// worker id, whichever process bears it.
	lastOrders map[string]time.Duration
}

func newOrderDispatcher(f *fleet, r rightChecker, instanceCount func() int, o Orderer, log *decision.Log, m *metrics) *orderDispatcher {
	return &orderDispatcher{
		fleet: f, rights: r, instanceCount: instanceCount, orderer: o, log: log, metrics: m, workers: make(map[string]*controlledWorker),
		storeShare: slots.NewStoreShare(now()), lastOrders: make(map[string]time.Duration),
	}
}

// beliefTTL is how long a control loop outlives the right: the gap that the next holder
// of the right leaves to the end of this one's lease.
func (o *orderDispatcher) beliefTTL() time.Duration {
	return o.fleet.settings.OrderTurnGap.Std() + orderInFlightTime
}

// refresh starts and stops control loops to match the rights held and the
// workers known.
func (o *orderDispatcher) refresh(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at := now()
	maps.DeleteFunc(o.lastOrders, func(_ string, until time.Duration) bool { return at-until > lastOrderTTL })
	controlled := make(map[string]bool)
	for _, w := range o.fleet.workers.all() {
		service, known := o.fleet.config.service(w.Service)
		if !known || service.Engine == nil || len(service.Engine.Models) == 0 || w.Draining {
			continue
		}
		right := rightOf(&w)
		running := o.workers[w.ID]
		isSame := running != nil && running.worker.Born == w.Born && running.worker.Address == w.Address
		if _, held := o.rights.Held(right); !held && (!isSame || at-running.lastHeld() >= o.beliefTTL()) {
			continue
		}
		controlled[w.ID] = true
		if isSame {
			continue
		}
		if running != nil {
			running.cancel()
		}
		o.startWorker(ctx, w, right, service.Engine)
	}
	for id, running := range o.workers {
		if !controlled[id] {
			running.cancel()
			delete(o.workers, id)
			o.fleet.residency.deleteOwn(id)
		}
	}
}

func (o *orderDispatcher) startWorker(ctx context.Context, w worker.Worker, right string, engine *routing.Engine) {
	ctx, cancel := context.WithCancel(ctx)
	controlled := &controlledWorker{
		orderDispatcher: o, worker: w, right: right, engine: engine, cancel: cancel, wake: make(chan struct{}, 1),
		planner: newPlanner(engine), waiters: make(map[string][]chan bool), heldAt: now(),
	}
	o.workers[w.ID] = controlled
	go func() {
		if recovery.Run(o.reportPanic, "orders to a worker", func() { controlled.run(ctx) }) {
			o.discard(controlled)
		}
	}()
}

// discard removes a control loop that ended with a panic, so that refresh starts
// another one, whose planner learns the worker's state anew.
func (o *orderDispatcher) discard(ended *controlledWorker) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ended.cancel()
	if o.workers[ended.worker.ID] == ended {
		delete(o.workers, ended.worker.ID)
		o.fleet.residency.deleteOwn(ended.worker.ID)
	}
}

// newPlanner returns a planner that knows nothing of its worker.
func newPlanner(engine *routing.Engine) *slots.Planner {
	model := engine.Models[0]
	return slots.NewPlanner(slots.DefaultConfig(adapterCapacity(engine, model)), model.Name, model.StoreLoad)
}

// lastOrderTTL is how long the time of the last order to a worker is kept: longer than
// the age of any report.
const lastOrderTTL = 10 * time.Second

// recordOrder records that an order may reach a worker until a time.
func (o *orderDispatcher) recordOrder(id string, until time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastOrders[id] = until
}

// lastOrder returns until when an order of any control loop may have reached a worker.
func (o *orderDispatcher) lastOrder(id string) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	until, found := o.lastOrders[id]
	return until, found
}

// adapterCapacity returns the number of adapters that fit beside a model.
func adapterCapacity(engine *routing.Engine, model routing.Model) int {
	capacity := engine.AdapterSlots
	if model.AdapterSizeMB > 0 && engine.WeightsMB > 0 {
		capacity = min(capacity, int((engine.WeightsMB-model.SizeMB)/model.AdapterSizeMB))
	}
	return max(capacity, 0)
}

// findWorker returns the loop of a worker process, or nil if this instance does
// not control it.
func (o *orderDispatcher) findWorker(id string, born int64) *controlledWorker {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.workers[id]
	if w == nil || w.worker.Born != born {
		return nil
	}
	return w
}

// loadAdapter waits until an adapter is loaded, or returns why it was not.
func (o *orderDispatcher) loadAdapter(ctx context.Context, load loadRequest) (bool, string) {
	w := o.findWorker(load.worker, load.born)
	if w == nil {
		return false, "this instance does not order the worker"
	}
	done := w.requestAdapter(load)
	select {
	case ready := <-done:
		if !ready {
			return false, reasonBusy
		}
		return true, ""
	case <-ctx.Done():
		return false, reasonLoadTooLate
	}
}

// waitingAdapters returns the number of adapters that wait for a slot of a
// worker.
func (o *orderDispatcher) waitingAdapters(id string, born int64) int {
	w := o.findWorker(id, born)
	if w == nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.waiters)
}

// reasonBusy refuses a load that would wait for too many others, or for a
// worker that can't be reached.
const reasonBusy = "too many adapters wait for the worker"

// reasonLoadTooLate ends the wait of a request for an adapter.
const reasonLoadTooLate = "the adapter was not loaded in time"

// loadRequest asks for an adapter at a worker.
type loadRequest struct {
	worker string
	// born identifies the worker's process by its start, in Unix milliseconds.
	born     int64
	adapter  string
	priority slots.Priority
	deadline time.Duration
	// denied is set if the worker itself reported that it does not hold the
	// adapter.
	denied bool
}
