package quota

import "time"

// Ask asks a meter for tokens of one organisation.
type Ask struct {
	// Amount is what the sender can use, Least what its first waiting request needs.
	// Less than Least is not granted.
	Amount, Least int64
	// Returned are tokens of this meter that were not used.
	Returned int64
}

// Grant is a meter's response to an Ask.
type Grant struct {
	Granted int64
	// Wait is the time until the rest of Amount, or Least if nothing was granted, is
	// there.
	Wait time.Duration
}

// Meter holds the token buckets of a right. Its holder must use a new one for each
// tenure. It is not safe for concurrent use.
type Meter struct {
	config Config
	// filledFrom is the time at which every bucket was empty.
	filledFrom time.Duration
	// isReserve is set for a reserve meter, which has no floor: small requests may take
	// everything, since more requests are served that way.
	isReserve bool
	buckets   map[string]*bucket
}

// NewMeter returns a meter whose buckets were empty at filledFrom. No meter may have
// granted tokens under the same right after that time.
func NewMeter(config Config, filledFrom time.Duration) *Meter {
	return &Meter{config: config, filledFrom: filledFrom, buckets: make(map[string]*bucket)}
}

// Take handles an ask. share is the meter's part of the organisation's limit in force.
func (m *Meter) Take(now time.Duration, organisation string, share Share, ask Ask) Grant {
	b := m.buckets[organisation]
	if b == nil {
		b = &bucket{share: share, at: m.filledFrom, returnsAt: m.filledFrom}
		m.buckets[organisation] = b
	}
	b.advance(now, share, m.config.Window+m.config.Lifetime())
	b.giveBack(ask.Returned)
	floor := 0.0
	if !m.isReserve {
		floor = b.floor(now)
	}
	return b.take(now, ask, floor)
}

// Level returns the tokens in an organisation's bucket as of the last ask, and false if
// there was none.
func (m *Meter) Level(organisation string) (float64, bool) {
	b := m.buckets[organisation]
	if b == nil {
		return 0, false
	}
	return b.level, true
}

// bucket is the token bucket of one organisation.
type bucket struct {
	share Share
	level float64
	at    time.Duration
	// returns is how many tokens may be given back now.
	returns   float64
	returnsAt time.Duration
	// refusedShare is the moving average of the share of requests that were refused,
	// and largest the largest one that was refused lately.
	refusedShare float64
	largest      int64
	largestAt    time.Duration
}

// advance refills the bucket by the former share until now, and then applies share.
// returnPeriod is the time in which the bucket for returns refills.
func (b *bucket) advance(now time.Duration, share Share, returnPeriod time.Duration) {
	if now > b.at {
		b.level = min(b.share.Capacity, b.level+b.share.Rate*(now-b.at).Seconds())
		b.at = now
	}
	if now > b.returnsAt {
		b.returns += b.share.Returns * (now - b.returnsAt).Seconds() / returnPeriod.Seconds()
		b.returnsAt = now
	}
	b.share = share
	b.level = min(b.level, share.Capacity)
	b.returns = min(b.returns, share.Returns)
}

// giveBack adds tokens that were not used. The amount is limited, whatever the age of
// the grant: an ask may arrive long after it was sent, and a bucket that has refilled
// in the meantime would otherwise grant the tokens a second time.
func (b *bucket) giveBack(returned int64) {
	accepted := min(float64(max(returned, 0)), b.returns, b.share.Capacity-b.level)
	b.returns -= accepted
	b.level += accepted
}

// Constants of the floor of a bucket in overload.
const (
	// refusedShareWeight is the weight of one request in the average.
	refusedShareWeight = 1.0 / 32
	// overloadFrom and overloadFull are the shares of refused requests at which the
	// floor begins to rise and is complete. Near the limit the meters of one region often
	// refuse a tenth of the asks, which meters of others then grant.
	overloadFrom, overloadFull = 0.25, 0.4
	// largestTTL is how long a refused request counts as the largest.
	largestTTL = 4 * time.Second
)

// floor returns the level below which requests of any size are refused. In overload it
// is the size of the largest refused request: otherwise small requests, which arrive
// before the bucket has enough for a large one, would take everything.
func (b *bucket) floor(now time.Duration) float64 {
	if now-b.largestAt > largestTTL {
		return 0
	}
	share := min(max((b.refusedShare-overloadFrom)/(overloadFull-overloadFrom), 0), 1)
	return share * min(float64(b.largest), largestPart*b.share.Capacity)
}

// take grants Least if the level allows it, and the rest of Amount from what is then
// above the floor.
func (b *bucket) take(now time.Duration, ask Ask, floor float64) Grant {
	amount, least := max(ask.Amount, ask.Least, 0), max(ask.Least, 0)
	if amount == 0 {
		return Grant{}
	}
	required := max(float64(least), floor)
	if least > 0 {
		b.recordRequest(now, least, b.level < required)
	}
	if b.level < required {
		return Grant{Wait: b.timeFor(required)}
	}
	extra := int64(max(b.level-float64(least)-floor, 0))
	granted := least + min(amount-least, extra)
	b.level -= float64(granted)
	if granted == amount {
		return Grant{Granted: granted}
	}
	return Grant{Granted: granted, Wait: b.timeFor(float64(amount-granted) + floor)}
}

// recordRequest counts a request for the floor.
func (b *bucket) recordRequest(now time.Duration, least int64, refused bool) {
	sample := 0.0
	if refused {
		sample = 1
		if least >= b.largest || now-b.largestAt > largestTTL {
			b.largest, b.largestAt = least, now
		}
	}
	b.refusedShare += (sample - b.refusedShare) * refusedShareWeight
}

// maxWait bounds Grant.Wait.
const maxWait = time.Minute

// timeFor returns the time until the bucket holds an amount.
func (b *bucket) timeFor(amount float64) time.Duration {
	if b.share.Rate <= 0 || amount > b.share.Capacity {
		return maxWait
	}
	seconds := max(amount-b.level, 0) / b.share.Rate
	return min(time.Duration(seconds*float64(time.Second)), maxWait)
}
