// Package quota divides the quota of an organisation among the instances that spend
// it, without a vote or a count shared by all of them.
//
// A Meter holds a token bucket for each organisation; several meters share an
// organisation's limit equally. A Pool belongs to one organisation at one instance: it
// holds the tokens that meters granted, which expire, and spends them on requests. With
// no meter reachable an instance asks the reserve meters of the seeds, which need no
// right, and then spends from a small Reserve of its own.
//
// The bound holds in any window of Config.Window, whatever is lost, delayed or
// partitioned: tokens spent are at most (rate x window + burst) x (1 + overage) + slack.
// What this allows beyond rate x window + burst, (rate x window + burst) x overage +
// slack, is divided as follows.
//
//   - Between a third and a half is what the reserve meters of all seeds grant within a
//     window and the lifetime of a grant.
//   - rate x Lifetime covers the age of grants: tokens spent in a window were granted
//     within the window or the lifetime of a grant before it. The lifetime is
//     overage x window / 4.
//   - What remains is spare: seven eighths are capacity of the buckets, on top of the
//     burst, a 64th covers the reserves of the instances, three 64ths the tokens that
//     meters take back late, and a sixteenth the time between the spending of tokens and
//     the start of the request at its worker.
package quota

import "time"

// Limit is the limit of an organisation.
type Limit struct {
	// Rate is in tokens per second, Burst in tokens.
	Rate, Burst float64
	// Largest is the size that most of the organisation's requests don't exceed, in
	// tokens, above zero.
	Largest float64
}

// Config is the bound on all limits, and the number of meters that share a limit. All
// instances must use the same values.
type Config struct {
	// Window is the period of the bound.
	Window time.Duration
	// Overage is the fraction and Slack the number of tokens by which a window's
	// spending may exceed the limit.
	Overage, Slack float64
	// Clusters is the number of clusters, and MetersPerCluster the number of meters in
	// each of them.
	Clusters, MetersPerCluster int
}

// Bound returns the most tokens that may be spent in any window.
func (c Config) Bound(l Limit) float64 { return c.quota(l)*(1+c.Overage) + c.Slack }

// quota returns what a limit allows within a window.
func (c Config) quota(l Limit) float64 { return l.Rate*c.Window.Seconds() + l.Burst }

// Lifetime returns how long a grant counts, from when it was requested.
func (c Config) Lifetime() time.Duration {
	return time.Duration(c.Overage * float64(c.Window) / 4)
}

// excess returns what the bound allows beyond a limit within a window.
func (c Config) excess(l Limit) float64 { return c.quota(l)*c.Overage + c.Slack }

// age returns the tokens that may have been granted within the lifetime of a grant before
// a window and be spent in it.
func (c Config) age(l Limit) float64 { return l.Rate * c.Lifetime().Seconds() }

// spare returns what the reserve meters and the age of grants leave of the excess.
func (c Config) spare(l Limit) float64 { return c.excess(l) - c.seedTokens(l) - c.age(l) }

// Parts of the spare. The reserves of all instances and the late returns to all meters
// are buckets that refill once per window, and so give at most twice their capacity
// within a window.
const (
	capacityShare = 7.0 / 8
	reserveShare  = 1.0 / 128
	returnShare   = 3.0 / 128
)

// capacity returns the capacity of the buckets of all meters.
func (c Config) capacity(l Limit) float64 { return l.Burst + c.spare(l)*capacityShare }

// MetersUsed returns how many meters of each cluster share a limit. The buckets of more
// meters would be too small for the largest requests of an organisation with a low limit.
func (c Config) MetersUsed(l Limit) int {
	perMeter := c.capacity(l) / float64(c.Clusters)
	return min(max(int(perMeter/(l.Largest*requestsPerBucket)), 1), c.MetersPerCluster)
}

// requestsPerBucket is the least number of the largest requests that a bucket holds, if
// the limit is shared by more than one meter of a cluster.
const requestsPerBucket = 2

// Share is the part of a limit that one meter has.
type Share struct {
	// Rate is in tokens per second; Capacity is that of the bucket, and Returns that of
	// the bucket for late returns.
	Rate, Capacity, Returns float64
}

// ShareOf returns the share of a meter. choice is its position among the meters of its
// cluster in an order that is the same on all instances; only the first MetersUsed of
// them have a share.
func (c Config) ShareOf(l Limit, choice int) Share {
	used := c.MetersUsed(l)
	if choice < 0 || choice >= used {
		return Share{}
	}
	meters := float64(used * c.Clusters)
	return Share{Rate: l.Rate / meters, Capacity: c.capacity(l) / meters, Returns: c.spare(l) * returnShare / meters}
}

// largestPart is the largest fraction of a bucket's capacity that is asked for a single
// request. More would often be there only after a long pause.
const largestPart = 0.75

// Part returns how much of missing tokens to ask of one meter: all, if that is well
// within the capacity of its bucket, or else an equal part, to be gathered from several.
// It returns 0 if the meters can't hold as much.
func (c Config) Part(l Limit, missing int64) int64 {
	return equalPart(missing, c.ShareOf(l, 0).Capacity, c.MetersUsed(l)*c.Clusters, largestPart)
}

// equalPart divides missing tokens into the fewest equal parts of which each is at most a
// fraction of the capacity of a bucket, or within the capacity if all meters are needed.
func equalPart(missing int64, capacity float64, meters int, fraction float64) int64 {
	if float64(missing) > capacity*float64(meters) {
		return 0 // also where the sum below would overflow
	}
	for parts := 1; parts <= meters; parts++ {
		part := (missing + int64(parts) - 1) / int64(parts)
		if float64(part) <= fraction*capacity || parts == meters && float64(part) <= capacity {
			return part
		}
	}
	return 0
}
