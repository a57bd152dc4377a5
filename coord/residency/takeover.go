package residency

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Protection holds the times until which adapters must not be evicted because
// requests of the former holder of the right may still use them. Times are since
// the process started.
type Protection struct {
	// All applies to every adapter that is resident at the take-over.
	All time.Duration
	// Adapters holds later times for single adapters.
	Adapters map[table.AdapterVersion]time.Duration
}

// Adopted reports that this instance holds the right to send orders to the worker,
// and which adapters the worker holds.
type Adopted struct {
	Resident   []table.AdapterVersion
	Protection Protection
}

// Suspended reports that this instance no longer holds the right to send orders to
// the worker. Requests still run on resident adapters, but nothing is loaded or
// evicted until Adopted.
type Suspended struct{}

// LoadSkipped reports that a load was not attempted. Order.Evict is set only if
// that adapter was not unloaded either.
type LoadSkipped struct{ Order Load }

func (Adopted) isEvent()     {}
func (Suspended) isEvent()   {}
func (LoadSkipped) isEvent() {}

// adopt makes the ready slots match the adapters that the worker holds. Requests in
// progress keep their pins, and a load in progress keeps its slot.
func (w *Worker) adopt(now time.Duration, e Adopted) {
	w.suspended = false
	resident := make(map[table.AdapterVersion]bool, len(e.Resident))
	for _, adapter := range e.Resident {
		resident[adapter] = true
		w.markResident(now, adapter)
	}
	for adapter, s := range w.slots {
		switch {
		case resident[adapter]:
			s.protectedUntil = max(e.Protection.All, e.Protection.Adapters[adapter])
		case s.ready:
			w.freeSlot(now, adapter)
		}
	}
}

// markResident records that the worker holds an adapter.
func (w *Worker) markResident(now time.Duration, adapter table.AdapterVersion) {
	if _, known := w.slots[adapter]; known {
		return
	}
	if load, found := w.pending.byAdapter[adapter]; found {
		w.pending.remove(load)
	}
	w.slots[adapter] = &slot{ready: true, readyAt: now}
	w.queue.SetReady(adapter)
}

// abandon frees the slot of a load that was not attempted, and suspends the worker
// until Adopted.
func (w *Worker) abandon(now time.Duration, order Load) {
	w.suspended = true
	if s, found := w.slots[order.Adapter]; found && !s.ready {
		w.freeSlot(now, order.Adapter)
	}
	if order.Evict != nil {
		w.markResident(now, *order.Evict)
	}
}
