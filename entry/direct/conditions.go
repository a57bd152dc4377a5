package direct

import (
	"sync"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/balance"
)

// conditions holds what this instance's own attempts showed of workers. It is safe
// for concurrent use.
type conditions struct {
	mu     sync.Mutex
	health map[string]*balance.Health
}

func newConditions() *conditions { return &conditions{health: make(map[string]*balance.Health)} }

// recordResult updates a worker's health with the result of an attempt.
func (c *conditions) recordResult(at time.Duration, id string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health[id]
	if h == nil {
		h = &balance.Health{}
		c.health[id] = h
	}
	h.Observe(at, ok)
}

// isSuspect reports whether a worker failed recently.
func (c *conditions) isSuspect(at time.Duration, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health[id]
	return h != nil && h.Suspect(at)
}

// forget drops a worker that is gone or restarted.
func (c *conditions) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.health, id)
}
