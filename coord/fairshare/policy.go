package fairshare

import (
	"math"
	"time"
)

// shareMargin is the use relative to the share from which an organisation counts as above
// its share. Random variation stays below it for all but very small organisations.
const shareMargin = 1.25

// Request holds what the decision on a request depends on.
type Request struct {
	// HasOrganisation is set if requests belong to organisations; Ratio is then the use of
	// the request's organisation relative to its share.
	HasOrganisation bool
	Ratio           float64
	Rank            int
	// Wait is the expected time until the response begins, and Contention the part of it
	// that other requests cause.
	Wait, Contention time.Duration
	// Left is the time until the deadline, and FullTime what it was on arrival.
	Left, FullTime time.Duration
	// Started is set if the request was sent to a worker before. Its callers wait in the
	// middle of it.
	Started bool
	// Target is the target for the time until the response begins, and TargetLeft what
	// remains of it.
	Target, TargetLeft time.Duration
}

// AboveShare reports whether the request's organisation is above its share.
func (r Request) AboveShare() bool { return r.HasOrganisation && r.Ratio > shareMargin }

// Verdict is a decision on a request.
type Verdict uint8

// Verdicts.
const (
	Admitted Verdict = iota
	// TooLate requests would be answered after their deadline.
	TooLate
	// AboveShare requests come from an organisation above its share while others need
	// the capacity.
	AboveShare
	// Yielding requests leave the capacity to a more urgent rank that is rejected more
	// often.
	Yielding
)

// Scarce reports whether a request with this verdict was rejected for want of capacity,
// which counts for the order of ranks. What an organisation above its share gets does not,
// nor does a wait that other requests do not cause.
func (r Request) Scarce(verdict Verdict) bool {
	return verdict == Yielding || verdict == TooLate && 2*r.Contention > r.Wait
}

// Policy holds the limits of admission.
type Policy struct {
	// DeadlineShare is the fraction of the remaining time that the wait may take; the
	// rest is for errors of the estimate.
	DeadlineShare float64
	// LeastContention is the fraction of the target by which other requests may delay one
	// that is above its share, however far. It is the delay below which there is no
	// scarcity.
	LeastContention float64
	// RanksYield is set if less urgent ranks leave capacity to more urgent ones. It has no
	// effect without organisations, where a request is rejected by its wait only.
	RanksYield bool
}

// DefaultPolicy returns the limits in use.
func DefaultPolicy() Policy {
	return Policy{DeadlineShare: 0.8, LeastContention: 0.1, RanksYield: true}
}

// Decide decides on a request at the worker chosen for it. outcomes are those of the
// request's service; they may be nil without organisations.
func (p Policy) Decide(at time.Duration, r Request, outcomes *Outcomes) Verdict {
	switch {
	case r.Wait > time.Duration(p.DeadlineShare*float64(r.Left)):
		return TooLate
	case r.Started || !r.HasOrganisation:
		return Admitted
	case r.AboveShare() && r.Contention > p.tolerance(r):
		return AboveShare
	case p.RanksYield && r.Contention > p.leastContention(r) && outcomes.Yields(at, r.Rank):
		return Yielding
	}
	return Admitted
}

// tolerance returns the delay by other requests up to which a request above its share is
// admitted. It falls with the cube of the use, so that the queue stays short for those
// within their share although instances learn late of what peers send: in a simulated
// flood with 38 instances and a lost worker the others kept 0.968, with the square 0.945.
func (p Policy) tolerance(r Request) time.Duration {
	excess := r.Ratio / shareMargin
	return max(time.Duration(float64(r.TargetLeft)/(excess*excess*excess)), p.leastContention(r))
}

func (p Policy) leastContention(r Request) time.Duration {
	return time.Duration(p.LeastContention * float64(r.Target))
}

// Limits of Retry-After.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// retrySpread is the largest fraction by which a Retry-After is extended at random,
	// so that callers do not return together.
	retrySpread = 0.25
)

// RetryAfter returns the time after which a rejected request of an organisation can
// probably be served. random is in [0, 1).
func (p Policy) RetryAfter(r Request, verdict Verdict, random float64) time.Duration {
	var wait time.Duration
	switch verdict {
	case AboveShare:
		// The recent work decays to the share, or the others' work ends before.
		decayed := time.Duration(math.Log2(r.Ratio/shareMargin) * float64(UseHalfLife))
		wait = min(decayed, r.Contention)
	case Yielding:
		wait = outcomeHalfLife
	default:
		wait = r.Wait - time.Duration(p.DeadlineShare*float64(r.FullTime))
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(retrySpread*random*float64(wait))
}

// LoadWait returns how long a request may wait for its adapter, of limit: less if its
// organisation is above its share, so that it does not hold the place of others.
func (p Policy) LoadWait(r Request, limit, least time.Duration) time.Duration {
	if !r.AboveShare() {
		return limit
	}
	return min(limit, max(p.tolerance(r), least))
}

// ranksOfEngines is the number of ranks that an engine's priorities distinguish, and
// stepsPerRank the number of priorities of each.
const (
	ranksOfEngines = 3
	stepsPerRank   = 3
)

// EnginePriority returns the priority of a request in an engine's own queue, from 0, the
// most urgent. Within a rank, organisations above their share come last and requests that
// have little of their target left first.
func EnginePriority(r Request) int {
	priority := min(r.Rank, ranksOfEngines-1)*stepsPerRank + 1
	switch {
	case !r.HasOrganisation:
		return priority
	case r.AboveShare():
		priority++
	case r.TargetLeft < r.Target/3:
		priority--
	}
	return max(priority, 0)
}

// ShareClass returns the order of a request among those of its rank, for the wait for an
// adapter slot: 0 without organisations, 1 up to its share, more above it. Classes are
// coarse, so that the number of requests that a load serves still counts among those
// whose use is about the same.
func ShareClass(r Request) int {
	switch {
	case !r.HasOrganisation:
		return 0
	case r.Ratio <= shareMargin:
		return 1
	case r.Ratio <= 2:
		return 2
	case r.Ratio <= 4:
		return 3
	}
	return 4
}
