package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/quota"
)

// account is the state of one organisation at a Client: its pool, what is known of the
// meters, and the requests that wait for tokens.
type account struct {
	name string
	// order holds the indexes of the meters in the order in which they are asked.
	order []int

	mu    sync.Mutex
	limit quota.Limit
	pool  *quota.Pool
	// reserve is nil until a meter has responded: the number of instances, which the
	// reserve depends on, is not known before.
	reserve *quota.Reserve
	meters  []meterState // by index
	waiting []*waiter
	// asking is set while a goroutine asks meters for this account.
	asking bool
	counts Counts
	// reported is counts as of the last call of Client.Changed.
	reported Counts
}

// total returns the totals with what is held now.
func (a *account) total(now time.Duration) Counts {
	counts := a.counts
	counts.Held = a.pool.Available(now)
	return counts
}

// meterState is what an account knows of a meter.
type meterState struct {
	// emptyUntil is when the meter is expected to have enough for a request again,
	// aheadFrom when it is expected to have tokens beyond that.
	emptyUntil, aheadFrom time.Duration
	// failedUntil is the time until which the meter is not asked after a failure.
	failedUntil time.Duration
}

// waiter is a request that waits for tokens.
type waiter struct {
	need int64
	// done receives the result. It has room for it, so that nobody waits for the
	// receiver.
	done chan outcome
}

type outcome struct {
	ticket quota.Ticket
	result Result
}

// ask is a call that an account needs.
type ask struct {
	meter         int
	amount, least int64
	returned      int64
}

// settle resolves the waiting requests that can be resolved without a call, and returns
// the call that is needed next, or false if there is none. a.mu must be held.
func (a *account) settle(c *Client, now time.Duration) (ask, bool) {
	for len(a.waiting) > 0 {
		head := a.waiting[0]
		if ticket, ok := a.pool.Spend(now, head.need); ok {
			a.counts.Spent += head.need
			a.resolve(outcome{ticket, Result{Admitted: true}})
			continue
		}
		part := c.config.Bound.Part(a.limit, head.need-a.pool.Available(now))
		if part == 0 {
			a.refuse(Result{RetryAfter: impossibleRetryAfter})
			continue
		}
		if meter := a.pick(now, false); meter >= 0 {
			return a.newAsk(now, meter, part), true
		}
		a.resolveWithoutMeter(c, now, head)
	}
	if meter := a.pick(now, true); meter >= 0 {
		if ahead := a.pool.Ahead(now); ahead > 0 {
			return a.newAsk(now, meter, 0), true
		}
	}
	return ask{}, false
}

// newAsk returns an ask for least, which the first waiting request needs, for what the
// other ones need and for what is needed ahead.
func (a *account) newAsk(now time.Duration, meter int, least int64) ask {
	amount := least + a.pool.Ahead(now)
	for i, w := range a.waiting {
		if i > 0 {
			amount += w.need
		}
	}
	return ask{meter: meter, amount: amount, least: least, returned: a.pool.Unused(now, meter)}
}

// pick returns the first meter that may have tokens, or -1. ahead asks for one that may
// have more than a request needs.
func (a *account) pick(now time.Duration, ahead bool) int {
	for _, i := range a.order {
		m := &a.meters[i]
		if now >= m.emptyUntil && now >= m.failedUntil && (!ahead || now >= m.aheadFrom) {
			return i
		}
	}
	return -1
}

// impossibleRetryAfter is the Retry-After of a request that needs more than the meters
// can hold.
const impossibleRetryAfter = time.Minute

// resolveWithoutMeter resolves the first waiting request when no meter is worth asking:
// a meter that responded has too few tokens, or no meter is reachable.
func (a *account) resolveWithoutMeter(c *Client, now time.Duration, head *waiter) {
	empty, failed := time.Duration(-1), time.Duration(-1)
	for i := range a.meters {
		m := &a.meters[i]
		if now < m.emptyUntil && now >= m.failedUntil {
			empty = shorter(empty, m.emptyUntil-now)
		} else {
			failed = shorter(failed, m.failedUntil-now)
		}
	}
	if empty >= 0 {
		a.refuse(Result{RetryAfter: spread(empty)})
		return
	}
	if a.reserve != nil {
		if ticket, ok := a.reserve.Spend(now, c.config.Bound, a.limit, c.instances(), head.need); ok {
			a.counts.Spent += head.need
			a.counts.Reserve += head.need
			a.resolve(outcome{ticket, Result{Admitted: true}})
			return
		}
	}
	a.refuse(Result{Unreachable: true, RetryAfter: spread(failed)})
}

// shorter returns the shorter of two durations; a negative one is none.
func shorter(a, b time.Duration) time.Duration {
	if a < 0 {
		return b
	}
	return min(a, b)
}

// Bounds of the random extension of a Retry-After.
const (
	// spreadShare is the largest extension as a fraction of the wait, and minSpread the
	// least range of the extension.
	spreadShare = 0.5
	minSpread   = 100 * time.Millisecond
)

// spread extends a wait at random, so that callers that were refused together do not
// return together.
func spread(wait time.Duration) time.Duration {
	extension := max(time.Duration(spreadShare*float64(wait)), minSpread)
	return max(wait, 0) + time.Duration(rand.Int64N(int64(extension)))
}

// refuse resolves the first waiting request with a refusal.
func (a *account) refuse(r Result) {
	if r.Unreachable {
		a.counts.Unreachable++
	} else {
		a.counts.Refused++
	}
	a.resolve(outcome{result: r})
}

// resolve sends the result of the first waiting request and removes it.
func (a *account) resolve(o outcome) {
	head := a.waiting[0]
	a.waiting = append(a.waiting[:0], a.waiting[1:]...)
	head.done <- o
}

// applyGrant records the response to an ask that was sent at sentAt.
func (a *account) applyGrant(now, sentAt time.Duration, sent ask, granted int64, wait time.Duration) {
	granted = min(max(granted, 0), sent.amount)
	if a.reserve == nil {
		a.reserve = quota.NewReserve(now)
	}
	a.counts.Granted += granted
	a.pool.Add(sentAt, sent.meter, granted)
	m := &a.meters[sent.meter]
	if granted >= sent.amount {
		return
	}
	until := now + min(max(wait, minEmptyPause), maxEmptyPause)
	if granted < sent.least {
		m.emptyUntil = until
	}
	m.aheadFrom = until
}

// maxEmptyPause bounds how long a meter that had too few tokens is not asked again. It
// may get tokens sooner than it said: its limit may be raised, or tokens returned.
const maxEmptyPause = 2 * time.Second

// applyFailure records that a meter could not be asked.
func (a *account) applyFailure(now time.Duration, meter int) {
	a.meters[meter].failedUntil = now + failurePause
}

// abandon removes a request that waits no longer. It returns false if the request has
// been resolved.
func (a *account) abandon(w *waiter) bool {
	for i, other := range a.waiting {
		if other == w {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			return true
		}
	}
	return false
}
