package direct

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/coord/slots"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/decision"
)

// rightsPerDataCentre is into how many rights the workers of a data centre are
// divided, so that several instances share the orders.
const rightsPerDataCentre = 4

// rightOf is the right under which orders to a worker are given.
func rightOf(w *worker.Worker) string {
	return w.DataCentre + "/" + strconv.FormatUint(xxhash.Sum64String(w.ID)%rightsPerDataCentre, 10)
}

// rightsOf lists all rights over the workers of the given data centres.
func rightsOf(dataCentres []string) []string {
	var rights []string
	for _, dataCentre := range dataCentres {
		for i := range rightsPerDataCentre {
			rights = append(rights, dataCentre+"/"+strconv.Itoa(i))
		}
	}
	return rights
}

// Intervals of the orders' loops.
const (
	// orderTimeout bounds one order. It must be below the part of the turn gap
	// that the quorum adds for orders on their way.
	orderTimeout = 400 * time.Millisecond
	// reportTimeout bounds the reading of a report.
	reportTimeout = 500 * time.Millisecond
	// reportInterval is the interval between reports of a worker in which nothing
	// is expected to change; reports are priced.
	reportInterval = 3 * time.Second
	// pendingReportInterval is the interval while the end of an order is waited for.
	pendingReportInterval = 150 * time.Millisecond
	// usePollInterval is the interval at which the use of adapters is looked at.
	usePollInterval = 100 * time.Millisecond
)

// rightChecker tells which orders this instance may give.
type rightChecker interface {
	Held(right string) (fence uint64, ok bool)
}

// orderDispatcher gives orderDispatcher to the workers whose right this instance holds.
type orderDispatcher struct {
	fleet  *fleet
	rights rightChecker
	// instanceCount counts the instances that share the weight store.
	instanceCount func() int
	orderer       Orderer
	log           *decision.Log
	metrics       *metrics

	mu         sync.Mutex
	workers    map[string]*controlledWorker
	storeShare *slots.StoreShare
}

func newOrderDispatcher(f *fleet, r rightChecker, instanceCount func() int, o Orderer, log *decision.Log, m *metrics) *orderDispatcher {
	return &orderDispatcher{
		fleet: f, rights: r, instanceCount: instanceCount, orderer: o, log: log, metrics: m, workers: make(map[string]*controlledWorker),
		storeShare: slots.NewStoreShare(now()),
	}
}

// controlledWorker is one worker that this instance orders.
type controlledWorker struct {
	*orderDispatcher
	worker worker.Worker
	right  string
	cancel context.CancelFunc
	wake   chan struct{}

	mu           sync.Mutex
	planner      *slots.Planner
	waiters      map[string][]chan bool
	reportReadAt time.Duration
	stopped      bool
}

// refresh starts and stops the loops of workers by the rights that are held.
func (o *orderDispatcher) refresh(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	controlled := make(map[string]bool)
	for _, w := range o.fleet.allWorkers() {
		service, known := o.fleet.service(w.Service)
		if !known || service.Engine == nil || len(service.Engine.Models) == 0 || w.Draining {
			continue
		}
		right := rightOf(&w)
		if _, held := o.rights.Held(right); !held {
			continue
		}
		controlled[w.ID] = true
		running := o.workers[w.ID]
		if running != nil && running.worker.Born == w.Born && running.worker.Address == w.Address {
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
			o.fleet.deleteOwnSlots(id)
		}
	}
}

func (o *orderDispatcher) startWorker(ctx context.Context, w worker.Worker, right string, engine *routing.Engine) {
	ctx, cancel := context.WithCancel(ctx)
	model := engine.Models[0]
	controlled := &controlledWorker{
		orderDispatcher: o, worker: w, right: right, cancel: cancel, wake: make(chan struct{}, 1),
		planner: slots.NewPlanner(slots.DefaultConfig(adapterCapacity(engine, model)), model.Name, model.StoreLoad),
		waiters: make(map[string][]chan bool),
	}
	o.workers[w.ID] = controlled
	go controlled.run(ctx)
}

// adapterCapacity is the number of adapters that fit beside a model.
func adapterCapacity(engine *routing.Engine, model routing.Model) int {
	capacity := engine.AdapterSlots
	if model.AdapterSizeMB > 0 && engine.WeightsMB > 0 {
		capacity = min(capacity, int((engine.WeightsMB-model.SizeMB)/model.AdapterSizeMB))
	}
	return max(capacity, 0)
}

// findWorker returns the loop of a worker's present incarnation.
func (o *orderDispatcher) findWorker(id string, born int64) *controlledWorker {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.workers[id]
	if w == nil || w.worker.Born != born {
		return nil
	}
	return w
}

// loadAdapter waits until an adapter is loaded, or tells why it is not.
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

// waitingAdapters counts the adapters that wait for a slot of a worker.
func (o *orderDispatcher) waitingAdapters(id string, born int64) int {
	w := o.findWorker(id, born)
	if w == nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.waiters)
}

// reasonBusy refuses a load that would wait for too many others, or for a worker
// that can't be reached.
const reasonBusy = "too many adapters wait for the worker"

// loadRequest asks for an adapter at a worker.
type loadRequest struct {
	worker   string
	born     int64
	adapter  string
	rank     int
	deadline time.Duration
	// denied is set where the worker itself denied to hold the adapter.
	denied bool
}

// requestAdapter registers a wish; the channel tells whether the adapter is ready.
func (w *controlledWorker) requestAdapter(load loadRequest) <-chan bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := now()
	if load.denied {
		w.planner.Missing(at, load.adapter)
	}
	done := make(chan bool, 1)
	if w.stopped {
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
	default: // a wake-up is pending
	}
	return done
}

// failWaiters tells every waiter that its adapter is not coming.
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

// run gives orders while the right is held.
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

// runOnce reads a report where one is due and gives the next order; it tells
// whether there may be another.
func (w *controlledWorker) runOnce(ctx context.Context) bool {
	w.readReport(ctx)
	adapterUse := w.fleet.adapterUse(now(), w.worker.ID)
	w.mu.Lock()
	at := now()
	w.planner.Use(at, adapterUse)
	order, ok := w.planner.Next(at)
	w.publishSlots()
	w.mu.Unlock()
	if !ok {
		return false
	}
	w.sendOrder(ctx, order)
	return true
}

// publishSlots publishes the slots and wakes the waiters whose adapter is ready.
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
		w.fleet.setOwnSlots(w.worker.ID, slotState{born: w.worker.Born, usable: w.planner.Usable(), slots: w.planner.Slots()})
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
	w.mu.Lock()
	due := w.reportReadAt + reportInterval
	if w.planner.Expecting() {
		due = w.reportReadAt + pendingReportInterval
	}
	first := !w.planner.Synced()
	w.mu.Unlock()
	if at := now(); at < due && !first {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := w.orderer.Report(ctx, w.worker)
	w.mu.Lock()
	defer w.mu.Unlock()
	at := now()
	w.reportReadAt = at
	if err != nil {
		w.log.Warn(decision.ReportFailed, err).Str(decision.FieldWorker, w.worker.ID).Send()
		return
	}
	if report.Born != 0 && w.worker.Born != 0 && report.Born != w.worker.Born {
		return // the registry will tell of the restart
	}
	w.planner.Reported(at, report.Held)
}

// admitStoreLoad tells whether an order may be given as far as the weight store is
// concerned.
func (w *controlledWorker) admitStoreLoad(order slots.Order) bool {
	if !order.FromStore {
		return true
	}
	service, known := w.fleet.service(w.worker.Service)
	if !known || service.Engine == nil {
		return false
	}
	w.orderDispatcher.mu.Lock()
	defer w.orderDispatcher.mu.Unlock()
	return w.storeShare.Take(now(), service.Engine.StoreLoadsPerSecond, w.instanceCount())
}

// sendOrder gives one order where the right is still held.
func (w *controlledWorker) sendOrder(ctx context.Context, order slots.Order) {
	fence, held := w.rights.Held(w.right)
	result, err := slots.Rejected, error(nil)
	began := now()
	if held && w.admitStoreLoad(order) {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		result, err = w.orderer.Order(ctx, w.worker, order, fence)
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
		w.fleet.recordResult(at, w.worker.ID, false)
		defer w.failWaiters()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.planner.Ordered(at, result)
}
