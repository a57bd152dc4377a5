package residency

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// serviceTimeWeight is the weight of the latest sample in the exponential moving
// average of the service time.
const serviceTimeWeight = 0.02

// observeServiceTime adds the time from dispatch to end of a request to the mean.
func (w *Worker) observeServiceTime(serviceTime time.Duration) {
	if w.meanServiceTime == 0 {
		w.meanServiceTime = serviceTime
		return
	}
	w.meanServiceTime += time.Duration(serviceTimeWeight * float64(serviceTime-w.meanServiceTime))
}

// expectedLateness returns by how much a request is expected to miss its deadline;
// zero or less means that it should meet it. The estimate is the time to start
// the requests ahead of it, at most the wait that the rank's floor guarantees,
// and MinServiceTimesLeft mean service times for the request itself. It does not
// include the load of an absent adapter.
func (w *Worker) expectedLateness(now time.Duration, r admission.Request) time.Duration {
	ahead := 0
	for rank := table.Urgent; rank <= r.Rank; rank++ {
		ahead += w.queue.Runnable(rank)
	}
	wait := w.startDelay(ahead)
	if floor := w.config.Queue.Floors[r.Rank]; floor > 0 {
		waitByFloor := time.Duration(float64(w.startDelay(w.queue.Runnable(r.Rank))) / floor)
		wait = min(wait, waitByFloor)
	}
	return now + wait + w.minTimeLeft() - r.Deadline
}

// startDelay returns the expected time until that many requests have started.
func (w *Worker) startDelay(requests int) time.Duration {
	return w.meanServiceTime * time.Duration(requests) / time.Duration(w.config.Batch)
}

// minTimeLeft returns the time that a request must have left before its deadline
// to be dispatched.
func (w *Worker) minTimeLeft() time.Duration {
	return time.Duration(w.config.MinServiceTimesLeft * float64(w.meanServiceTime))
}
