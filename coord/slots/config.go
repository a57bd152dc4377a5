package slots

import "time"

// Config holds the adapter capacity of a worker and the timings of its loads and
// evictions.
type Config struct {
	// Capacity is the number of adapter slots of the worker. An adapter that is
	// being loaded occupies a slot.
	Capacity int
	// TransitLimit is the maximum number of concurrent adapter loads to one worker.
	// Engines reject a fifth.
	TransitLimit int
	// ColdLoad is the delay before the first check whether a load from the weight
	// store has completed, about the duration of a load while the store isn't
	// congested. A longer delay leaves loaded adapters unused; a check is cheap.
	ColdLoad time.Duration
	// WarmLoad is the same delay for an adapter that the worker probably still has
	// in host memory.
	WarmLoad time.Duration
	// CheckEvery is the interval between later checks whether a load or an eviction
	// has completed.
	CheckEvery time.Duration
	// WarmCopies is the number of adapters that a worker keeps in host memory.
	WarmCopies int
	// IdleGrace is the minimum time without a request before an adapter may be
	// evicted.
	IdleGrace time.Duration
	// FreshGrace is the minimum time that a loaded adapter is kept for the requests
	// that waited for it. It must be longer than the delay after which an instance
	// learns of requests sent by others.
	FreshGrace time.Duration
	// UseHalfLife is the half-life of past use when the least used adapter is
	// chosen for eviction.
	UseHalfLife time.Duration
	// MaxWaiting is the number of wants of the same or a more urgent rank that may
	// wait for a slot; beyond it a new want isn't accepted.
	MaxWaiting int
	// ReportLag is the maximum age of the state in a worker's report on arrival.
	ReportLag time.Duration
	// MaxDraining is the maximum number of adapters that drain at once.
	MaxDraining int
}

// DefaultConfig returns the configuration for engines as the operators specify
// them, with the given number of slots.
func DefaultConfig(capacity int) Config {
	return Config{
		ColdLoad:     250 * time.Millisecond, // specified as 250 and 288 ms
		Capacity:     capacity,
		TransitLimit: 4,
		WarmLoad:     25 * time.Millisecond, // specified as a tenth of a cold load
		CheckEvery:   30 * time.Millisecond, // about the duration of a warm load
		WarmCopies:   30,
		IdleGrace:    60 * time.Millisecond,
		FreshGrace:   350 * time.Millisecond, // one heartbeat between instances and a margin
		UseHalfLife:  4 * time.Second,
		MaxWaiting:   12,          // about the slots that a worker turns over within a latency target
		ReportLag:    time.Second, // specified as some hundred ms
		MaxDraining:  2,
	}
}
