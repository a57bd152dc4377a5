package replica

import (
	"math/rand/v2"
	"time"
)

// Config places and times a Replica.
type Config struct {
	// Self is the instance's own name.
	Self string
	// DataCentre is the instance's own data centre.
	DataCentre string
	// Readers is how many instances of each data centre watch the platform. More
	// ride out more failures at once and cost the platform more calls.
	// Default: 3.
	Readers int
	// AskEvery is the interval between questions to random peers. Shorter
	// spreads a table sooner and costs more control traffic. Default: 1 s.
	AskEvery time.Duration
	// FarEvery sends each so many-th question to another data centre.
	// Default: 4.
	FarEvery int
	// Fanout is how many peers of its data centre an instance tells of a table
	// that it has installed. Default: 3.
	Fanout int
	// JoinPeers is how many peers an instance asks before it installs its first
	// table. Default: 8.
	JoinPeers int
	// JoinWait bounds how long an instance waits for them. Default: 2 s.
	JoinWait time.Duration
	// WatchWait is how long a blocking query may wait at the platform. It bounds
	// how long a watch that has gone silent hides a change. Default: 2 s.
	WatchWait time.Duration
	// WatchMargin is added to WatchWait before a watch counts as silent.
	// Default: 500 ms.
	WatchMargin time.Duration
	// CallTimeout bounds every other call. Default: 1 s.
	CallTimeout time.Duration
	// RetryAfter is the pause after a failed read of the platform.
	// Default: 250 ms.
	RetryAfter time.Duration
	// RetryLimit bounds that pause, which doubles with each failure.
	// Default: 2 s.
	RetryLimit time.Duration
	// Coalesce is the pause after a changed manifest before the next is read, so
	// that a burst of changes costs few reads. Default: 500 ms.
	Coalesce time.Duration
	// ReadConcurrency bounds the chunks that are read from the platform at once.
	// Default: 4.
	ReadConcurrency int
	// Random picks peers.
	Random *rand.Rand
}

// DefaultConfig returns the settings for the instance named self.
func DefaultConfig(self, dataCentre string, random *rand.Rand) Config {
	return Config{
		Self:            self,
		DataCentre:      dataCentre,
		Readers:         3,
		AskEvery:        time.Second,
		FarEvery:        4,
		Fanout:          3,
		JoinPeers:       8,
		JoinWait:        2 * time.Second,
		WatchWait:       2 * time.Second,
		WatchMargin:     500 * time.Millisecond,
		CallTimeout:     time.Second,
		RetryAfter:      250 * time.Millisecond,
		RetryLimit:      2 * time.Second,
		Coalesce:        500 * time.Millisecond,
		ReadConcurrency: 4,
		Random:          random,
	}
}
