// Package intake bounds the memory that callers' connections take. It reads the bodies of
// requests under one budget of bytes, bounds the number of connections and the time of a
// header, and closes the connections that have made the least progress when the budget is
// short.
package intake

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/bytebudget"
)

// Config bounds the memory of callers' connections.
type Config struct {
	// Bytes is the budget of bytes for bodies and responses.
	Bytes int64
	// Connections is the most connections at once.
	Connections int
	// BodyTimeout bounds the reading of one body.
	BodyTimeout time.Duration
	// HeaderTimeout returns the time in which a header must arrive; 0 is no limit.
	HeaderTimeout func() time.Duration
}

// Parts of the memory limit.
const (
	megabyte = 1 << 20
	// budgetShare is the part for bodies and responses. The Go runtime may use 0.6 of the
	// memory, and garbage of the same size comes on top of the bytes held.
	budgetShare = 0.25
	// connectionShare is the part for the buffers of connections.
	connectionShare = 0.25
	// connectionBytes is the memory of a connection whose buffers are full: the reader of
	// the server, the buffer in the kernel and the goroutine with its state.
	connectionBytes = 32<<10 + receiveBuffer + 16<<10
)

// Descriptors.
const (
	// reservedDescriptors are for listeners, peers, the store and files.
	reservedDescriptors = 200
	// descriptorsEach is a caller's connection and one to a worker.
	descriptorsEach = 2
)

// BudgetOf returns the bytes for bodies and responses under a memory limit.
func BudgetOf(memoryLimitMB int) int64 { return int64(float64(memoryLimitMB) * megabyte * budgetShare) }

// ConnectionsOf returns the number of connections under a memory limit and the limit on
// the descriptors of the process.
func ConnectionsOf(memoryLimitMB int) int {
	connections := int(float64(memoryLimitMB) * megabyte * connectionShare / connectionBytes)
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < 1<<30 {
		connections = min(connections, (int(limit.Cur)-reservedDescriptors)/descriptorsEach)
	}
	return max(connections, 1)
}

// Intake is the callers' side of one instance. It is safe for concurrent use.
type Intake struct {
	config Config
	start  time.Time
	counts Counts

	mu     sync.Mutex
	budget *bytebudget.Budget
	// released is closed and replaced when bytes are released while some reader waits.
	released chan struct{}
	waiters  int
	conns    map[*Conn]struct{}
}

// Counts counts what was closed or refused since the start.
type Counts struct {
	// TooLong counts bodies over the limit, NoRoom requests refused for want of bytes,
	// Evicted connections closed for making the least progress, TooMany connections
	// closed because there were too many, and SlowHeaders headers over the time limit.
	TooLong, NoRoom, Evicted, TooMany, SlowHeaders atomic.Uint64
}

// State is what an intake holds at one moment.
type State struct {
	Limit, Held          int64
	Readers, Connections int
}

// New returns an intake without connections.
func New(config Config) *Intake {
	return &Intake{
		config: config, start: time.Now(), budget: bytebudget.New(bytebudget.DefaultConfig(config.Bytes)),
		released: make(chan struct{}), conns: make(map[*Conn]struct{}),
	}
}

// Counts returns the counts, which go on counting.
func (i *Intake) Counts() *Counts { return &i.counts }

// State returns what is held now.
func (i *Intake) State() State {
	i.mu.Lock()
	defer i.mu.Unlock()
	return State{Limit: i.budget.Limit(), Held: i.budget.Held(), Readers: i.budget.Readers(), Connections: len(i.conns)}
}

func (i *Intake) now() time.Duration { return time.Since(i.start) }

// wake wakes those that wait for bytes. i.mu must be held.
func (i *Intake) wake() {
	if i.waiters > 0 {
		close(i.released)
		i.released = make(chan struct{})
	}
}
