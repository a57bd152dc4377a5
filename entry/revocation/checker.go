// Package revocation confirms, through the store and other instances, that the
// configuration of this instance is the newest.
package revocation

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/revocation"
)

// Answer is what a peer says of its configuration.
type Answer struct {
	Version uint64
	// Confirmed is set if the peer knew Age before it answered that its version is the
	// newest.
	Confirmed bool
	Age       time.Duration
}

// Peers are the other instances. Its methods are called concurrently.
type Peers interface {
	// ConfirmationSources lists peers to ask, those that read the store first.
	ConfirmationSources() (readers, others []string)
	AskConfirmation(ctx context.Context, peer string) (Answer, error)
	// ConfigVersion returns the version of the configuration in force here.
	ConfigVersion() uint64
	// HandlePeerVersion takes the version that a peer has.
	HandlePeerVersion(peer string, version uint64)
}

// Checker knows whether the configuration of this instance is confirmed. It is safe for
// concurrent use.
type Checker struct {
	now    func() time.Duration
	peers  Peers
	strict bool
	// started is set once Started has returned true, after which it always does. Every
	// request asks.
	started atomic.Bool
	mu      sync.Mutex
	guard   *revocation.Guard
	// asked counts the questions; they go to the peers in turn.
	asked    int
	inFlight int
}

const (
	// askTimeout bounds a question to a peer: several round trips between regions.
	askTimeout = 600 * time.Millisecond
	// maxQuestions bounds the questions in progress, so that a peer that does not respond
	// does not hold up the next one.
	maxQuestions = 3
	// readerTurns is how many of questionTurns questions go to peers that read the store,
	// where some are known. The others find a confirmation that arrives on another way.
	readerTurns, questionTurns = 3, 4
)

// New returns a checker for an instance that starts now.
func New(config revocation.Config, now func() time.Duration, peers Peers) *Checker {
	return &Checker{now: now, peers: peers, strict: config.Strict, guard: revocation.NewGuard(config, now())}
}

// StoreConfirmed records that the store had no newer configuration than this instance
// some time ago.
func (c *Checker) StoreConfirmed(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.StoreConfirmed(c.now() - age)
}

// HearPeer records that a peer has said which version it has.
func (c *Checker) HearPeer(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.HearPeer(version)
}

// Started reports whether the instance has asked the store and its peers after its start.
// behind returns how long a newer version has been known; it is not called after the start.
func (c *Checker) Started(behind func() time.Duration) bool {
	if c.started.Load() {
		return true
	}
	lag := behind()
	c.mu.Lock()
	defer c.mu.Unlock()
	started := c.guard.Started(c.now(), lag)
	c.started.Store(started)
	return started
}

// Current reports whether keys may be judged by the configuration in force.
func (c *Checker) Current() bool {
	if !c.strict {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.Current(c.now())
}

// Age returns the time since the configuration was last confirmed to be the newest, and
// false if it never was.
func (c *Checker) Age() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.Age(c.now())
}

// Refresh asks a peer if a confirmation is due. It does not wait for the answer; run runs
// the question in the background.
func (c *Checker) Refresh(run func(func())) {
	peer := c.nextPeer()
	if peer == "" {
		return
	}
	run(func() {
		defer c.questionEnded()
		c.ask(peer)
	})
}

// nextPeer returns the peer to ask now, or "" for none. A question to it is in progress
// then.
func (c *Checker) nextPeer() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight >= maxQuestions || !c.guard.Ask(c.now()) {
		return ""
	}
	readers, others := c.peers.ConfirmationSources()
	c.asked++
	turn, from := c.asked/questionTurns, others
	if len(readers) > 0 && (c.asked%questionTurns < readerTurns || len(others) == 0) {
		turn, from = c.asked, readers
	}
	if len(from) == 0 {
		return ""
	}
	slices.Sort(from)
	c.inFlight++
	return from[turn%len(from)]
}

func (c *Checker) questionEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
}

// ask asks a peer. What it says holds for the time at which the question was sent, since
// the answer may have been delayed on the way.
func (c *Checker) ask(peer string) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	sentAt := c.now()
	answer, err := c.peers.AskConfirmation(ctx, peer)
	if err != nil {
		return // the next question goes to another peer
	}
	if answer.Version > c.peers.ConfigVersion() {
		c.peers.HandlePeerVersion(peer, answer.Version)
		return
	}
	if answer.Confirmed && answer.Age >= 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.guard.Confirm(sentAt - answer.Age)
	}
}
