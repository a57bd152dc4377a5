package balance

import (
	"math"
	"time"
)

// demandHalfLife is the time in which past requests count half. Popularity
// shifts within seconds.
const demandHalfLife = 2 * time.Second

// demandSweep is the number of names from which forgotten ones are dropped.
const demandSweep = 8192

// Demand counts requests by name, the latest the most. It is not safe for
// concurrent use.
type Demand struct {
	counts map[string]count
}

type count struct {
	value float64
	at    time.Duration
}

// NewDemand returns an empty count.
func NewDemand() *Demand { return &Demand{counts: make(map[string]count)} }

// Add counts a request and returns the decayed count before it.
func (d *Demand) Add(now time.Duration, name string) float64 {
	c := d.counts[name]
	before := c.decayed(now)
	d.counts[name] = count{value: before + 1, at: now}
	if len(d.counts) > demandSweep {
		d.sweep(now)
	}
	return before
}

func (c count) decayed(now time.Duration) float64 {
	return c.value * math.Exp2(-float64(now-c.at)/float64(demandHalfLife))
}

// sweep drops names that hardly count.
func (d *Demand) sweep(now time.Duration) {
	for name, c := range d.counts {
		if c.decayed(now) < 0.05 {
			delete(d.counts, name)
		}
	}
}
