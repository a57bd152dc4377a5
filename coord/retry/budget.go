// Package retry limits how many requests an instance retries to its share of the
// limit for all instances.
package retry

import "time"

// Config is the limit on retries over all instances, as the operators set it.
type Config struct {
	// Ratio is the fraction of a window's requests that may be retried.
	Ratio float64
	// Slack is the number of retries per window that are allowed on top of the ratio.
	Slack float64
	// Window is the period over which requests and retries are counted.
	Window time.Duration
	// Safety is the fraction of the limit that is used, below 1, since instances
	// don't know each other's counts.
	Safety float64
}

// buckets is the number of intervals into which a window is divided.
const buckets = 10

// Budget counts the requests and retries of one service in a sliding window. It is
// not safe for concurrent use.
type Budget struct {
	config Config
	// requests and retries are ring buffers with one count per bucket.
	requests [buckets]int
	retries  [buckets]int
	// bucket is the number of the latest bucket since time 0.
	bucket int64
}

// NewBudget returns an unused budget.
func NewBudget(config Config) *Budget { return &Budget{config: config} }

// advance moves the window to now and clears the counts that have left it.
func (b *Budget) advance(now time.Duration) {
	current := int64(now / (b.config.Window / buckets))
	for steps := min(current-b.bucket, buckets); steps > 0; steps-- {
		i := (current - steps + 1) % buckets
		b.requests[i], b.retries[i] = 0, 0
	}
	b.bucket = max(b.bucket, current)
}

// Request counts a request from a caller.
func (b *Budget) Request(now time.Duration) {
	b.advance(now)
	b.requests[b.bucket%buckets]++
}

// Take reports whether an instance that is one of members may retry a request, and
// counts the retry if so.
func (b *Budget) Take(now time.Duration, members int) bool {
	if b.Remaining(now, members) < 1 {
		return false
	}
	b.retries[b.bucket%buckets]++
	return true
}

// Remaining returns the number of retries that remain for an instance that is one of
// members. It may be fractional or negative.
func (b *Budget) Remaining(now time.Duration, members int) float64 {
	b.advance(now)
	requests, retries := 0, 0
	for i := range buckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return b.config.Safety*(b.config.Ratio*float64(requests)+b.config.Slack/float64(max(members, 1))) - float64(retries)
}
