package replica

import (
	"math/rand/v2"
	"time"
)

// Config holds the identity and the settings of a Replica.
type Config struct {
	// Self is the instance's own name.
	Self string
	// DataCentre is the instance's own data centre.
	DataCentre string
	// Readers is the number of instances of each data centre that watch the
	// platform. More tolerate more simultaneous failures, but cost the platform
	// more calls.
	// Default: 3.
	Readers int
	// QueryInterval is the interval between queries to random peers. A shorter one
	// spreads a table sooner, but costs more control traffic. Default: 1 s.
	QueryInterval time.Duration
	// RemoteQueryEvery is a number of queries: one in RemoteQueryEvery goes to
	// another data centre. Default: 4.
	RemoteQueryEvery int
	// Fanout is the number of peers in its own data centre to which an instance
	// announces a table that it has installed. Default: 3.
	Fanout int
	// JoinPeers is the number of peers that an instance queries before it installs
	// its first table. Default: 8.
	JoinPeers int
	// JoinWait is the timeout for the responses of these peers. Default: 2 s.
	JoinWait time.Duration
	// WatchWait is how long the platform may hold a blocking query. It bounds for
	// how long a broken connection hides a change. Default: 2 s.
	WatchWait time.Duration
	// WatchMargin is added to WatchWait for the timeout of a blocking query.
	// Default: 500 ms.
	WatchMargin time.Duration
	// CallTimeout is the timeout of every other call. Default: 1 s.
	CallTimeout time.Duration
	// RetryAfter is the pause after a failed chunk read or peer query, and after
	// the first failed read of the manifest. Default: 250 ms.
	RetryAfter time.Duration
	// MaxRetryAfter is the longest pause between reads of the manifest; the pause
	// doubles with each consecutive failure. Default: 2 s.
	MaxRetryAfter time.Duration
	// CoalesceDelay is the pause after a changed manifest before the next one is
	// read, so that a burst of changes costs few reads. Default: 500 ms.
	CoalesceDelay time.Duration
	// ReadConcurrency is the maximum number of concurrent chunk reads from the
	// platform. Default: 4.
	ReadConcurrency int
	// Random is the source of randomness for the choice of peers.
	Random *rand.Rand
}

// DefaultConfig returns the default settings for the instance named self.
func DefaultConfig(self, dataCentre string, random *rand.Rand) Config {
	return Config{
		Self:             self,
		DataCentre:       dataCentre,
		Readers:          3,
		QueryInterval:    time.Second,
		RemoteQueryEvery: 4,
		Fanout:           3,
		JoinPeers:        8,
		JoinWait:         2 * time.Second,
		WatchWait:        2 * time.Second,
		WatchMargin:      500 * time.Millisecond,
		CallTimeout:      time.Second,
		RetryAfter:       250 * time.Millisecond,
		MaxRetryAfter:    2 * time.Second,
		CoalesceDelay:    500 * time.Millisecond,
		ReadConcurrency:  4,
		Random:           random,
	}
}
