package direct

import (
	"context"
	"sync"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/coord/slots"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/decision"
)

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
	if !w.planner.Accepts(load.adapter, load.priority, load.deadline-at) {
		done <- false
		return done
	}
	w.planner.Want(at, load.adapter, load.priority, load.deadline)
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
