package residency

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Config sizes a worker and sets its policy.
type Config struct {
	// Slots is the number of adapters the worker holds.
	Slots int
	// Batch is the number of requests that run at once.
	Batch int
	// Queue bounds and orders the waiting requests.
	Queue admission.Config
	// GatherShare is the share of a request's time to its deadline that it waits
	// for company before it asks for a load, by rank. More saves loads and adds
	// waiting. Default: 0 for every rank.
	GatherShare [table.RankCount]float64
	// GatherCount is the number of waiting requests that ask for a load at once.
	// Default: 8.
	GatherCount int
	// Eviction chooses the adapter to unload. Default: Frequency.
	Eviction Eviction
	// HalfLife is the time after which a use counts half. Shorter follows a shift
	// sooner and forgets the long tail. Default: 60 s.
	HalfLife time.Duration
	// UseGap is the time within which several requests for an adapter count as
	// one use, so that a group of requests does not pass for lasting demand.
	// Default: 5 s.
	UseGap time.Duration
	// SpareService is the time that a request must have left when it is dispatched,
	// in mean times of service; one with less is rejected. More wastes less work on
	// late answers and gives up requests that could have been in time. Default: 1.
	SpareService float64
	// MinStay is how long an adapter stays before its slot may be drained for more
	// urgent work. Shorter serves the urgent rank sooner and thrashes in a flood.
	// Default: 2 s.
	MinStay time.Duration
	// LoadTries is the number of failed loads of an adapter after which its
	// requests are rejected, to be tried on another worker. Default: 2.
	LoadTries int
	// BackOff is the wait after a failed load; it doubles with each further one up
	// to BackOffLimit. Default: 500 ms and 10 s.
	BackOff      time.Duration
	BackOffLimit time.Duration
	// Loads gives the right to begin a load; nil sets no bound.
	Loads Loads
}

// Eviction names a rule for the adapter to unload.
type Eviction int

// The rules.
const (
	// Frequency unloads the adapter with the fewest uses, older ones counting
	// less.
	Frequency Eviction = iota
	// LeastRecent unloads the adapter whose last use is the longest ago.
	LeastRecent
)

// DefaultConfig returns the defaults for a worker of that size.
func DefaultConfig(slots, batch int) Config {
	return Config{
		Slots:        slots,
		Batch:        batch,
		Queue:        admission.DefaultConfig(),
		GatherCount:  8,
		HalfLife:     time.Minute,
		UseGap:       5 * time.Second,
		SpareService: 1,
		MinStay:      2 * time.Second,
		LoadTries:    2,
		BackOff:      500 * time.Millisecond,
		BackOffLimit: 10 * time.Second,
	}
}

// Want is a load that a worker would begin.
type Want struct {
	// Rank is the most urgent rank that waits for it.
	Rank table.Rank
	// Owed says that the rank has earned its floor; such a load goes first.
	Owed bool
	// Waiting is the number of requests that it would serve.
	Waiting int
}

// Loads bounds the loads of several workers together.
type Loads interface {
	// Take tells whether the worker may begin its load now. Each true is followed
	// by one Done.
	Take(now time.Duration, worker string, w Want) (Right, bool)
	// Withdraw ends the worker's claim after a Take that returned false.
	Withdraw(worker string)
	// Done reports that the load on a right has ended, however it ended.
	Done(now time.Duration, right Right)
}
