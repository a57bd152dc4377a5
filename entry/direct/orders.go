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

// Timeouts and intervals of the control loops.
const (
	// orderTimeout bounds one order. It must be below orderInFlightTime, the
	// time that the gap between two holders leaves for orders in flight.
	orderTimeout = 400 * time.Millisecond
	// reportTimeout bounds reading one report.
	reportTimeout = 500 * time.Millisecond
	// reportInterval is the interval between reports of a worker in which no
	// change is expected; each report has a cost.
	reportInterval = 3 * time.Second
	// pendingReportInterval is the interval while the completion of an order, or a
	// first report, is awaited.
	pendingReportInterval = 150 * time.Millisecond
	// usePollInterval is how often the use of adapters is passed to the
	// planner.
	usePollInterval = 100 * time.Millisecond
)

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

// controlledWorker is the control loop of one worker whose right this instance
// holds. It outlives a loss of the right for as long as no other instance can have
// sent orders, since its belief is more recent than any report.
type controlledWorker struct {
	*orderDispatcher
	worker worker.Worker
	right  string
	engine *routing.Engine
	cancel context.CancelFunc
	// wake starts the next round early.
	wake chan struct{}

	mu      sync.Mutex
	planner *slots.Planner
	// heldAt is when the right was last known to be held.
	heldAt time.Duration
	// suspended is set while the right is not held.
	suspended bool
	// waiters receive whether their adapter became ready, by adapter.
	waiters map[string][]chan bool
	// reportReadAt is when the last report was read, or failed to be read.
	reportReadAt time.Duration
	stopped      bool
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
		return false, "the adapter was not loaded in time"
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

// loadRequest asks for an adapter at a worker.
type loadRequest struct {
	worker string
	// born identifies the worker's process by its start, in Unix milliseconds.
	born     int64
	adapter  string
	rank     int
	deadline time.Duration
	// denied is set if the worker itself reported that it does not hold the
	// adapter.
	denied bool
}

// requestAdapter queues a load. The channel receives whether the adapter became
// ready.
func (w *controlledWorker) requestAdapter(load loadRequest) <-chan bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := now()
	if load.denied {
		w.planner.MarkMissing(at, load.adapter)
	}
	done := make(chan bool, 1)
	if w.stopped || w.suspended {
		done <- false
		return done
	}
	if w.planner.Ready(load.adapter) {
		done <- true
		return done
	}
	if !w.planner.Accepts(load.adapter, load.rank, load.deadline-at) {
		done <- false
		return done
	}
	w.planner.Want(at, load.adapter, load.rank, load.deadline)
	w.waiters[load.adapter] = append(w.waiters[load.adapter], done)
	select {
	case w.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
	return done
}

// failWaiters reports to every waiter that its adapter will not be loaded.
func (w *controlledWorker) failWaiters() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for adapter, waiting := range w.waiters {
		for _, done := range waiting {
			done <- false
		}
		delete(w.waiters, adapter)
	}
}

func (w *controlledWorker) stop() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.failWaiters()
}

// run sends orders until ctx ends.
func (w *controlledWorker) run(ctx context.Context) {
	defer w.stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		case <-timer.C:
		}
		for w.runOnce(ctx) {
			if ctx.Err() != nil {
				return
			}
		}
		timer.Reset(w.nextWait())
	}
}

// runOnce reads a report if one is due and sends the next order; it reports
// whether there may be another.
func (w *controlledWorker) runOnce(ctx context.Context) bool {
	if !w.confirmRight() {
		return false
	}
	w.readReport(ctx)
	adapterUse := w.fleet.usage.adapters(now(), w.worker.ID)
	w.mu.Lock()
	at := now()
	w.planner.SetRunning(at, adapterUse)
	order, ok := w.planner.Next(at)
	w.publishSlots()
	w.mu.Unlock()
	if !ok {
		return false
	}
	w.sendOrder(ctx, order)
	return true
}

// lastHeld returns when the right was last known to be held.
func (w *controlledWorker) lastHeld() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.heldAt
}

// confirmRight reports whether the right is held, and suspends the loop otherwise. The
// belief about the worker is dropped if another instance may have sent orders since the
// right was last held.
func (w *controlledWorker) confirmRight() bool {
	_, held := w.rights.Held(w.right)
	if !held {
		w.suspend()
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	at := now()
	if at-w.heldAt >= w.beliefTTL() {
		w.planner = newPlanner(w.engine)
	}
	w.heldAt, w.suspended = at, false
	return true
}

// suspend refuses loads and withdraws what this instance publishes of the worker.
func (w *controlledWorker) suspend() {
	w.mu.Lock()
	wasSuspended := w.suspended
	w.suspended = true
	w.mu.Unlock()
	if !wasSuspended {
		w.fleet.residency.deleteOwn(w.worker.ID)
		w.failWaiters()
	}
}

// forget drops the belief about a worker process that has ended.
func (w *controlledWorker) forget() {
	w.fleet.residency.deleteOwn(w.worker.ID)
	w.failWaiters()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.planner = newPlanner(w.engine)
}

// publishSlots wakes the waiters whose adapter is ready and publishes the
// slots. w.mu must be held.
func (w *controlledWorker) publishSlots() {
	for adapter, waiting := range w.waiters {
		if !w.planner.Ready(adapter) {
			continue
		}
		for _, done := range waiting {
			done <- true
		}
		delete(w.waiters, adapter)
	}
	if w.planner.Synced() {
		w.fleet.residency.setOwn(w.worker.ID, slotState{born: w.worker.Born, usable: w.planner.Usable(), slots: w.planner.Slots()})
	}
}

func (w *controlledWorker) nextWait() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := now()
	wait := usePollInterval
	if next := w.planner.NextEvent(at); next > at {
		wait = min(wait, next-at)
	}
	return max(wait, time.Millisecond)
}

func (w *controlledWorker) readReport(ctx context.Context) {
	if until, found := w.lastOrder(w.worker.ID); found {
		w.mu.Lock()
		w.planner.AssumeOrder(until)
		w.mu.Unlock()
	}
	w.mu.Lock()
	due := w.reportReadAt + reportInterval
	if w.planner.AwaitsReport() {
		due = max(w.reportReadAt+pendingReportInterval, w.planner.ReportsUsableFrom())
	}
	w.mu.Unlock()
	requestedAt := now()
	if requestedAt < due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := w.orderer.Report(ctx, w.worker)
	w.mu.Lock()
	w.reportReadAt = now()
	w.mu.Unlock()
	if err != nil {
		w.log.Warn(decision.ReportFailed, err).Str(decision.FieldWorker, w.worker.ID).Send()
		return
	}
	if report.Born != 0 && w.worker.Born != 0 && report.Born != w.worker.Born {
		w.forget() // the registry will report the new process
		return
	}
	if report.Leaving {
		w.workerLeaves(w.worker, "")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.planner.HandleReport(requestedAt, report.Held)
}

// admitStoreLoad reports whether the weight store's load rate permits an order.
// It takes one load from this instance's share if the order reads the store.
func (w *controlledWorker) admitStoreLoad(order slots.Order) bool {
	if !order.FromStore {
		return true
	}
	service, known := w.fleet.config.service(w.worker.Service)
	if !known || service.Engine == nil {
		return false
	}
	w.orderDispatcher.mu.Lock()
	defer w.orderDispatcher.mu.Unlock()
	return w.storeShare.Take(now(), service.Engine.StoreLoadsPerSecond, w.instanceCount())
}

// sendOrder sends one order if the right is still held, and passes the result
// to the planner.
func (w *controlledWorker) sendOrder(ctx context.Context, order slots.Order) {
	fence, held := w.rights.Held(w.right)
	result, err := slots.Rejected, error(nil)
	began := now()
	if held && w.admitStoreLoad(order) {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		w.recordOrder(w.worker.ID, began+orderTimeout)
		result, err = w.orderer.Order(ctx, w.worker, order, fence)
		w.recordOrder(w.worker.ID, now())
	}
	at := now()
	line := w.log.Line(decision.OrderSent).Str(decision.FieldWorker, w.worker.ID).Bool(decision.FieldUnload, order.Unload).Str(decision.FieldModel, order.Model).
		Str(decision.FieldAdapter, order.Adapter).Uint64(decision.FieldFence, fence).Bool(decision.FieldHeld, held).Str(decision.FieldResult, result.String()).Dur(decision.FieldTookMS, at-began)
	if err != nil {
		line = line.Err(err)
	}
	line.Send()
	w.metrics.recordOrder(order, result, at-began)
	if result == slots.Unreachable {
		w.fleet.conditions.recordResult(at, w.worker.ID, false)
		defer w.failWaiters()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.planner.HandleResult(at, result)
}
