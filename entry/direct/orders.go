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
	// reportEvery is the interval between reports of a worker in which nothing
	// is expected to change; reports are priced.
	reportEvery = 3 * time.Second
	// reportSoon is the interval while the end of an order is waited for.
	reportSoon = 150 * time.Millisecond
	// useEvery is the interval at which the use of adapters is looked at.
	useEvery = 100 * time.Millisecond
)

// rights tells which orders this instance may give.
type rights interface {
	Held(right string) (fence uint64, ok bool)
}

// orders gives orders to the workers whose right this instance holds.
type orders struct {
	fleet  *fleet
	rights rights
	// members counts the instances that share the weight store.
	members func() int
	orderer Orderer
	log     *decision.Log
	metrics *metrics

	mu      sync.Mutex
	workers map[string]*orderedWorker
	share   *slots.StoreShare
}

func newOrders(f *fleet, r rights, members func() int, o Orderer, log *decision.Log, m *metrics) *orders {
	return &orders{
		fleet: f, rights: r, members: members, orderer: o, log: log, metrics: m, workers: make(map[string]*orderedWorker),
		share: slots.NewStoreShare(now()),
	}
}

// orderedWorker is one worker that this instance orders.
type orderedWorker struct {
	*orders
	worker worker.Worker
	right  string
	cancel context.CancelFunc
	wake   chan struct{}

	mu       sync.Mutex
	planner  *slots.Planner
	waiters  map[string][]chan bool
	reported time.Duration
	stopped  bool
}

// refresh starts and stops the loops of workers by the rights that are held.
func (o *orders) refresh(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	wanted := make(map[string]bool)
	for _, w := range o.fleet.allWorkers() {
		service, known := o.fleet.service(w.Service)
		if !known || service.Engine == nil || len(service.Engine.Models) == 0 || w.Draining {
			continue
		}
		right := rightOf(&w)
		if _, held := o.rights.Held(right); !held {
			continue
		}
		wanted[w.ID] = true
		running := o.workers[w.ID]
		if running != nil && running.worker.Born == w.Born && running.worker.Address == w.Address {
			continue
		}
		if running != nil {
			running.cancel()
		}
		o.start(ctx, w, right, service.Engine)
	}
	for id, running := range o.workers {
		if !wanted[id] {
			running.cancel()
			delete(o.workers, id)
			o.fleet.dropMine(id)
		}
	}
}

func (o *orders) start(ctx context.Context, w worker.Worker, right string, engine *routing.Engine) {
	ctx, cancel := context.WithCancel(ctx)
	model := engine.Models[0]
	ordered := &orderedWorker{
		orders: o, worker: w, right: right, cancel: cancel, wake: make(chan struct{}, 1),
		planner: slots.NewPlanner(slots.DefaultConfig(capacityOf(engine, model)), model.Name, model.StoreLoad),
		waiters: make(map[string][]chan bool),
	}
	o.workers[w.ID] = ordered
	go ordered.run(ctx)
}

// capacityOf is the number of adapters that fit beside a model.
func capacityOf(engine *routing.Engine, model routing.Model) int {
	capacity := engine.AdapterSlots
	if model.AdapterSizeMB > 0 && engine.WeightsMB > 0 {
		capacity = min(capacity, int((engine.WeightsMB-model.SizeMB)/model.AdapterSizeMB))
	}
	return max(capacity, 0)
}

// find returns the loop of a worker's present incarnation.
func (o *orders) find(id string, born int64) *orderedWorker {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.workers[id]
	if w == nil || w.worker.Born != born {
		return nil
	}
	return w
}

// load waits until an adapter is loaded, or tells why it is not.
func (o *orders) load(ctx context.Context, want loadWant) (bool, string) {
	w := o.find(want.worker, want.born)
	if w == nil {
		return false, "this instance does not order the worker"
	}
	done := w.want(want)
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

// waiting counts the adapters that wait for a slot of a worker.
func (o *orders) waiting(id string, born int64) int {
	w := o.find(id, born)
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

// loadWant asks for an adapter at a worker.
type loadWant struct {
	worker  string
	born    int64
	adapter string
	rank    int
	until   time.Duration
	// missing is set where the worker itself denied to hold the adapter.
	missing bool
}

// want registers a wish; the channel tells whether the adapter is ready.
func (w *orderedWorker) want(want loadWant) <-chan bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := now()
	if want.missing {
		w.planner.MarkMissing(at, want.adapter)
	}
	done := make(chan bool, 1)
	if w.stopped {
		done <- false
		return done
	}
	if w.planner.Ready(want.adapter) {
		done <- true
		return done
	}
	if !w.planner.Accepts(want.adapter, want.rank, want.until-at) {
		done <- false
		return done
	}
	w.planner.Want(at, want.adapter, want.rank, want.until)
	w.waiters[want.adapter] = append(w.waiters[want.adapter], done)
	select {
	case w.wake <- struct{}{}:
	default: // a wake-up is pending
	}
	return done
}

// abandon tells every waiter that its adapter is not coming.
func (w *orderedWorker) abandon() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for adapter, waiting := range w.waiters {
		for _, done := range waiting {
			done <- false
		}
		delete(w.waiters, adapter)
	}
}

func (w *orderedWorker) stop() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.abandon()
}

// run gives orders while the right is held.
func (w *orderedWorker) run(ctx context.Context) {
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
		for w.step(ctx) {
			if ctx.Err() != nil {
				return
			}
		}
		timer.Reset(w.pause())
	}
}

// step reads a report where one is due and gives the next order; it tells
// whether there may be another.
func (w *orderedWorker) step(ctx context.Context) bool {
	w.readReport(ctx)
	used := w.fleet.usage(now(), w.worker.ID)
	w.mu.Lock()
	at := now()
	w.planner.SetRunning(at, used)
	order, ok := w.planner.Next(at)
	w.announce()
	w.mu.Unlock()
	if !ok {
		return false
	}
	w.send(ctx, order)
	return true
}

// announce publishes the slots and wakes the waiters whose adapter is ready.
func (w *orderedWorker) announce() {
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
		w.fleet.setMine(w.worker.ID, slotNews{born: w.worker.Born, usable: w.planner.Usable(), slots: w.planner.Slots()})
	}
}

func (w *orderedWorker) pause() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := now()
	wait := useEvery
	if next := w.planner.NextEvent(at); next > at {
		wait = min(wait, next-at)
	}
	return max(wait, time.Millisecond)
}

func (w *orderedWorker) readReport(ctx context.Context) {
	w.mu.Lock()
	due := w.reported + reportEvery
	if w.planner.AwaitsReport() {
		due = w.reported + reportSoon
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
	w.reported = at
	if err != nil {
		w.log.Warn(decision.ReportFailed, err).Str(decision.FieldWorker, w.worker.ID).Send()
		return
	}
	if report.Born != 0 && w.worker.Born != 0 && report.Born != w.worker.Born {
		return // the registry will tell of the restart
	}
	w.planner.HandleReport(at, report.Held)
}

// storeAllows tells whether an order may be given as far as the weight store is
// concerned.
func (w *orderedWorker) storeAllows(order slots.Order) bool {
	if !order.FromStore {
		return true
	}
	service, known := w.fleet.service(w.worker.Service)
	if !known || service.Engine == nil {
		return false
	}
	w.orders.mu.Lock()
	defer w.orders.mu.Unlock()
	return w.share.Take(now(), service.Engine.StoreLoadsPerSecond, w.members())
}

// send gives one order where the right is still held.
func (w *orderedWorker) send(ctx context.Context, order slots.Order) {
	fence, held := w.rights.Held(w.right)
	result, err := slots.Rejected, error(nil)
	began := now()
	if held && w.storeAllows(order) {
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
	w.metrics.ordered(order, result, at-began)
	if result == slots.Unreachable {
		w.fleet.observe(at, w.worker.ID, false)
		defer w.abandon()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.planner.HandleResult(at, result)
}
