// Package retry bounds how many requests an instance sends a second time, as its
// share of what all instances together may.
package retry

import "time"

// Config is the operators' bound over all instances.
type Config struct {
	// Ratio is the share of a window's requests that may be sent again.
	Ratio float64
	// Slack is the number that may be sent again beside the ratio.
	Slack float64
	// Window is the span over which both are counted.
	Window time.Duration
	// Safety is the part of the bound that is used, since instances don't know
	// each other's counts. Below 1.
	Safety float64
}

// buckets is how finely a window is counted.
const buckets = 10

// Budget counts one service's requests and repeats. It is not safe for
// concurrent use.
type Budget struct {
	config   Config
	requests [buckets]int
	repeats  [buckets]int
	at       int64
}

// NewBudget returns an unused budget.
func NewBudget(config Config) *Budget { return &Budget{config: config} }

func (b *Budget) advance(now time.Duration) {
	slot := int64(now / (b.config.Window / buckets))
	for steps := min(slot-b.at, buckets); steps > 0; steps-- {
		i := (slot - steps + 1) % buckets
		b.requests[i], b.repeats[i] = 0, 0
	}
	b.at = max(b.at, slot)
}

// Request counts a request that a caller sent.
func (b *Budget) Request(now time.Duration) {
	b.advance(now)
	b.requests[b.at%buckets]++
}

// Repeat takes one repeat, or reports that none is left for an instance that is
// one of members.
func (b *Budget) Repeat(now time.Duration, members int) bool {
	if b.Left(now, members) < 1 {
		return false
	}
	b.repeats[b.at%buckets]++
	return true
}

// Left is what remains of the share of one of members.
func (b *Budget) Left(now time.Duration, members int) float64 {
	b.advance(now)
	requests, repeats := 0, 0
	for i := range buckets {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	return b.config.Safety*(b.config.Ratio*float64(requests)+b.config.Slack/float64(max(members, 1))) - float64(repeats)
}
