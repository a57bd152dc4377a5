package balance

import (
	"math"
	"time"
)

// demandHalfLife is the half-life of the weight of past requests. Popularity
// shifts within seconds.
const demandHalfLife = 2 * time.Second

// demandSweepSize is the number of names beyond which those without recent requests
// are dropped.
const demandSweepSize = 8192

// Demand holds an exponentially decaying count of requests by name. It is not safe
// for concurrent use.
type Demand struct {
	counts map[string]decayingCount
}

// decayingCount is a count of requests that was last updated at a time.
type decayingCount struct {
	value float64
	at    time.Duration
}

// NewDemand returns a Demand without requests.
func NewDemand() *Demand { return &Demand{counts: make(map[string]decayingCount)} }

// Add counts a request and returns the decayed count before it.
func (d *Demand) Add(now time.Duration, name string) float64 {
	c := d.counts[name]
	before := c.decayed(now)
	d.counts[name] = decayingCount{value: before + 1, at: now}
	if len(d.counts) > demandSweepSize {
		d.sweep(now)
	}
	return before
}

// Count returns the decayed count.
func (d *Demand) Count(now time.Duration, name string) float64 { return d.counts[name].decayed(now) }

// decayed returns the count as of now.
func (c decayingCount) decayed(now time.Duration) float64 {
	return c.value * math.Exp2(-float64(now-c.at)/float64(demandHalfLife))
}

// sweep drops the names whose count has decayed to almost nothing.
func (d *Demand) sweep(now time.Duration) {
	for name, c := range d.counts {
		if c.decayed(now) < 0.05 {
			delete(d.counts, name)
		}
	}
}
