package ownership

import "time"

// Config times the leases. Every instance of a fleet uses the same values.
type Config struct {
	// Term is how long a vote may be relied upon, from when it was asked for.
	// Shorter takes over sooner from a lost owner; longer rides out more lost
	// calls and needs fewer of them. Default: 4 s.
	Term time.Duration
	// Margin is how much longer than Term a voter keeps its promise. It covers
	// the difference of two clocks' rates over a term. Default: 200 ms.
	Margin time.Duration
	// ListLag is how much later than another instance one may read a change of
	// the platform's list. Longer tolerates a slower platform and delays the
	// first grant after a start or a change of voters. Default: 2 s.
	ListLag time.Duration
	// AloneTerm is how long an instance that no other voter confirms goes on
	// after it last read a list that names it. Longer rides out a longer outage
	// of the platform where a right has one or two voters; the same time passes
	// before an instance without memory votes, and before another goes on alone
	// on the list's word. Default: 4 s.
	AloneTerm time.Duration
	// Ordinal fills the low bits of this instance's fencing numbers and makes
	// them unique.
	Ordinal uint16
}

// DefaultConfig returns the defaults for the instance with that ordinal.
func DefaultConfig(ordinal uint16) Config {
	return Config{
		Term:      4 * time.Second,
		Margin:    200 * time.Millisecond,
		ListLag:   2 * time.Second,
		AloneTerm: 4 * time.Second,
		Ordinal:   ordinal,
	}
}

// promise is how long a voter keeps a promise, from when it gave it.
func (c Config) promise() time.Duration { return c.Term + c.Margin }

// settle is how long votes by an older list may still be relied upon.
func (c Config) settle() time.Duration { return c.ListLag + c.promise() }
