package owner

import (
	"slices"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/telemetry"
)

// Observe lets t count and trace what the owner does; call it before the first
// request.
func (o *Owner) Observe(t *telemetry.Telemetry) { o.telemetry = t }

// absent tells whether the request's worker doesn't hold its adapter.
func (o *Owner) absent(r *call.Request) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	w, found := o.workers[r.Worker]
	return !found || !slices.Contains(w.machine.Resident(), r.Adapter)
}

// traceOf returns the trace of a request that waits for the adapter, or "".
func (o *Owner) traceOf(w *worker, adapter table.AdapterVersion) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range w.tickets {
		if t.request.Adapter == adapter {
			return t.request.Trace
		}
	}
	return ""
}
