package quota

import "time"

// Seeds is the largest number of instances that run a reserve meter. The share of each
// does not depend on how many there are, since instances may have different lists.
const Seeds = 3

// seedTokens returns what the reserve meters of all seeds may grant within a window and
// the lifetime of a grant: half of the excess, or down to a third if the buckets would
// otherwise be too small for the largest requests.
func (c Config) seedTokens(l Limit) float64 {
	excess := c.excess(l)
	wanted := l.Largest * wantedRequests * float64(c.Clusters*c.MetersPerCluster)
	left := excess - c.age(l) - max(wanted-l.Burst, 0)/capacityShare
	return min(max(left, excess/3), excess/2)
}

// wantedRequests is how many of the largest requests each bucket should hold before the
// seeds have more than a third of the excess. With two of them up to 1 in 100 requests was
// refused at 0.9 of a limit of 42,000 tokens per second, with 2.5 up to 7 in 1,000.
const wantedRequests = 2.5

// The capacity of a seed's bucket is part of its tokens, and the rest what the bucket
// gains. A larger capacity serves larger requests, a smaller one more of them in a long
// outage.
const (
	// requestPart is the least capacity, as a fraction of the largest requests: the three
	// seeds together can then serve a third of their size.
	requestPart = 0.11
	// leastSeedCapacity and mostSeedCapacity are bounds as fractions of the tokens.
	leastSeedCapacity, mostSeedCapacity = 0.2, 0.4
)

// SeedShare returns the share of a reserve meter. The bucket of a seed is empty when it
// starts, so that a restart creates no tokens.
func (c Config) SeedShare(l Limit) Share {
	tokens := c.seedTokens(l) / Seeds
	capacity := min(max(requestPart*l.Largest, leastSeedCapacity*tokens), mostSeedCapacity*tokens)
	return Share{Rate: (tokens - capacity) / (c.Window + c.Lifetime()).Seconds(), Capacity: capacity}
}

// SeedPart returns how much of missing tokens to ask of one seed, like Part.
func (c Config) SeedPart(l Limit, missing int64) int64 {
	return equalPart(missing, c.SeedShare(l).Capacity, Seeds, 1)
}

// NewReserveMeter returns the reserve meter of a seed, which has served since startedAt.
func NewReserveMeter(config Config, startedAt time.Duration) *Meter {
	m := NewMeter(config, startedAt)
	m.isReserve = true
	return m
}

// pickSeed returns the seed to ask for a part of what a request needs, and the part, or -1
// if a meter responds or the seeds that may have enough could not complete the request.
func (a *Account) pickSeed(now time.Duration, r *Request) (meter int, part int64) {
	if responding, _ := a.responding(now); responding || r.asks >= asksPerMeter*len(a.meters) {
		return -1, 0
	}
	missing := r.need - a.pool.Available(now)
	part = a.config.SeedPart(a.limit, missing)
	first, sum := -1, int64(0)
	for _, ref := range a.seeds {
		if r.tried&(1<<ref.Index) != 0 || !a.seedMayGrant(now, ref, part) {
			continue
		}
		if first < 0 {
			first = ref.Index
		}
		sum += part
	}
	if part == 0 || sum < missing {
		return -1, 0
	}
	return first, part
}

// seedMayGrant reports whether a seed responds, as far as is known, and has not refused
// an amount lately.
func (a *Account) seedMayGrant(now time.Duration, ref MeterRef, amount int64) bool {
	m := &a.meters[ref.Index]
	if m.busy || now < m.failedUntil {
		return false
	}
	return now >= m.askFrom || m.level+a.config.SeedShare(a.limit).Rate*(now-m.levelAt).Seconds() >= float64(amount)
}
