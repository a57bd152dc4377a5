package owner

import (
	"errors"
	"io"
	"math/rand/v2"
	"sync"

	"github.com/bulrushwick/bulrushwick/coord/residency"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// step applies an event to a worker's state machine and carries out the
// resulting actions.
func (o *Owner) step(w *worker, event residency.Event) {
	o.mu.Lock()
	actions := w.machine.Step(o.fleet.Now(), event)
	var orders []residency.Load
	var abandoned []uint64
	for _, action := range actions {
		switch a := action.(type) {
		case residency.Load:
			orders = append(orders, a)
		case residency.Dispatch:
			if !w.decide(a.ID, a) {
				abandoned = append(abandoned, a.ID)
			}
		case residency.Reject:
			w.decide(a.ID, a)
		}
	}
	switch e := event.(type) {
	case residency.Cancel:
		delete(w.waiting, e.ID)
	case residency.Finished:
		delete(w.authority.dispatched, e.ID)
	}
	resident := w.machine.Resident()
	o.mu.Unlock()
	o.fleet.SetResident(w.name, resident)
	for _, order := range orders {
		o.submitLoad(w, order)
	}
	for _, id := range abandoned {
		o.step(w, residency.Finished{ID: id})
	}
}

// decide passes a decision to the waiting request and reports whether the
// request was still waiting. A dispatched request pins its adapter from then
// on.
func (w *worker) decide(id uint64, action residency.Action) bool {
	t, found := w.waiting[id]
	if !found {
		return false
	}
	if _, dispatched := action.(residency.Dispatch); dispatched {
		w.authority.dispatched[id] = t.pin
	}
	t.decided <- action
	delete(w.waiting, id)
	return true
}

// submitLoad carries out a load on the loads pool.
func (o *Owner) submitLoad(w *worker, order residency.Load) {
	err := o.loads.Submit(func() { o.load(w, order) })
	if err != nil {
		o.log.Error().Err(err).Str("event", "load_not_started").Str("worker", w.name).Send()
		go o.step(w, residency.LoadSkipped{Order: order})
	}
}

// load carries out a load, with the eviction that precedes it, and reports the
// result to the state machine.
func (o *Owner) load(w *worker, order residency.Load) {
	err := o.evict(w, &order)
	if err == nil {
		err = o.fetch(w, order.Adapter)
	}
	if err == nil {
		o.step(w, residency.Loaded{Adapter: order.Adapter})
		return
	}
	o.log.Warn().Err(err).Str("event", "load_failed").Str("worker", w.name).Send()
	fenced := o.handleFenced(w, err)
	if fenced || errors.Is(err, errNotHeld) {
		o.step(w, residency.LoadSkipped{Order: order})
	} else {
		o.step(w, residency.LoadFailed{Adapter: order.Adapter, Jitter: rand.Float64()})
	}
	if fenced || order.Evict != nil {
		o.readopt(w)
	}
}

// evict unloads the adapter that the order's Evict names, if there is one, and
// then clears Evict.
func (o *Owner) evict(w *worker, order *residency.Load) error {
	if order.Evict == nil {
		return nil
	}
	address, _ := o.endpointOf(w)
	err := o.sendOrder(w, func(fence uint64) error {
		return o.client.Unload(address, *order.Evict, fence, loadTimeout)
	})
	if err == nil {
		order.Evict = nil
		o.telemetry.Evicted()
	}
	return err
}

// fetch orders the engine to load an adapter.
func (o *Owner) fetch(w *worker, adapter table.AdapterVersion) error {
	address, _ := o.endpointOf(w)
	hop := o.telemetry.Load(o.traceOf(w, adapter), w.name, adapter)
	err := o.sendOrder(w, func(fence uint64) error {
		return o.client.Load(address, adapter, fence, loadTimeout)
	})
	hop.End(err)
	return err
}

// sendOrder sends one order with the fencing token of the right that is held
// now. The error is errNotHeld if the right is not held.
func (o *Owner) sendOrder(w *worker, order func(fence uint64) error) error {
	fence, err := o.beginOrder(w)
	if err != nil {
		return err
	}
	defer o.endOrder(w)
	return order(fence)
}

// endpointOf returns a worker's address, and whether its pool's engines refuse
// orders with an old fencing token. The address is empty if the table no longer
// lists the worker.
func (o *Owner) endpointOf(w *worker) (address string, fencing bool) {
	endpoint, pool, found := o.fleet.Table().Endpoint(w.name)
	if !found {
		return "", false
	}
	return endpoint.Address, pool.Fencing
}

// Tick performs the periodic work: it updates the share of the weight store,
// starts take-overs, rejects requests that cannot be served here, and lets time
// pass in the workers' state machines.
func (o *Owner) Tick() {
	o.updateStoreShare()
	o.mu.Lock()
	workers := make([]*worker, 0, len(o.workers))
	for _, w := range o.workers {
		workers = append(workers, w)
	}
	o.mu.Unlock()
	for _, w := range workers {
		o.startAdopt(w)
		o.rejectIfUnservable(w)
		o.step(w, residency.Tick{})
	}
}

// Summary describes the state of one worker. It is sent to the peers.
type Summary struct {
	Worker   string
	Waiting  int
	Running  int
	Resident []table.AdapterVersion
}

// Summaries returns the state of every worker that has been used so far, in no
// order.
func (o *Owner) Summaries() []Summary {
	o.mu.Lock()
	defer o.mu.Unlock()
	summaries := make([]Summary, 0, len(o.workers))
	for _, w := range o.workers {
		summaries = append(summaries, Summary{
			Worker:   w.name,
			Waiting:  w.machine.Waiting(),
			Running:  w.machine.Running(),
			Resident: w.machine.Resident(),
		})
	}
	return summaries
}

// pinnedBody is a response body that unpins the adapter when it is closed.
type pinnedBody struct {
	io.ReadCloser
	release func()
	once    sync.Once
}

// Close implements io.Closer.
func (p *pinnedBody) Close() error {
	err := p.ReadCloser.Close()
	p.once.Do(p.release)
	return err
}
