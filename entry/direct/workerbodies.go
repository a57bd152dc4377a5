package direct

import (
	"sync"

	"github.com/bulrushwick/bulrushwick/coord/worker"
)

// workerBodies counts the bytes of bodies in progress at each worker, since a worker's
// memory must hold them all. It is safe for concurrent use.
type workerBodies struct {
	limit int64
	mu    sync.Mutex
	bytes map[string]int64
}

func newWorkerBodies(limitMB int) *workerBodies {
	return &workerBodies{limit: int64(limitMB) * megabyte, bytes: make(map[string]int64)}
}

// fits reports whether a body of n bytes could be sent to a worker now. A body longer than
// the limit can be sent to a worker that has none.
func (b *workerBodies) fits(id string, n int) bool {
	if n == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fitsLocked(id, n)
}

func (b *workerBodies) fitsLocked(id string, n int) bool {
	held := b.bytes[id]
	return held == 0 || held+int64(n) <= b.limit
}

// take counts a body as in progress at a worker until end is called, if it fits.
func (b *workerBodies) take(id string, n int) bool {
	if n == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fitsLocked(id, n) {
		return false
	}
	b.bytes[id] += int64(n)
	return true
}

// end ends the count of a body that take has counted.
func (b *workerBodies) end(id string, n int) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bytes[id] -= int64(n); b.bytes[id] <= 0 {
		delete(b.bytes, id)
	}
}

// claimWithBody claims a worker and counts the request's body there, which the end of the
// attempt ends. Other bodies may have been sent while the adapter was loaded.
func (c *call) claimWithBody(target worker.Worker) bool {
	size := len(c.request.Body)
	if !c.fleet.bodies.take(target.ID, size) {
		return false
	}
	if !c.fleet.claim(now(), target) {
		c.fleet.bodies.end(target.ID, size)
		return false
	}
	return true
}

// most returns the bytes in progress at the worker that has the most.
func (b *workerBodies) most() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var most int64
	for _, n := range b.bytes {
		most = max(most, n)
	}
	return most
}
