// Package quorum grants rights by majority vote. A right is an exclusive, leased
// permission to send orders (control commands) to a group of workers. A right
// named "dc/0" is preferably held by an instance of the data centre "dc".
//
// The voters are members of a gossiped member list: all members of a small
// cluster, the longest-standing ones of a large cluster. They agree on the set of
// voters, one change at a time. There is no central list of instances, nothing is
// stored, and instances may join, leave and restart without any state from before.
//
// Invariants, for every right:
//   - A voter promises its vote to one instance at a time, and keeps the promise
//     for longer than that instance relies on it.
//   - A voter is one incarnation of a member: an instance that has restarted votes
//     only after a majority of the voters has agreed to add it.
//   - Two consecutive sets of voters differ by one voter, so any quorum of one and
//     any quorum of the other have a voter in common. A set follows another only
//     after a quorum of that one has acknowledged it.
//   - A holder never counts a vote in a set older than that of the voter.
//   - A new voter, and every voter of a set that followed too soon for the votes in
//     earlier sets to have expired, assumes that it has promised its vote to
//     another instance.
//   - A cluster is founded only while no coordinator is heard and no worker has
//     received an order for Config.TurnGap.
package quorum

import "time"

// Config holds the timing and size limits of a Machine. All instances must use
// the same values.
type Config struct {
	// LeaseTTL is how long a vote counts, from the time it was requested. A shorter
	// value allows a faster takeover from a failed holder; a longer one tolerates
	// more lost heartbeats.
	LeaseTTL time.Duration
	// Margin is how much longer than LeaseTTL a voter keeps its promise. It must
	// exceed the drift between two clocks within LeaseTTL.
	Margin time.Duration
	// TurnGap is the minimum time between the last order of one holder and the
	// first order of the next.
	TurnGap time.Duration
	// LiveFor is how long a member counts as live after it was last heard from.
	LiveFor time.Duration
	// RemoveAfter is the silence after which a majority of the voters removes a
	// member. A longer value keeps a partitioned member from being removed; with
	// a shorter one the rest can continue sooner after many members are lost.
	RemoveAfter time.Duration
	// RemoveEvery is the minimum time between two removals, so that members that
	// are heard again can refute theirs before the next.
	RemoveEvery time.Duration
	// OwnRegion limits the cluster to the members of this instance's region: they
	// are the only voters and, except for seeds, the only peers.
	OwnRegion bool
	// MaxVoters bounds the number of voters in a cluster. The other members are
	// followers: they send heartbeats only to voters and hold no rights. More
	// voters tolerate more failures at once, but the number of heartbeats grows
	// with members times voters.
	MaxVoters int
	// HeartbeatEvery is the interval between heartbeats. A shorter value spreads
	// state updates sooner and costs more control traffic.
	HeartbeatEvery time.Duration
	// FollowersPerSecond bounds the rate of heartbeats that a voter receives from
	// all followers together: in a large cluster each follower sends less often.
	// Zero or less means no bound.
	FollowersPerSecond float64
	// SeedEvery is the interval between heartbeats to seeds that are not peers,
	// while a coordinator is heard.
	SeedEvery time.Duration
	// SeedWait is how much longer than TurnGap an instance that hears neither a
	// coordinator nor most of the members waits before it founds a cluster of those
	// that it hears. It should exceed the usual duration of a network partition.
	SeedWait time.Duration
}

// DefaultConfig returns the configuration for a single cluster of all instances.
func DefaultConfig(turnGap time.Duration) Config {
	return Config{
		LeaseTTL:           1200 * time.Millisecond, // tolerates four lost heartbeats
		Margin:             200 * time.Millisecond,
		TurnGap:            turnGap,
		LiveFor:            900 * time.Millisecond, // tolerates three lost heartbeats
		RemoveAfter:        20 * time.Second,
		RemoveEvery:        5 * time.Second,
		SeedWait:           20 * time.Second,
		SeedEvery:          2 * time.Second,
		MaxVoters:          9, // three per data centre if there are three data centres
		HeartbeatEvery:     250 * time.Millisecond,
		FollowersPerSecond: 120, // a heartbeat costs a voter about 0.15 ms: 2% of a core
	}
}

// RegionConfig returns the configuration for a separate cluster in each region.
func RegionConfig(turnGap time.Duration) Config {
	c := DefaultConfig(turnGap)
	c.OwnRegion = true
	c.HeartbeatEvery = 400 * time.Millisecond
	c.LeaseTTL = 2 * time.Second        // tolerates four lost heartbeats
	c.LiveFor = 1500 * time.Millisecond // tolerates three lost heartbeats
	c.Margin = 300 * time.Millisecond
	return c
}

// promiseTTL is how long a vote binds its voter.
func (c Config) promiseTTL() time.Duration { return c.LeaseTTL + c.Margin }
