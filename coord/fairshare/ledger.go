package fairshare

import (
	"math"
	"time"
)

// Use is the work of an organisation's requests.
type Use struct {
	// InProgress is the expected time at workers of the requests in progress.
	InProgress time.Duration
	// Recent is the same for the requests that were sent to workers lately, decayed with
	// UseHalfLife.
	Recent time.Duration
}

// Add returns the sum of two uses.
func (u Use) Add(other Use) Use {
	return Use{InProgress: u.InProgress + other.InProgress, Recent: u.Recent + other.Recent}
}

// Aged returns the use that was reported a time ago: its recent work has decayed.
func (u Use) Aged(age time.Duration) Use {
	u.Recent = time.Duration(float64(u.Recent) * decayed(age))
	return u
}

// total is the figure that shares are compared by. Work in progress counts until it ends,
// so that long requests are not forgotten while they occupy a worker.
func (u Use) total() float64 { return float64(u.InProgress + u.Recent) }

// UseHalfLife is the half-life of recent work: a few times the longest interval between
// heartbeats. Half of it or twice as much makes no difference in the simulated floods.
const UseHalfLife = time.Second

// negligibleWork is the use below which an idle organisation is dropped.
const negligibleWork = time.Millisecond

// Ledger records the work of this instance's own requests by organisation. It is not safe
// for concurrent use.
type Ledger struct {
	accounts map[string]*account
}

type account struct {
	inProgress time.Duration
	recent     float64
	updatedAt  time.Duration
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{accounts: make(map[string]*account)} }

// Begin records that a request is sent to a worker.
func (l *Ledger) Begin(at time.Duration, organisation string, work time.Duration) {
	a := l.accounts[organisation]
	if a == nil {
		a = &account{updatedAt: at}
		l.accounts[organisation] = a
	}
	a.decay(at)
	a.inProgress += work
	a.recent += float64(work)
}

// End records that a request is no longer at a worker.
func (l *Ledger) End(organisation string, work time.Duration) {
	if a := l.accounts[organisation]; a != nil {
		a.inProgress = max(a.inProgress-work, 0)
	}
}

// Uses returns the use of every organisation, and drops those that have none.
func (l *Ledger) Uses(at time.Duration) map[string]Use {
	uses := make(map[string]Use, len(l.accounts))
	for organisation, a := range l.accounts {
		a.decay(at)
		use := Use{InProgress: a.inProgress, Recent: time.Duration(a.recent)}
		if use.InProgress == 0 && use.Recent < negligibleWork {
			delete(l.accounts, organisation)
			continue
		}
		uses[organisation] = use
	}
	return uses
}

func (a *account) decay(at time.Duration) {
	a.recent *= decayed(at - a.updatedAt)
	a.updatedAt = at
}

// decayed returns what is left of recent work after a time.
func decayed(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(UseHalfLife))
}
