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

// Loaded reports that the worker has the adapter.
type Loaded struct{ Adapter table.AdapterVersion }

// LoadFailed reports that a load did not succeed.
type LoadFailed struct {
	Adapter table.AdapterVersion
	// Jitter is drawn from 0 to 1 by the caller and spreads the next tries.
	Jitter float64
}

// Finished reports that a dispatched request is over, however it ended.
type Finished struct{ ID uint64 }

// Cancel withdraws a request that may still wait.
type Cancel struct{ ID uint64 }

// Restarted reports that the worker lost every adapter.
type Restarted struct{}

// Tick lets time pass.
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

// Load orders the worker to unload Evict, where it is set, and then to load
// Adapter. The answer comes back as Loaded or LoadFailed.
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
	// RetryAfter is when another try may be of use; zero where nothing is known.
	RetryAfter time.Duration
}

func (Load) isAction()     {}
func (Dispatch) isAction() {}
func (Reject) isAction()   {}
