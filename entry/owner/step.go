package owner

import (
	"errors"
	"io"
	"math/rand/v2"
	"sync"

	"github.com/bulrushwick/bulrushwick/coord/residency"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// step applies an event to a worker and carries out the actions.
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
		delete(w.tickets, e.ID)
	case residency.Finished:
		delete(w.auth.sent, e.ID)
	}
	resident := w.machine.Resident()
	o.mu.Unlock()
	o.fleet.SetResident(w.name, resident)
	for _, order := range orders {
		o.order(w, order)
	}
	for _, id := range abandoned {
		o.step(w, residency.Finished{ID: id})
	}
}

// decide hands a decision to the waiting request and tells whether it still
// waits. A dispatched request uses its adapter from here on.
func (w *worker) decide(id uint64, action residency.Action) bool {
	t, found := w.tickets[id]
	if !found {
		return false
	}
	if _, dispatched := action.(residency.Dispatch); dispatched {
		w.auth.sent[id] = t.pin
	}
	t.decided <- action
	delete(w.tickets, id)
	return true
}

// order carries out a load on the loads pool.
func (o *Owner) order(w *worker, order residency.Load) {
	err := o.loads.Submit(func() { o.load(w, order) })
	if err != nil {
		o.log.Error().Err(err).Str("event", "load_not_started").Str("worker", w.name).Send()
		go o.step(w, residency.LoadSkipped{Order: order})
	}
}

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
	fenced := o.fenced(w, err)
	if fenced || errors.Is(err, errNotHeld) {
		o.step(w, residency.LoadSkipped{Order: order})
	} else {
		o.step(w, residency.LoadFailed{Adapter: order.Adapter, Jitter: rand.Float64()})
	}
	if fenced || order.Evict != nil {
		o.readopt(w)
	}
}

// evict unloads the adapter that the order names, and then names it no more.
func (o *Owner) evict(w *worker, order *residency.Load) error {
	if order.Evict == nil {
		return nil
	}
	address, _ := o.at(w)
	err := o.send(w, func(fence uint64) error {
		return o.client.Unload(address, *order.Evict, fence, loadTimeout)
	})
	if err == nil {
		order.Evict = nil
		o.telemetry.Evicted()
	}
	return err
}

func (o *Owner) fetch(w *worker, adapter table.AdapterVersion) error {
	address, _ := o.at(w)
	hop := o.telemetry.Load(o.traceOf(w, adapter), w.name, adapter)
	err := o.send(w, func(fence uint64) error {
		return o.client.Load(address, adapter, fence, loadTimeout)
	})
	hop.End(err)
	return err
}

// send sends one order with the fencing number of the right that is held now.
func (o *Owner) send(w *worker, order func(fence uint64) error) error {
	fence, err := o.beginOrder(w)
	if err != nil {
		return err
	}
	defer o.endOrder(w)
	return order(fence)
}

// at returns a worker's address and whether it refuses old fencing numbers.
func (o *Owner) at(w *worker) (address string, fencing bool) {
	endpoint, pool, found := o.fleet.Table().Endpoint(w.name)
	if !found {
		return "", false
	}
	return endpoint.Address, pool.Fencing
}

// Tick lets time pass on every worker.
func (o *Owner) Tick() {
	o.shareStore()
	o.mu.Lock()
	workers := make([]*worker, 0, len(o.workers))
	for _, w := range o.workers {
		workers = append(workers, w)
	}
	o.mu.Unlock()
	for _, w := range workers {
		o.startAdopt(w)
		o.giveUp(w)
		o.step(w, residency.Tick{})
	}
}

// Summary is what an owner tells its peers of a worker.
type Summary struct {
	Worker   string
	Waiting  int
	Running  int
	Resident []table.AdapterVersion
}

// Summaries describes every worker served so far.
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

// pinned releases the adapter's pin when the answer's body is closed.
type pinned struct {
	io.ReadCloser
	release func()
	once    sync.Once
}

// Close implements io.Closer.
func (p *pinned) Close() error {
	err := p.ReadCloser.Close()
	p.once.Do(p.release)
	return err
}
