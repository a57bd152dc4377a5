package residency

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Config holds the capacity of a worker and the settings of its policy.
type Config struct {
	// Slots is the number of adapters that the worker can hold.
	Slots int
	// Batch is the maximum number of requests that run at once.
	Batch int
	// Queue holds the settings of the queue of waiting requests.
	Queue admission.Config
	// GatherShare delays the load of an absent adapter so that more requests for it
	// can arrive: it is the fraction, by rank, of a request's time to its deadline.
	// Higher saves loads and adds latency. Default: 0 for every rank.
	GatherShare [table.RankCount]float64
	// GatherCount is the number of waiting requests for an adapter that ends the
	// delay of GatherShare. Default: 8.
	GatherCount int
	// Eviction is the rule that chooses the adapter to unload. Default: LeastFrequent.
	Eviction Eviction
	// HalfLife is the time after which a use counts half. Shorter follows a change
	// of demand sooner and forgets rarely used adapters. Default: 60 s.
	HalfLife time.Duration
	// UseGap is the minimum time since the previous request for an adapter after
	// which a request counts as a new use, so that a burst of requests is not taken
	// for lasting demand. Default: 5 s.
	UseGap time.Duration
	// MinServiceTimesLeft is the time that a request must have left before its
	// deadline to be dispatched, as a multiple of the mean service time; one with
	// less is rejected. Higher wastes less work on late responses and rejects more
	// requests that could have met their deadline. Default: 1.
	MinServiceTimesLeft float64
	// MinStay is the minimum time that an adapter has been ready before its slot may
	// be drained for a load that goes first. Shorter serves the urgent rank sooner
	// and causes thrashing in a flood of requests. Default: 2 s.
	MinStay time.Duration
	// MaxLoadAttempts is the number of consecutive failed loads of an adapter after
	// which its requests are rejected, to be retried on another worker. Default: 2.
	MaxLoadAttempts int
	// BackOff is the maximum delay before the retry of a failed load; it doubles
	// with each further failure up to BackOffLimit. Default: 500 ms and 10 s.
	BackOff      time.Duration
	BackOffLimit time.Duration
	// Limiter limits the loads of this worker and others together; nil means no
	// limit.
	Limiter LoadLimiter
}

// Eviction is a rule that chooses the adapter to unload.
type Eviction int

// The eviction rules.
const (
	// LeastFrequent unloads the least frequently used adapter; the count of its uses
	// decays by HalfLife.
	LeastFrequent Eviction = iota
	// LeastRecent unloads the least recently used adapter.
	LeastRecent
)

// DefaultConfig returns the defaults for a worker with the given number of slots
// and batch size.
func DefaultConfig(slots, batch int) Config {
	return Config{
		Slots:               slots,
		Batch:               batch,
		Queue:               admission.DefaultConfig(),
		GatherCount:         8,
		HalfLife:            time.Minute,
		UseGap:              5 * time.Second,
		MinServiceTimesLeft: 1,
		MinStay:             2 * time.Second,
		MaxLoadAttempts:     2,
		BackOff:             500 * time.Millisecond,
		BackOffLimit:        10 * time.Second,
	}
}

// LoadDemand describes a load for which a worker requests a permit.
type LoadDemand struct {
	// Rank is the most urgent rank of the requests that wait for the load.
	Rank table.Rank
	// Owed reports that the rank has earned a turn by its floor (see
	// admission.Floors). Such a load goes first.
	Owed bool
	// Waiting is the number of requests that wait for the load.
	Waiting int
}

// LoadLimiter limits the loads of several workers together.
type LoadLimiter interface {
	// Acquire returns a permit for the worker's load, or false if the load may not
	// begin now. The caller calls Release once for each permit.
	Acquire(now time.Duration, worker string, demand LoadDemand) (Permit, bool)
	// Withdraw drops the claim that an Acquire leaves when it returns false.
	Withdraw(worker string)
	// Release gives a permit back when its load has ended, successfully or not.
	Release(now time.Duration, permit Permit)
}
