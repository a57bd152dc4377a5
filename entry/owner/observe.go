package owner

import (
	"slices"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/telemetry"
)

// Observe sets the telemetry that counts and traces the owner's work. It must
// be called before the first request.
func (o *Owner) Observe(t *telemetry.Telemetry) { o.telemetry = t }

// lacksAdapter reports whether the request's adapter is not resident on its
// worker.
func (o *Owner) lacksAdapter(r *call.Request) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	w, found := o.workers[r.Worker]
	return !found || !slices.Contains(w.machine.Resident(), r.Adapter)
}

// traceOf returns the trace of a request that waits for the adapter, or an
// empty string if no request does.
func (o *Owner) traceOf(w *worker, adapter table.AdapterVersion) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range w.waiting {
		if t.request.Adapter == adapter {
			return t.request.Trace
		}
	}
	return ""
}
