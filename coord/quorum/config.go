// Package quorum grants rights to instances by leases of a majority. The
// voters are members of a gossiped roster, all of a small one and the senior ones
// of a large one: there is no list of instances to read, nothing is stored, and
// instances come, go and restart without memory.
//
// Invariants, for any right:
//   - A voter promises its vote to one instance at a time, for longer than that
//     instance counts on it.
//   - A holder counts only votes of members that take the same set as voters.
//   - An instance that has started, or becomes a voter, is taken to be bound to
//     another instance until every promise that it may not know has run out.
//   - Two sets of voters that differ by one member share a voter of any two of
//     their quorums.
package quorum

import "time"

// Config sets the times of a Machine. All instances must use the same.
type Config struct {
	// Term is how long a vote counts, from when it was asked for. Shorter takes
	// over sooner from a lost holder; longer rides out more lost beats.
	Term time.Duration
	// Margin is how much longer a voter keeps its promise. It must exceed what
	// two clocks may drift apart within Term.
	Margin time.Duration
	// TurnGap is the least time between the last act of a holder and the first
	// of the next.
	TurnGap time.Duration
	// LiveFor is how long a member counts as live after it was last heard.
	LiveFor time.Duration
	// RemoveAfter is the silence after which a majority removes a member. Longer
	// keeps a partitioned member from finding itself removed; shorter lets the
	// rest go on sooner after a loss of many.
	RemoveAfter time.Duration
	// RemoveEvery is the least time between two removals, so that any two
	// majorities before and after share a voter.
	RemoveEvery time.Duration
	// OwnRegion makes the members of the own region the only voters and, but for
	// seeds, the only peers.
	OwnRegion bool
	// MaxVoters bounds the voters of a cluster. The other members follow them:
	// they beat to the voters only, and hold nothing. More ride out the loss of
	// more at once; beats grow with the members times the voters.
	MaxVoters int
	// BeatEvery is the interval between beats. Shorter spreads news sooner and
	// costs more control traffic.
	BeatEvery time.Duration
	// FollowersPerSecond bounds the beats that a voter gets from all followers:
	// they beat less often in a large cluster.
	FollowersPerSecond float64
	// SeedEvery is the interval of beats to seeds that are no peers, once settled.
	SeedEvery time.Duration
	// SeedWait is how long an instance that has heard no settled one waits for
	// seeds that don't answer, before it settles without them. It should exceed
	// the usual length of a partition.
	SeedWait time.Duration
}

// DefaultConfig returns times for one cluster over all instances.
func DefaultConfig(turnGap time.Duration) Config {
	return Config{
		Term:               1200 * time.Millisecond, // four beats may be lost
		Margin:             200 * time.Millisecond,
		TurnGap:            turnGap,
		LiveFor:            900 * time.Millisecond, // three beats may be lost
		RemoveAfter:        20 * time.Second,
		RemoveEvery:        5 * time.Second,
		SeedWait:           20 * time.Second,
		SeedEvery:          2 * time.Second,
		MaxVoters:          9, // three of each data centre where there are three
		BeatEvery:          250 * time.Millisecond,
		FollowersPerSecond: 120, // a beat costs a voter about 0.15 ms: 2% of a core
	}
}

// RegionConfig returns times for instances that form a cluster in each region.
func RegionConfig(turnGap time.Duration) Config {
	c := DefaultConfig(turnGap)
	c.OwnRegion = true
	c.BeatEvery = 400 * time.Millisecond
	c.Term = 2 * time.Second            // four beats may be lost
	c.LiveFor = 1500 * time.Millisecond // three beats may be lost
	c.Margin = 300 * time.Millisecond
	return c
}

// promise is how long a voter is bound by one vote.
func (c Config) promise() time.Duration { return c.Term + c.Margin }
