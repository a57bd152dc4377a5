package ownership

import "time"

// Config sets the lease durations. Every instance of a fleet must use the same
// values, except for Ordinal.
type Config struct {
	// TTL is how long a vote is valid, counted from when it was requested. A
	// shorter duration replaces a lost owner sooner; a longer one tolerates
	// more lost messages and needs fewer of them. Default: 4 s.
	TTL time.Duration
	// Margin is how much longer than TTL a voter keeps its promise. It covers
	// the difference in rate between two clocks over one lease.
	// Default: 200 ms.
	Margin time.Duration
	// ListLag bounds how much later than another instance one may read a change
	// of the platform's member list. A longer lag tolerates a slower platform
	// and delays the first grant after a start or a change of voters.
	// Default: 2 s.
	ListLag time.Duration
	// SoloTTL is how long an instance that no other voter confirms keeps a
	// right after it last read a member list that names it. A longer duration
	// rides out a longer outage of the platform where a right has one or two
	// voters. The same time passes before an instance that has just started
	// votes, and before another instance that a newer list names may hold the
	// right without another voter. Default: 4 s.
	SoloTTL time.Duration
	// Ordinal fills the low bits of this instance's fencing tokens and makes
	// them unique.
	Ordinal uint16
}

// DefaultConfig returns the defaults for the instance with that ordinal.
func DefaultConfig(ordinal uint16) Config {
	return Config{
		TTL:     4 * time.Second,
		Margin:  200 * time.Millisecond,
		ListLag: 2 * time.Second,
		SoloTTL: 4 * time.Second,
		Ordinal: ordinal,
	}
}

// promiseTTL is how long a voter keeps a promise, counted from when it gave it.
func (c Config) promiseTTL() time.Duration { return c.TTL + c.Margin }

// formerVotesTTL is how long after a list change votes by the former list may
// still be relied upon.
func (c Config) formerVotesTTL() time.Duration { return c.ListLag + c.promiseTTL() }
