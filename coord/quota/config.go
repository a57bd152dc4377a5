// Package quota divides the quota of an organisation among the instances that spend
// it, without a vote or a count shared by all of them.
//
// A Meter holds a token bucket for each organisation; several meters share an
// organisation's limit equally. A Pool belongs to one organisation at one instance: it
// holds the tokens that meters granted, which expire, and spends them on requests. With
// no meter reachable an instance spends from a small Reserve.
//
// The bound holds in any window of Config.Window, whatever is lost, delayed or
// partitioned: tokens spent are at most (rate x window + burst) x (1 + overage) + slack.
// The excess over rate x window + burst is divided as follows; a half is
// (rate x window + burst) x overage / 2 + slack / 2.
//
//   - Half is capacity of the buckets, on top of the burst.
//   - rate x Lifetime covers the age of grants: tokens spent in a window were granted
//     within the window or the lifetime of a grant before it. The lifetime is
//     overage x window / 2, so this is the part of the other half that grows with rate.
//   - What remains is spare: half of it covers the reserves, a quarter the tokens that
//     meters take back late, and a quarter the time between the spending of tokens
//     and the start of the request at its worker.
package quota

import "time"

// Limit is the limit of an organisation.
type Limit struct {
	// Rate is in tokens per second, Burst in tokens.
	Rate, Burst float64
}

// Config is the bound on all limits, and the number of meters that share a limit. All
// instances must use the same values.
type Config struct {
	// Window is the period of the bound.
	Window time.Duration
	// Overage is the fraction and Slack the number of tokens by which a window's
	// spending may exceed the limit.
	Overage, Slack float64
	// Meters is the number of meters.
	Meters int
}

// Bound returns the most tokens that may be spent in any window.
func (c Config) Bound(l Limit) float64 { return c.quota(l)*(1+c.Overage) + c.Slack }

// quota returns what a limit allows within a window.
func (c Config) quota(l Limit) float64 { return l.Rate*c.Window.Seconds() + l.Burst }

// Lifetime returns how long a grant counts, from when it was requested.
func (c Config) Lifetime() time.Duration {
	return time.Duration(c.Overage * float64(c.Window) / 2)
}

// capacity returns the capacity of the bucket of one meter.
func (c Config) capacity(l Limit) float64 {
	return (l.Burst + (c.quota(l)*c.Overage+c.Slack)/2) / float64(c.Meters)
}

// rate returns the refill rate of the bucket of one meter.
func (c Config) rate(l Limit) float64 { return l.Rate / float64(c.Meters) }

// spare returns what the capacity of the buckets and the age of grants leave of the
// excess that the bound allows.
func (c Config) spare(l Limit) float64 { return (l.Burst*c.Overage + c.Slack) / 2 }

// Parts of the spare for the reserves of all instances and the late returns to all
// meters. Both are buckets that refill once per window, and so give at most twice their
// capacity within a window.
const (
	reserveShare = 0.25
	returnShare  = 0.125
)

// largestPart is the largest fraction of a bucket's capacity that is asked for a single
// request. More would often be there only after a long pause.
const largestPart = 0.75

// Part returns how much of missing tokens to ask of one meter: all, if that is well
// within the capacity of its bucket, or else an equal part, to be gathered from several.
// It returns 0 if the meters can't hold as much.
func (c Config) Part(l Limit, missing int64) int64 {
	capacity := c.capacity(l)
	for meters := 1; meters <= c.Meters; meters++ {
		part := (missing + int64(meters) - 1) / int64(meters)
		if float64(part) <= largestPart*capacity || meters == c.Meters && float64(part) <= capacity {
			return part
		}
	}
	return 0
}
