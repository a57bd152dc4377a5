package direct

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/condition"
)

// conditions holds what this instance's own attempts showed of workers. It is safe
// for concurrent use.
type conditions struct {
	mu       sync.Mutex
	byWorker map[string]*condition.Condition
}

func newConditions() *conditions { return &conditions{byWorker: make(map[string]*condition.Condition)} }

// entry returns the condition of a worker, a new one if none is known. c.mu must be held.
func (c *conditions) entry(id string) *condition.Condition {
	known := c.byWorker[id]
	if known == nil {
		known = &condition.Condition{}
		c.byWorker[id] = known
	}
	return known
}

// recordResult updates a worker's health with the result of an attempt.
func (c *conditions) recordResult(at time.Duration, id string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entry(id).Health.Observe(at, ok)
}

// recordResponse records what the header of a response says of its worker.
func (c *conditions) recordResponse(at time.Duration, id string, response ResponseInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.entry(id)
	if response.Load != nil {
		known.Load.Observe(at, *response.Load)
	}
	if response.HoldOff > 0 {
		known.HoldOff.TurnedAway(at, response.HoldOff, rand.Float64())
	} else {
		known.HoldOff.Answered(at)
	}
}

// sent records that a request is sent to a worker.
func (c *conditions) sent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entry(id).Load.Sent()
}

// ended records that a request is no longer in progress at a worker.
func (c *conditions) ended(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.byWorker[id]; known != nil {
		known.Load.Ended()
	}
}

// claim reports whether a worker may be sent a request now. After a hold-off it
// returns true for one request until the worker has answered it.
func (c *conditions) claim(at time.Duration, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.byWorker[id]
	if known == nil {
		return true
	}
	if known.HoldOff.Remaining(at) > 0 {
		return false
	}
	known.HoldOff.Sent(at)
	return true
}

// workerCondition is a copy of what is known of a worker's condition.
type workerCondition struct {
	suspect bool
	// inProgress is the number of requests that the worker itself counts, from all
	// instances, if reported is set.
	inProgress int
	reported   bool
	pace       float64
	holdOff    time.Duration
}

// get returns the condition of a worker.
func (c *conditions) get(at time.Duration, id string) workerCondition {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.byWorker[id]
	if known == nil {
		return workerCondition{pace: 1}
	}
	copied := workerCondition{suspect: known.Health.Suspect(at), pace: known.Load.Pace(at), holdOff: known.HoldOff.Remaining(at)}
	copied.inProgress, copied.reported = known.Load.InProgress(at)
	return copied
}

// holdOffs returns the workers that want no request from this instance, and for how
// long.
func (c *conditions) holdOffs(at time.Duration) map[string]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var held map[string]time.Duration
	for id, known := range c.byWorker {
		if left := known.HoldOff.Remaining(at); left > 0 {
			if held == nil {
				held = make(map[string]time.Duration)
			}
			held[id] = left
		}
	}
	return held
}

// forget drops a worker that is gone or restarted.
func (c *conditions) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byWorker, id)
}
