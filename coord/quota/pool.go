package quota

import (
	"math"
	"time"
)

// Ticket is the tokens that were spent on one request.
type Ticket struct {
	// grant is used first, more after it.
	grant grant
	more  []grant
	// reserve is the part that was spent from a Reserve.
	reserve int64
}

// grant is a number of tokens of one meter, or a part of it.
type grant struct {
	meter   int
	amount  int64
	expires time.Duration
}

// Amount returns the number of tokens.
func (t Ticket) Amount() int64 {
	amount := t.grant.amount + t.reserve
	for _, g := range t.more {
		amount += g.amount
	}
	return amount
}

// Expires returns the time until which the request may start. Tokens of a reserve don't
// expire.
func (t Ticket) Expires() time.Duration {
	if t.grant.amount == 0 {
		return math.MaxInt64
	}
	return t.grant.expires
}

// Pool is the tokens of one organisation at one instance, and a forecast of what its
// requests need next. It is not safe for concurrent use.
type Pool struct {
	lifetime time.Duration
	// grants are ordered by expiry.
	grants []grant
	// unused are tokens that expired, by meter; expires is when.
	unused []grant
	demand demand
}

// NewPool returns an empty pool.
func NewPool(config Config) *Pool { return &Pool{lifetime: config.Lifetime()} }

// Add adds tokens that were asked for at requestedAt.
func (p *Pool) Add(requestedAt time.Duration, meter int, amount int64) {
	if amount <= 0 {
		return
	}
	p.insert(grant{meter, amount, requestedAt + p.lifetime})
}

func (p *Pool) insert(g grant) {
	i := len(p.grants)
	for i > 0 && p.grants[i-1].expires > g.expires {
		i--
	}
	p.grants = append(p.grants, grant{})
	copy(p.grants[i+1:], p.grants[i:])
	p.grants[i] = g
}

// expire moves grants that have expired to the unused ones.
func (p *Pool) expire(now time.Duration) {
	n := 0
	for n < len(p.grants) && now >= p.grants[n].expires {
		p.discard(p.grants[n])
		n++
	}
	if n > 0 {
		p.grants = append(p.grants[:0], p.grants[n:]...)
	}
}

// discard adds a grant to the unused ones.
func (p *Pool) discard(g grant) {
	for i := range p.unused {
		if p.unused[i].meter == g.meter {
			p.unused[i].amount += g.amount
			p.unused[i].expires = max(p.unused[i].expires, g.expires)
			return
		}
	}
	p.unused = append(p.unused, g)
}

// Available returns the tokens that can be spent now.
func (p *Pool) Available(now time.Duration) int64 {
	p.expire(now)
	sum := int64(0)
	for _, g := range p.grants {
		sum += g.amount
	}
	return sum
}

// Spend takes tokens for a request, those that expire first before others. It takes
// nothing if there are too few.
func (p *Pool) Spend(now time.Duration, amount int64) (Ticket, bool) {
	if p.Available(now) < amount {
		return Ticket{}, false
	}
	var t Ticket
	used := 0
	for amount > 0 {
		g := &p.grants[used]
		part := grant{g.meter, min(g.amount, amount), g.expires}
		g.amount -= part.amount
		amount -= part.amount
		if t.grant.amount == 0 {
			t.grant = part
		} else {
			t.more = append(t.more, part)
		}
		if g.amount == 0 {
			used++
		}
	}
	p.grants = append(p.grants[:0], p.grants[used:]...)
	return t, true
}

// Restore takes back the tokens of a request that has not run and never will. They keep
// their expiry. Those of a reserve are lost.
func (p *Pool) Restore(now time.Duration, t Ticket) {
	p.restore(now, t.grant)
	for _, g := range t.more {
		p.restore(now, g)
	}
}

func (p *Pool) restore(now time.Duration, g grant) {
	switch {
	case g.amount == 0:
	case now >= g.expires:
		p.discard(g)
	default:
		p.insert(g)
	}
}

// unusedTTL is how long after their expiry unused tokens are returned to their meter.
const unusedTTL = 2 * time.Second

// Unused returns the tokens of a meter that expired recently without having been used.
// They count as returned.
func (p *Pool) Unused(now time.Duration, meter int) int64 {
	p.expire(now)
	for i, g := range p.unused {
		if g.meter == meter {
			p.unused = append(p.unused[:i], p.unused[i+1:]...)
			if now-g.expires > unusedTTL {
				return 0
			}
			return g.amount
		}
	}
	return 0
}

// RecordDemand counts a request for the forecast.
func (p *Pool) RecordDemand(now time.Duration, amount int64) { p.demand.record(now, amount) }

// Ahead returns how many tokens to ask for now, before the pool runs out, or 0 if it
// holds enough or requests are too rare. scarce states that the meters had too few
// lately.
func (p *Pool) Ahead(now time.Duration, scarce bool) int64 {
	tokens, _ := p.demand.rates(now)
	available := p.Available(now)
	if float64(available) >= tokens*refillBefore.Seconds() {
		return 0
	}
	return max(p.Batch(now, scarce)-available, 0)
}

// Batch returns how many tokens to ask for beyond those that a waiting request needs.
func (p *Pool) Batch(now time.Duration, scarce bool) int64 {
	tokens, requests := p.demand.rates(now)
	frequent, share := frequentRequests, aheadShare
	if scarce {
		frequent, share = frequentIfScarce, aheadIfScarce
	}
	if requests*p.lifetime.Seconds() < frequent {
		return 0
	}
	return int64(tokens * share * p.lifetime.Seconds())
}

// Constants of the tokens that are asked for ahead of demand. Those that are not needed
// within the lifetime of a grant expire, which is no loss while the meters have more than
// is asked for.
const (
	// frequentRequests is the least number of requests within the lifetime of a grant
	// for which tokens are asked ahead, and aheadShare the part of the lifetime whose
	// demand is asked.
	frequentRequests, aheadShare = 2.0, 0.8
	// frequentIfScarce and aheadIfScarce replace them while tokens are scarce.
	frequentIfScarce, aheadIfScarce = 8.0, 0.5
	// refillBefore is how long before the tokens run out more are asked for: two round
	// trips between regions.
	refillBefore = 80 * time.Millisecond
)

// demand measures the recent requests of an organisation.
type demand struct {
	tokens, requests float64
	at               time.Duration
}

// demandPeriod is the time constant of the average demand.
const demandPeriod = 2 * time.Second

func (d *demand) decay(now time.Duration) {
	if now <= d.at {
		return
	}
	factor := math.Exp(-float64(now-d.at) / float64(demandPeriod))
	d.tokens *= factor
	d.requests *= factor
	d.at = now
}

func (d *demand) record(now time.Duration, amount int64) {
	d.decay(now)
	d.tokens += float64(amount)
	d.requests++
}

// rates returns the tokens and requests per second.
func (d *demand) rates(now time.Duration) (tokens, requests float64) {
	d.decay(now)
	return d.tokens / demandPeriod.Seconds(), d.requests / demandPeriod.Seconds()
}
