package owner

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/residency"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/endpoint"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
)

// Settings of the take-over of a worker.
const (
	// claimTimeout limits each call to the engine during a take-over.
	claimTimeout = 2 * time.Second
	// adoptRetry is the delay after which a failed take-over is retried.
	adoptRetry = 250 * time.Millisecond
)

// authority is the state of this instance's right to a worker. Times are since
// the instance started. Owner.mu must be held to use it.
type authority struct {
	// adopted is set if the right is held and the adapters on the engine are
	// known.
	adopted bool
	// grantExpiry is when the last known grant of the right ends.
	grantExpiry time.Duration
	// handingOver is set during a hand-over: no new order is sent.
	handingOver bool
	// handedOver is set after a hand-over: until the right is acquired again,
	// no request is queued and no take-over is started.
	handedOver bool
	// generation increases with each change of the right and each repeated
	// take-over, so that the result of an abandoned take-over is recognised and
	// ignored.
	generation uint64
	// adoptingGeneration is the generation for which a take-over has been
	// started.
	adoptingGeneration uint64
	// ordersInProgress is the number of orders that have been sent and not
	// answered.
	ordersInProgress int
	// ordersDone is closed when ordersInProgress falls to 0. It is nil unless a
	// hand-over waits for that.
	ordersDone chan struct{}
	// protection holds the adapters that must not be evicted after the last
	// take-over, because requests of former holders may use them.
	protection residency.Protection
	// dispatched holds, by ID, the requests that were dispatched and have not
	// ended.
	dispatched map[uint64]pin
}

// pin is the use of an adapter by a request, which ends with the request's
// deadline at the latest.
type pin struct {
	adapter  table.AdapterVersion
	deadline time.Duration
}

// Acquired implements lease.Handler. Without a readable hand-over, no adapter
// is evicted until the last request that a former holder may have dispatched,
// within its serve grace, has reached its deadline.
func (o *Owner) Acquired(a ownership.Acquired) {
	w, known := o.workerFor(fleet.WorkerOf(a.Right))
	if !known {
		return
	}
	now := o.fleet.Now()
	protection := residency.Protection{All: now + o.config.ServeGrace + o.config.MaxDeadline}
	if a.Handed {
		protection = decodeHandOver(now, a.State, protection)
	}
	o.mu.Lock()
	w.authority.generation++
	w.authority.adopted, w.authority.handingOver, w.authority.handedOver = false, false, false
	w.authority.grantExpiry = a.Grant.Until
	w.authority.protection = protection
	o.mu.Unlock()
	o.startAdopt(w)
}

// Lost implements lease.Handler.
func (o *Owner) Lost(r ownership.Right) {
	w, known := o.workerFor(fleet.WorkerOf(r))
	if !known {
		return
	}
	o.mu.Lock()
	w.authority.generation++
	w.authority.adopted, w.authority.handingOver = false, false
	o.mu.Unlock()
	o.step(w, residency.Suspended{})
}

// HandOver implements lease.Handler. Waiting requests are rejected without
// having run. Requests in progress finish on this instance; the state that it
// returns tells the next holder which adapters they use, and until when.
func (o *Owner) HandOver(r ownership.Right) []byte {
	w, known := o.workerFor(fleet.WorkerOf(r))
	if !known {
		return nil
	}
	o.step(w, residency.Suspended{})
	<-o.stopOrders(w)
	o.mu.Lock()
	w.authority.handedOver = true
	state := encodeHandOver(o.fleet.Now(), w.authority)
	o.mu.Unlock()
	o.rejectWaiting(w)
	return state
}

// rejectWaiting rejects the waiting requests of a worker. They have not run, so
// that their senders may send them to another instance.
func (o *Owner) rejectWaiting(w *worker) {
	o.mu.Lock()
	waiting := w.waiting
	w.waiting = make(map[uint64]*waitingRequest)
	o.mu.Unlock()
	for id, t := range waiting {
		t.decided <- residency.Reject{ID: id, Reason: workerMoved}
		o.step(w, residency.Cancel{ID: id})
	}
}

// rejectIfUnservable rejects the waiting requests if the worker is leaving, or
// if this instance does not hold the right. In the second case it does so at
// once if the instance itself is leaving, and otherwise once ServeGrace has
// passed since the last known grant ended.
func (o *Owner) rejectIfUnservable(w *worker) {
	_, held := o.fleet.Held(ownership.WorkerRight(w.name))
	leaving := o.fleet.EndpointLeaving(w.name)
	if held && !leaving {
		return
	}
	o.mu.Lock()
	mayWait := !leaving && !o.fleet.Leaving() && o.fleet.Now() < w.authority.grantExpiry+o.config.ServeGrace
	waiting := len(w.waiting)
	o.mu.Unlock()
	if !mayWait && waiting > 0 {
		o.rejectWaiting(w)
	}
}

// stopOrders prevents new orders to the worker. The channel that it returns is
// closed once no order is in progress.
func (o *Owner) stopOrders(w *worker) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	w.authority.generation++
	w.authority.adopted, w.authority.handingOver = false, true
	done := make(chan struct{})
	if w.authority.ordersInProgress == 0 {
		close(done)
	} else {
		w.authority.ordersDone = done
	}
	return done
}

// workerMoved is the reason with which rejectWaiting rejects requests. Their
// senders get the code not_owner.
const workerMoved residency.Reason = "the worker has gone to another instance"

// startAdopt starts the take-over of a worker if its right is held and the
// take-over has not been started. No order is sent before it is complete.
func (o *Owner) startAdopt(w *worker) {
	if _, held := o.fleet.Held(ownership.WorkerRight(w.name)); !held {
		return
	}
	o.mu.Lock()
	generation := w.authority.generation
	needed := !w.authority.adopted && !w.authority.handingOver && !w.authority.handedOver && w.authority.adoptingGeneration != generation
	if needed {
		w.authority.adoptingGeneration = generation
	}
	o.mu.Unlock()
	if needed {
		o.submitAdopt(w, generation)
	}
}

func (o *Owner) submitAdopt(w *worker, generation uint64) {
	if err := o.loads.Submit(func() { o.adopt(w, generation) }); err != nil {
		o.log.Error().Err(err).Str("event", "adopt_not_started").Str("worker", w.name).Send()
	}
}

// adopt takes a worker over: it tells the state machine which adapters the
// engine holds. A failed take-over is retried after adoptRetry.
func (o *Owner) adopt(w *worker, generation uint64) {
	resident, err := o.claim(w)
	o.mu.Lock()
	current := w.authority.generation == generation
	protection := w.authority.protection
	if current && err == nil {
		w.authority.adopted = true
	}
	o.mu.Unlock()
	switch {
	case !current:
	case err != nil:
		o.log.Warn().Err(err).Str("event", "adopt_failed").Str("worker", w.name).Send()
		time.AfterFunc(adoptRetry, func() { o.submitAdopt(w, generation) })
	default:
		o.step(w, residency.Adopted{Resident: resident, Protection: protection})
		o.log.Info().Str("event", "adopted").Str("worker", w.name).Int("resident", len(resident)).Send()
	}
}

// claim makes the engine refuse the orders of former holders, if it supports
// fencing, and returns the adapters that the engine holds. The right must still
// be held, else the error is errNotHeld.
func (o *Owner) claim(w *worker) ([]table.AdapterVersion, error) {
	grant, held := o.fleet.Held(ownership.WorkerRight(w.name))
	if !held {
		return nil, errNotHeld
	}
	address, fencing := o.endpointOf(w)
	if fencing {
		if err := o.client.Claim(address, grant.Fence, claimTimeout); err != nil {
			o.handleFenced(w, err)
			return nil, err
		}
	}
	return o.client.Resident(address, claimTimeout)
}

// errNotHeld is returned if this instance does not hold the right to order the
// worker.
var errNotHeld = errors.New("the right to order the worker is not held")

// handleFenced reports whether err is an engine's refusal of an old fencing
// token. It passes on the newer token that the engine named.
func (o *Owner) handleFenced(w *worker, err error) bool {
	var fencedError *endpoint.FencedError
	if !errors.As(err, &fencedError) {
		return false
	}
	o.log.Warn().Str("event", "order_fenced").Str("worker", w.name).Uint64("taken", fencedError.Fence).Send()
	o.fenceObserver.FenceSeen(ownership.WorkerRight(w.name), fencedError.Fence)
	return true
}

// readopt stops the loads of a worker and takes it over again. It is called
// when the engine appears to have restarted, when it has accepted orders from
// another instance, and when an eviction has failed.
func (o *Owner) readopt(w *worker) {
	o.mu.Lock()
	w.authority.adopted = false
	w.authority.generation++
	o.mu.Unlock()
	o.step(w, residency.Suspended{})
	o.startAdopt(w)
}

// beginOrder returns the fencing token with which an order may be sent now, or
// errNotHeld if the right is not held or the take-over is not complete. Without
// an error, the caller must call endOrder when the order is complete.
func (o *Owner) beginOrder(w *worker) (uint64, error) {
	grant, held := o.fleet.Held(ownership.WorkerRight(w.name))
	o.mu.Lock()
	defer o.mu.Unlock()
	if !held || !w.authority.adopted {
		return 0, errNotHeld
	}
	w.authority.grantExpiry = max(w.authority.grantExpiry, grant.Until)
	w.authority.ordersInProgress++
	return grant.Fence, nil
}

func (o *Owner) endOrder(w *worker) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w.authority.ordersInProgress--
	if w.authority.ordersInProgress == 0 && w.authority.ordersDone != nil {
		close(w.authority.ordersDone)
		w.authority.ordersDone = nil
	}
}

// checkDispatch returns an error if a request may not be sent to the worker
// now. It may be sent while the right is held and for ServeGrace after it,
// because the next holder evicts nothing during that time.
func (o *Owner) checkDispatch(w *worker, id uint64) error {
	grant, held := o.fleet.Held(ownership.WorkerRight(w.name))
	now := o.fleet.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if held {
		w.authority.grantExpiry = max(w.authority.grantExpiry, grant.Until)
	}
	_, dispatched := w.authority.dispatched[id]
	if !dispatched || now >= w.authority.grantExpiry+o.config.ServeGrace {
		return notRunError(fasthttp.StatusMisdirectedRequest, "not_owner", fmt.Errorf("%s: %w", w.name, errNotHeld))
	}
	return nil
}
