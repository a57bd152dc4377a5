package fairshare

import (
	"math"
	"time"
)

// outcomeHalfLife is the half-life of counted outcomes.
const outcomeHalfLife = time.Second

// leastRejected is the decayed number of rejections of a rank from which less urgent ranks
// yield: a single one is no sign of scarcity.
const leastRejected = 2

// leastYield is the least number of served requests of a less urgent rank, relative to the
// rejected ones of a more urgent rank, for which it yields. What fewer requests leave would
// help the others little; in a simulated flood of the most urgent rank the sum of what all
// callers got was lower.
const leastYield = 0.25

// Outcomes counts which ranks of a service were served and rejected lately. The zero value
// is ready for use. It is not safe for concurrent use.
type Outcomes struct {
	ranks map[int]*rankOutcomes
}

type rankOutcomes struct {
	served, rejected float64
	updatedAt        time.Duration
}

// Record counts a request that was sent to a worker, or rejected for want of capacity.
// Requests that were rejected because their organisation is above its share do not count.
func (o *Outcomes) Record(at time.Duration, rank int, served bool) {
	if o.ranks == nil {
		o.ranks = make(map[int]*rankOutcomes)
	}
	r := o.ranks[rank]
	if r == nil {
		r = &rankOutcomes{updatedAt: at}
		o.ranks[rank] = r
	}
	r.decay(at)
	if served {
		r.served++
	} else {
		r.rejected++
	}
}

// Yields reports whether a request of a rank should leave the capacity to a more urgent
// rank: one of these is rejected more often, and this rank takes a part of the capacity
// that matters. No rank yields where no outcomes were recorded; o may be nil then.
func (o *Outcomes) Yields(at time.Duration, rank int) bool {
	if o == nil || o.ranks[rank] == nil {
		return false
	}
	own := o.rejectedShare(at, rank)
	for other, r := range o.ranks {
		if other >= rank || o.rejectedShare(at, other) <= own {
			continue
		}
		if r.rejected >= leastRejected && o.ranks[rank].served > leastYield*r.rejected {
			return true
		}
	}
	return false
}

// rejectedShare returns the fraction of a rank's requests that were rejected.
func (o *Outcomes) rejectedShare(at time.Duration, rank int) float64 {
	r := o.ranks[rank]
	if r == nil {
		return 0
	}
	r.decay(at)
	if r.rejected == 0 {
		return 0
	}
	return r.rejected / (r.served + r.rejected)
}

func (r *rankOutcomes) decay(at time.Duration) {
	factor := math.Exp2(-float64(at-r.updatedAt) / float64(outcomeHalfLife))
	r.served, r.rejected, r.updatedAt = r.served*factor, r.rejected*factor, at
}
