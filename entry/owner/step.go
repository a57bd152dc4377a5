package owner

import (
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
	for _, action := range actions {
		switch a := action.(type) {
		case residency.Load:
			orders = append(orders, a)
		case residency.Dispatch:
			w.decide(a.ID, a)
		case residency.Reject:
			w.decide(a.ID, a)
		}
	}
	if cancelled, is := event.(residency.Cancel); is {
		delete(w.tickets, cancelled.ID)
	}
	resident := w.machine.Resident()
	o.mu.Unlock()
	o.fleet.ReportResident(w.name, resident)
	for _, order := range orders {
		o.order(w, order)
	}
}

// decide hands a decision to the waiting request.
func (w *worker) decide(id uint64, action residency.Action) {
	if t, found := w.tickets[id]; found {
		t.decided <- action
		delete(w.tickets, id)
	}
}

// order carries out a load on the loads pool.
func (o *Owner) order(w *worker, order residency.Load) {
	err := o.loads.Submit(func() { o.load(w, order) })
	if err != nil {
		o.log.Error().Err(err).Str("event", "load_not_started").Str("worker", w.name).Send()
		go o.step(w, residency.LoadFailed{Adapter: order.Adapter, Jitter: rand.Float64()})
	}
}

func (o *Owner) load(w *worker, order residency.Load) {
	if order.Evict != nil {
		if err := o.client.Unload(w.address, *order.Evict, 0, loadTimeout); err != nil {
			o.log.Warn().Err(err).Str("event", "unload_failed").Str("worker", w.name).Send()
		} else {
			o.telemetry.Evicted()
		}
	}
	hop := o.telemetry.Load(o.traceOf(w, order.Adapter), w.name, order.Adapter)
	err := o.client.Load(w.address, order.Adapter, 0, loadTimeout)
	hop.End(err)
	if err != nil {
		o.log.Warn().Err(err).Str("event", "load_failed").Str("worker", w.name).Send()
		o.step(w, residency.LoadFailed{Adapter: order.Adapter, Jitter: rand.Float64()})
		return
	}
	o.step(w, residency.Loaded{Adapter: order.Adapter})
}

// Tick lets time pass on every worker.
func (o *Owner) Tick() {
	o.mu.Lock()
	workers := make([]*worker, 0, len(o.workers))
	for _, w := range o.workers {
		workers = append(workers, w)
	}
	o.mu.Unlock()
	for _, w := range workers {
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
