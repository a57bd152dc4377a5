package residency

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// serviceWeight is what the latest request counts in the mean time of service.
const serviceWeight = 0.02

// observe takes in the time from dispatch to end of a request.
func (w *Worker) observe(took time.Duration) {
	if w.service == 0 {
		w.service = took
		return
	}
	w.service += time.Duration(serviceWeight * float64(took-w.service))
}

// late returns by how much a request is expected to miss its deadline: the work
// ahead of it and its own, at the mean time of service. It knows nothing of an
// adapter that is still to be loaded.
func (w *Worker) late(now time.Duration, r admission.Request) time.Duration {
	ahead := 0
	for rank := table.Urgent; rank <= r.Rank; rank++ {
		ahead += w.queue.Runnable(rank)
	}
	wait := w.turns(ahead)
	if floor := w.config.Queue.Floors[r.Rank]; floor > 0 {
		own := time.Duration(float64(w.turns(w.queue.Runnable(r.Rank))) / floor)
		wait = min(wait, own)
	}
	return now + wait + w.spare() - r.Deadline
}

// turns returns the time until a number of requests has begun.
func (w *Worker) turns(requests int) time.Duration {
	return w.service * time.Duration(requests) / time.Duration(w.config.Batch)
}

// spare is the time that a request needs once it is dispatched.
func (w *Worker) spare() time.Duration {
	return time.Duration(w.config.SpareService * float64(w.service))
}
