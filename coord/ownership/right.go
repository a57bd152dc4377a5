package ownership

import (
	"strconv"
	"time"
)

// Right names something that one instance at a time may order.
type Right string

// WorkerRight is the right to order a worker: to load, to evict and to dispatch.
func WorkerRight(worker string) Right { return Right("worker/" + worker) }

// KeyRights begins the name of every right to keys.
const KeyRights = "key/"

// KeyRight is the right to run calls whose idempotency keys fall into a shard
// of a data centre.
func KeyRight(dataCentre string, shard int) Right {
	return Right(KeyRights + dataCentre + "/" + strconv.Itoa(shard))
}

// Grant is a right that an instance holds. Both times are on the holder's own
// monotonic clock since its start.
type Grant struct {
	// Since is when the holder's right began, without a break since.
	Since time.Duration
	// Until is when the right ends unless it is renewed.
	Until time.Duration
	// Fence is above the number of every holder before.
	Fence uint64
}
