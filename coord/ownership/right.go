package ownership

import (
	"strconv"
	"time"
)

// Right names an exclusive, leased right: one instance at a time may send
// orders (control commands) to a worker, or run the calls of a shard of keys.
type Right string

// WorkerRight returns the right to send orders to a worker: load, evict and
// dispatch.
func WorkerRight(worker string) Right { return Right("worker/" + worker) }

// KeyRightPrefix is the prefix of the name of every key right.
const KeyRightPrefix = "key/"

// KeyRight returns the right to run the calls whose idempotency keys fall into
// a shard of a data centre.
func KeyRight(dataCentre string, shard int) Right {
	return Right(KeyRightPrefix + dataCentre + "/" + strconv.Itoa(shard))
}

// Grant describes a right that an instance holds. Both times are on the
// holder's monotonic clock, counted from its start.
type Grant struct {
	// Since is when the current, uninterrupted period of holding began.
	Since time.Duration
	// Until is when the right expires unless it is renewed.
	Until time.Duration
	// Fence is the fencing token, higher than that of every earlier holder.
	Fence uint64
}
