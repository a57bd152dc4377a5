// Package bytebudget bounds the bytes that an instance holds for its callers, and decides
// which connection is closed when they run short.
package bytebudget

import "time"

// Config bounds the bytes.
type Config struct {
	// Limit is the number of bytes that may be held.
	Limit int64
	// SmallShare is the part of Limit, from 0 to 1, that is left to small reservations, so
	// that large bodies do not keep out the small ones.
	SmallShare float64
	// Small is the size of an account up to which a reservation is small.
	Small int64
	// ResponseShare is the part of Limit, from 0 to 1, up to which responses are held. A
	// caller that does not read its response keeps it for many seconds.
	ResponseShare float64
	// Step is the number of bytes that an account has to receive to have made progress. A
	// caller that sends single bytes at intervals makes none for a long time.
	Step int64
	// StallTime is the time without progress after which a body may be given up at once
	// when bytes are short.
	StallTime time.Duration
}

// DefaultConfig returns the configuration for a limit.
func DefaultConfig(limit int64) Config {
	return Config{Limit: limit, SmallShare: 0.125, ResponseShare: 0.5, Small: 64 << 10, Step: 16 << 10, StallTime: time.Second}
}

// Budget counts the bytes held by accounts. It is not safe for concurrent use.
type Budget struct {
	config Config
	held   int64
	// leaving is the part of held that belongs to evicted accounts.
	leaving int64
	readers map[*Account]struct{}
}

// Account is the bytes held for one connection. Its methods are those of its Budget.
type Account struct {
	held     int64
	received int64
	// stepAt is the value of received at the last progress.
	stepAt       int64
	progressedAt time.Duration
	waiting      bool
	waitingSince time.Duration
	reading      bool
	evicted      bool
	// Owner identifies the connection to the caller of Evict.
	Owner any
}

// New returns a budget of which nothing is held.
func New(config Config) *Budget {
	return &Budget{config: config, readers: make(map[*Account]struct{})}
}

// Held returns the number of bytes held.
func (b *Budget) Held() int64 { return b.held }

// Limit returns the number of bytes that may be held.
func (b *Budget) Limit() int64 { return b.config.Limit }

// Readers returns the number of accounts whose bodies are being read.
func (b *Budget) Readers() int { return len(b.readers) }

// Begin records that the body of a request is being read from now on.
func (b *Budget) Begin(a *Account, now time.Duration) {
	a.reading, a.received, a.stepAt, a.progressedAt = true, 0, 0, now
	b.readers[a] = struct{}{}
}

// Read records the end of reading: the request is passed on or refused, and its
// connection is not evicted any more. It returns false if it has been evicted already.
func (b *Budget) Read(a *Account) bool {
	a.reading = false
	delete(b.readers, a)
	return !a.evicted
}

// Receive records n bytes of a body.
func (b *Budget) Receive(a *Account, n int, now time.Duration) {
	a.received += int64(n)
	if a.received-a.stepAt >= b.config.Step {
		a.stepAt, a.progressedAt = a.received, now
	}
}

// Reserve takes n bytes and reports whether it could.
func (b *Budget) Reserve(a *Account, n int64) bool {
	if a.evicted || b.held+n > b.limitOf(a, n) {
		return false
	}
	a.held += n
	b.held += n
	return true
}

// limitOf returns the bytes that may be held after a reservation of n.
func (b *Budget) limitOf(a *Account, n int64) int64 {
	if a.held+n <= b.config.Small {
		return b.config.Limit
	}
	return b.config.Limit - int64(float64(b.config.Limit)*b.config.SmallShare)
}

// Fits reports whether n bytes for one account would fit if nothing else was held.
func (b *Budget) Fits(n int64) bool { return n <= b.limitOf(&Account{}, n) }

// ReserveResponse takes n bytes for a response and reports whether it could.
func (b *Budget) ReserveResponse(a *Account, n int64) bool {
	if b.held+n > int64(float64(b.config.Limit)*b.config.ResponseShare) {
		return false
	}
	a.held += n
	b.held += n
	return true
}

// Release returns n bytes.
func (b *Budget) Release(a *Account, n int64) {
	n = min(n, a.held)
	a.held -= n
	b.held -= n
	if a.evicted {
		b.leaving -= n
	}
}

// End returns all bytes of an account and ends its reading.
func (b *Budget) End(a *Account) {
	b.Release(a, a.held)
	b.Read(a)
}

// Wait records that an account waits for bytes of others; the time does not count as time
// without progress.
func (b *Budget) Wait(a *Account, now time.Duration) { a.waiting, a.waitingSince = true, now }

// Resume ends Wait.
func (b *Budget) Resume(a *Account, now time.Duration) {
	a.waiting = false
	a.progressedAt += now - a.waitingSince
}

// Evict returns the account whose connection is to be closed so that n bytes can be
// reserved, or nil if none is or enough is being released already. patient is set while
// the reservation can still wait: then only an account that has stalled is returned.
func (b *Budget) Evict(a *Account, n int64, patient bool, now time.Duration) *Account {
	if b.held-b.leaving+n <= b.limitOf(a, n) {
		return nil
	}
	var victim *Account
	for r := range b.readers {
		if r.evicted || r.held == 0 {
			continue
		}
		if victim == nil || b.lessProgress(r, victim, now) {
			victim = r
		}
	}
	if victim == nil || patient && b.idle(victim, now) < b.config.StallTime {
		return nil
	}
	victim.evicted = true
	b.leaving += victim.held
	return victim
}

// idle returns the time without progress of an account that could have made some.
func (b *Budget) idle(a *Account, now time.Duration) time.Duration {
	if a.waiting {
		now = a.waitingSince
	}
	return now - a.progressedAt
}

// lessProgress orders accounts by the time without progress where one of them has
// stalled, else by the bytes received.
func (b *Budget) lessProgress(x, y *Account, now time.Duration) bool {
	idleX, idleY := b.idle(x, now), b.idle(y, now)
	if max(idleX, idleY) >= b.config.StallTime && idleX != idleY {
		return idleX > idleY
	}
	if x.received != y.received {
		return x.received < y.received
	}
	return idleX > idleY
}

// Evicted reports whether the account was chosen to end.
func (a *Account) Evicted() bool { return a.evicted }
