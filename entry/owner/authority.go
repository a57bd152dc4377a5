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

// Timeouts of taking a worker over.
const (
	claimTimeout = 2 * time.Second
	adoptRetry   = 250 * time.Millisecond
)

// authority is what an instance may do with a worker.
type authority struct {
	// adopted says that the right is held and the engine's adapters are known.
	adopted bool
	// until is when the last known grant ends.
	until time.Duration
	// handing says that a hand-over waits for the orders in progress.
	handing bool
	// closed says that the worker has been handed over: nothing more is sent.
	closed bool
	// round grows with each change of holder, so that a late answer of a
	// take-over that was given up is recognised.
	round uint64
	// adopting is the round for which a take-over has begun.
	adopting uint64
	// orders is the number of orders in progress.
	orders int
	// idle is closed when orders falls to 0, or nil.
	idle chan struct{}
	// protect is what may not be evicted after the last take-over.
	protect residency.Protection
	// sent holds the requests that were dispatched and are not over.
	sent map[uint64]pin
}

// pin is a request that uses an adapter until its deadline at the latest.
type pin struct {
	adapter  table.AdapterVersion
	deadline time.Duration
}

// Acquired implements lease.Handler.
func (o *Owner) Acquired(a ownership.Acquired) {
	w, known := o.known(fleet.WorkerOf(a.Right))
	if !known {
		return
	}
	now := o.fleet.Now()
	protect := residency.Protection{All: now + o.config.ServeGrace + o.config.MaxDeadline}
	if a.Handed {
		protect = decodeHandOver(now, a.State, protect)
	}
	o.mu.Lock()
	w.auth.round++
	w.auth.adopted, w.auth.handing, w.auth.closed = false, false, false
	w.auth.until = a.Grant.Until
	w.auth.protect = protect
	o.mu.Unlock()
	o.startAdopt(w)
}

// Lost implements lease.Handler.
func (o *Owner) Lost(r ownership.Right) {
	w, known := o.known(fleet.WorkerOf(r))
	if !known {
		return
	}
	o.mu.Lock()
	w.auth.round++
	w.auth.adopted, w.auth.handing = false, false
	o.mu.Unlock()
	o.step(w, residency.Suspended{})
}

// HandOver implements lease.Handler. Requests that wait are sent back, proved
// not run; those in progress finish here, and their adapters are passed on.
func (o *Owner) HandOver(r ownership.Right) []byte {
	w, known := o.known(fleet.WorkerOf(r))
	if !known {
		return nil
	}
	o.step(w, residency.Suspended{})
	<-o.idle(w)
	o.mu.Lock()
	w.auth.closed = true
	state := encodeHandOver(o.fleet.Now(), w.auth)
	o.mu.Unlock()
	o.sendBack(w)
	return state
}

// sendBack ends the requests that wait, proved not run; whoever sent them asks
// another.
func (o *Owner) sendBack(w *worker) {
	o.mu.Lock()
	waiting := w.tickets
	w.tickets = make(map[uint64]*ticket)
	o.mu.Unlock()
	for id, t := range waiting {
		t.decided <- residency.Reject{ID: id, Reason: movedAway}
		o.step(w, residency.Cancel{ID: id})
	}
}

// giveUp sends the requests back that wait for a worker which is leaving, or for
// a right which this instance does not hold: at once where it leaves itself, else
// after the serve grace.
func (o *Owner) giveUp(w *worker) {
	_, held := o.fleet.Held(ownership.WorkerRight(w.name))
	gone := o.fleet.EndpointLeaving(w.name)
	if held && !gone {
		return
	}
	o.mu.Lock()
	patient := !gone && !o.fleet.Leaving() && o.fleet.Now() < w.auth.until+o.config.ServeGrace
	waiting := len(w.tickets)
	o.mu.Unlock()
	if !patient && waiting > 0 {
		o.sendBack(w)
	}
}

// idle begins no further order and returns a channel that is closed when none is
// in progress.
func (o *Owner) idle(w *worker) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	w.auth.round++
	w.auth.adopted, w.auth.handing = false, true
	idle := make(chan struct{})
	if w.auth.orders == 0 {
		close(idle)
	} else {
		w.auth.idle = idle
	}
	return idle
}

// movedAway rejects a request whose worker has gone to another instance.
const movedAway residency.Reason = "the worker has gone to another instance"

// startAdopt learns what the engine holds before the first order, where the
// right is held and that has not begun.
func (o *Owner) startAdopt(w *worker) {
	if _, held := o.fleet.Held(ownership.WorkerRight(w.name)); !held {
		return
	}
	o.mu.Lock()
	round := w.auth.round
	needed := !w.auth.adopted && !w.auth.handing && !w.auth.closed && w.auth.adopting != round
	if needed {
		w.auth.adopting = round
	}
	o.mu.Unlock()
	if needed {
		o.submitAdopt(w, round)
	}
}

func (o *Owner) submitAdopt(w *worker, round uint64) {
	if err := o.loads.Submit(func() { o.adopt(w, round) }); err != nil {
		o.log.Error().Err(err).Str("event", "adopt_not_started").Str("worker", w.name).Send()
	}
}

func (o *Owner) adopt(w *worker, round uint64) {
	resident, err := o.claim(w)
	o.mu.Lock()
	current := w.auth.round == round
	protect := w.auth.protect
	if current && err == nil {
		w.auth.adopted = true
	}
	o.mu.Unlock()
	switch {
	case !current:
	case err != nil:
		o.log.Warn().Err(err).Str("event", "adopt_failed").Str("worker", w.name).Send()
		time.AfterFunc(adoptRetry, func() { o.submitAdopt(w, round) })
	default:
		o.step(w, residency.Adopted{Resident: resident, Protection: protect})
		o.log.Info().Str("event", "adopted").Str("worker", w.name).Int("resident", len(resident)).Send()
	}
}

// claim makes the engine refuse older holders and returns what it holds.
func (o *Owner) claim(w *worker) ([]table.AdapterVersion, error) {
	grant, held := o.fleet.Held(ownership.WorkerRight(w.name))
	if !held {
		return nil, errNotHeld
	}
	address, fencing := o.at(w)
	if fencing {
		if err := o.client.Claim(address, grant.Fence, claimTimeout); err != nil {
			o.fenced(w, err)
			return nil, err
		}
	}
	return o.client.Resident(address, claimTimeout)
}

// errNotHeld says that the right to order a worker is not held.
var errNotHeld = errors.New("the right to order the worker is not held")

// fenced passes on the number that an engine refused an order with.
func (o *Owner) fenced(w *worker, err error) bool {
	var refused *endpoint.FencedError
	if !errors.As(err, &refused) {
		return false
	}
	o.log.Warn().Str("event", "order_fenced").Str("worker", w.name).Uint64("taken", refused.Fence).Send()
	o.fences.FenceSeen(ownership.WorkerRight(w.name), refused.Fence)
	return true
}

// readopt stops loading until the engine's adapters are known anew, after a sign
// that it has restarted, has taken orders of another or can't be ordered.
func (o *Owner) readopt(w *worker) {
	o.mu.Lock()
	w.auth.adopted = false
	w.auth.round++
	o.mu.Unlock()
	o.step(w, residency.Suspended{})
	o.startAdopt(w)
}

// beginOrder tells whether an order may be sent now, with its fencing number.
// endOrder must follow.
func (o *Owner) beginOrder(w *worker) (uint64, error) {
	grant, held := o.fleet.Held(ownership.WorkerRight(w.name))
	o.mu.Lock()
	defer o.mu.Unlock()
	if !held || !w.auth.adopted {
		return 0, errNotHeld
	}
	w.auth.until = max(w.auth.until, grant.Until)
	w.auth.orders++
	return grant.Fence, nil
}

func (o *Owner) endOrder(w *worker) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w.auth.orders--
	if w.auth.orders == 0 && w.auth.idle != nil {
		close(w.auth.idle)
		w.auth.idle = nil
	}
}

// mayDispatch tells whether a request may be sent to the worker now: while the
// right is held and for a grace after it, in which no other holder evicts.
func (o *Owner) mayDispatch(w *worker, id uint64) error {
	grant, held := o.fleet.Held(ownership.WorkerRight(w.name))
	now := o.fleet.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if held {
		w.auth.until = max(w.auth.until, grant.Until)
	}
	_, pinned := w.auth.sent[id]
	if !pinned || now >= w.auth.until+o.config.ServeGrace {
		return notRun(fasthttp.StatusMisdirectedRequest, "not_owner", fmt.Errorf("%s: %w", w.name, errNotHeld))
	}
	return nil
}
