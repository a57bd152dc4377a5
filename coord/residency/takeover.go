package residency

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Protection says until when adapters may not be evicted because requests of a
// former holder may use them. Times are since start.
type Protection struct {
	// All protects every adapter that was resident at the take-over.
	All time.Duration
	// Adapters protects single ones for longer.
	Adapters map[table.AdapterVersion]time.Duration
}

// Adopted reports that the right to order the worker is held and which adapters
// the worker holds.
type Adopted struct {
	Resident   []table.AdapterVersion
	Protection Protection
}

// Suspended reports that the right to order the worker is no longer held: what
// is resident is used on, and nothing is loaded or evicted until Adopted.
type Suspended struct{}

// Abandoned reports that a load was not tried. Evict is set where the adapter
// was not unloaded either.
type Abandoned struct{ Order Load }

func (Adopted) isEvent()   {}
func (Suspended) isEvent() {}
func (Abandoned) isEvent() {}

// adopt replaces the ready slots by what the worker holds. Requests in progress
// keep their pins, and a load in progress its slot.
func (w *Worker) adopt(now time.Duration, e Adopted) {
	w.suspended = false
	resident := make(map[table.AdapterVersion]bool, len(e.Resident))
	for _, adapter := range e.Resident {
		resident[adapter] = true
		w.occupy(now, adapter)
	}
	for adapter, s := range w.slots {
		switch {
		case resident[adapter]:
			s.protected = max(e.Protection.All, e.Protection.Adapters[adapter])
		case s.ready:
			w.empty(now, adapter)
		}
	}
}

// occupy notes that the worker holds an adapter.
func (w *Worker) occupy(now time.Duration, adapter table.AdapterVersion) {
	if _, known := w.slots[adapter]; known {
		return
	}
	if waiting, wanted := w.wants.byName[adapter]; wanted {
		w.wants.remove(waiting)
	}
	w.slots[adapter] = &slot{ready: true, since: now}
	w.queue.SetReady(adapter)
}

// abandon frees the slot of a load that was not tried, and loads nothing until
// Adopted.
func (w *Worker) abandon(now time.Duration, order Load) {
	w.suspended = true
	if s, found := w.slots[order.Adapter]; found && !s.ready {
		w.empty(now, order.Adapter)
	}
	if order.Evict != nil {
		w.occupy(now, *order.Evict)
	}
}
