package residency

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Event is something that happened to a worker.
type Event interface{ isEvent() }

// Arrive queues a request.
type Arrive struct{ Request admission.Request }

// Loaded reports that the worker has loaded the adapter.
type Loaded struct{ Adapter table.AdapterVersion }

// LoadFailed reports that the worker could not load the adapter.
type LoadFailed struct {
	Adapter table.AdapterVersion
	// Jitter is a random number from 0 to 1, drawn by the caller, that spreads the
	// retries over time.
	Jitter float64
}

// Finished reports that a dispatched request has ended, successfully or not.
type Finished struct{ ID uint64 }

// Cancel removes a request from the queue. It has no effect on a request that is
// not waiting.
type Cancel struct{ ID uint64 }

// Restarted reports that the worker has restarted and holds no adapter.
type Restarted struct{}

// Tick reports only that time has passed.
type Tick struct{}

func (Arrive) isEvent()     {}
func (Loaded) isEvent()     {}
func (LoadFailed) isEvent() {}
func (Finished) isEvent()   {}
func (Cancel) isEvent()     {}
func (Restarted) isEvent()  {}
func (Tick) isEvent()       {}

// Action is something the caller of Step must carry out.
type Action interface{ isAction() }

// Load orders the worker to unload Evict, if it is set, and then to load Adapter.
// The caller reports the result as Loaded, LoadFailed or LoadSkipped.
type Load struct {
	Adapter table.AdapterVersion
	Evict   *table.AdapterVersion
}

// Dispatch sends a request to the worker now.
type Dispatch struct{ ID uint64 }

// Reason says why a request was rejected.
type Reason string

// The reasons for a rejection.
const (
	QueueFull      Reason = "queue full"
	DeadlinePassed Reason = "deadline passed"
	LoadError      Reason = "adapter could not be loaded"
	WouldBeLate    Reason = "deadline can not be met"
)

// Reject ends a request that was never dispatched.
type Reject struct {
	ID     uint64
	Reason Reason
	// RetryAfter is the time after which a retry may succeed; zero if unknown.
	RetryAfter time.Duration
}

func (Load) isAction()     {}
func (Dispatch) isAction() {}
func (Reject) isAction()   {}
