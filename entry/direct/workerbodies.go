package direct

import "sync"

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

// fits reports whether a body of n bytes may be sent to a worker. A body longer than the
// limit may be sent to a worker that has none.
func (b *workerBodies) fits(worker string, n int) bool {
	if n == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.bytes[worker]
	return held == 0 || held+int64(n) <= b.limit
}

// begin counts a body as in progress at a worker until end is called.
func (b *workerBodies) begin(worker string, n int) (end func()) {
	if n == 0 {
		return func() {}
	}
	b.add(worker, int64(n))
	return func() { b.add(worker, -int64(n)) }
}

func (b *workerBodies) add(worker string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bytes[worker] += n; b.bytes[worker] <= 0 {
		delete(b.bytes, worker)
	}
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
