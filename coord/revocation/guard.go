// Package revocation decides whether an instance may judge keys by the configuration that
// it has: a key may have been revoked by a newer one.
//
// The package does no I/O and reads no clock.
package revocation

import "time"

// Config configures a Guard.
type Config struct {
	// Strict has an instance judge no key while its configuration is unconfirmed for
	// longer than MaxAge. Otherwise it goes on with the last configuration.
	Strict bool
	MaxAge time.Duration
	// HasPeers is set if there are other instances to ask after the start.
	HasPeers bool
	// LagLimit bounds how long a start waits for a newer version that a peer has and this
	// instance does not get.
	LagLimit time.Duration
}

const (
	// startTimeout is how long after the start an instance waits for the store and a
	// peer. Only some instances of a region read the store, and these begin 1.2 s after
	// their start.
	startTimeout = 1500 * time.Millisecond
	// emptyPeerTimeout is how long after the start an instance waits for a peer that has a
	// configuration if one without has responded, which may be starting too. It covers the
	// answers to the first heartbeats, sent to all seeds at the start, and the next
	// heartbeat, up to 400 ms later.
	emptyPeerTimeout = 500 * time.Millisecond
	// askShare is the share of MaxAge after which peers are asked. The rest is for
	// attempts at peers that do not respond.
	askShare = 0.3
	// askShareInterval is the share of MaxAge between two attempts.
	askShareInterval = 0.08
)

// Guard knows as of when this instance's configuration was the newest. It is not safe for
// concurrent use.
type Guard struct {
	config    Config
	startedAt time.Duration
	started   bool
	// heardStore and heardPeer are set once the store has responded, and a peer that has a
	// configuration; heardEmptyPeer once a peer has that has none.
	heardStore, heardPeer, heardEmptyPeer bool
	confirmed                             bool
	confirmedAt                           time.Duration
	askedAt                               time.Duration
}

// NewGuard returns the guard of an instance that starts at a time.
func NewGuard(config Config, startedAt time.Duration) *Guard {
	return &Guard{config: config, startedAt: startedAt, askedAt: startedAt}
}

// StoreConfirmed records that no newer configuration than this instance's was in the
// store at a time.
func (g *Guard) StoreConfirmed(asOf time.Duration) {
	g.heardStore = true
	g.Confirm(asOf)
}

// HearPeer records that a peer has said which version it has; 0 is none.
func (g *Guard) HearPeer(version uint64) {
	g.heardPeer = g.heardPeer || version > 0
	g.heardEmptyPeer = g.heardEmptyPeer || version == 0
}

// askedPeers reports whether the peers have been asked after a start that was some time ago.
func (g *Guard) askedPeers(ago time.Duration) bool {
	return g.heardPeer || !g.config.HasPeers || g.heardEmptyPeer && ago >= emptyPeerTimeout
}

// Confirm records that this instance's configuration was the newest at a time.
func (g *Guard) Confirm(asOf time.Duration) {
	if !g.confirmed || asOf > g.confirmedAt {
		g.confirmed, g.confirmedAt = true, asOf
	}
}

// Started reports whether the instance has asked the store and its peers after its start,
// or has waited for them long enough. It may have missed versions while it did not run.
// behind is how long a peer has reported a newer version than this instance's; 0 if none
// does.
func (g *Guard) Started(at, behind time.Duration) bool {
	if g.started {
		return true
	}
	ago := at - g.startedAt
	asked := g.heardStore && g.askedPeers(ago) || ago >= startTimeout
	g.started = asked && (behind == 0 || behind >= g.config.LagLimit)
	return g.started
}

// Age returns the time since the configuration was last confirmed to be the newest, and
// false if it never was.
func (g *Guard) Age(at time.Duration) (time.Duration, bool) {
	return max(at-g.confirmedAt, 0), g.confirmed
}

// Current reports whether keys may be judged by the configuration.
func (g *Guard) Current(at time.Duration) bool {
	if !g.config.Strict {
		return true
	}
	age, confirmed := g.Age(at)
	return confirmed && age < g.config.MaxAge
}

// Ask reports whether a peer is to be asked now whether the configuration is the newest.
func (g *Guard) Ask(at time.Duration) bool {
	if !g.config.Strict {
		return false
	}
	age, confirmed := g.Age(at)
	if confirmed && age < share(askShare, g.config.MaxAge) || at-g.askedAt < share(askShareInterval, g.config.MaxAge) {
		return false
	}
	g.askedAt = at
	return true
}

func share(fraction float64, of time.Duration) time.Duration {
	return time.Duration(fraction * float64(of))
}
