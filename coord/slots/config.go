package slots

import "time"

// Config describes a worker's room and the times of its loads.
type Config struct {
	// Capacity is the number of adapters that the worker holds, those in transit
	// included.
	Capacity int
	// TransitLimit is the number of adapters in transit to one worker. Source:
	// the engines refuse a fifth.
	TransitLimit int
	// ColdLoad is the time after which the end of a load from the weight store is
	// asked for, about what it takes while the store is at ease. Later keeps
	// loaded adapters waiting; a question costs little.
	ColdLoad time.Duration
	// WarmLoad is the time to load an adapter that the worker held lately.
	WarmLoad time.Duration
	// CheckEvery is the interval between questions whether a load has ended.
	CheckEvery time.Duration
	// WarmCopies is how many adapters a worker keeps in host memory.
	WarmCopies int
	// IdleGrace is how long an adapter must be unused before it may be evicted.
	IdleGrace time.Duration
	// FreshGrace is how long a loaded adapter is kept for those who waited for it,
	// longer than news of its use takes between instances.
	FreshGrace time.Duration
	// UseHalfLife is the time in which past use counts half for what to evict.
	UseHalfLife time.Duration
	// MaxWaiting bounds the wants of the same or a more urgent rank that wait for
	// a slot when another comes.
	MaxWaiting int
	// ReportLag is how much older than its arrival a worker's report may be.
	ReportLag time.Duration
	// MaxDraining bounds the adapters in use that get no new requests.
	MaxDraining int
}

// DefaultConfig returns the times of the operators' sheets for the given room.
func DefaultConfig(capacity int) Config {
	return Config{
		ColdLoad:     250 * time.Millisecond, // the sheets: 250 and 288 ms
		Capacity:     capacity,
		TransitLimit: 4,
		WarmLoad:     25 * time.Millisecond, // the sheets: a tenth of a cold load
		CheckEvery:   30 * time.Millisecond, // about a warm load
		WarmCopies:   30,
		IdleGrace:    60 * time.Millisecond,
		FreshGrace:   350 * time.Millisecond, // a beat between instances and a margin
		UseHalfLife:  4 * time.Second,
		MaxWaiting:   12,          // about what the slots of a worker turn over within a goal
		ReportLag:    time.Second, // the sheets say some hundred ms
		MaxDraining:  2,
	}
}
