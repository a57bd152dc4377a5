package residency

import (
	"math"
	"slices"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// usesPerSlot bounds the adapters whose uses a worker remembers, for each slot.
const usesPerSlot = 64

// uses remembers how often adapters were used, with exponential decay.
type uses struct {
	halfLife time.Duration
	gap      time.Duration
	limit    int
	byName   map[table.AdapterVersion]*use
}

type use struct {
	score float64
	at    time.Duration // of score
	last  time.Duration // last request
}

func newUses(c Config) *uses {
	return &uses{
		halfLife: c.HalfLife,
		gap:      c.UseGap,
		limit:    c.Slots * usesPerSlot,
		byName:   make(map[table.AdapterVersion]*use),
	}
}

// count adds a request for the adapter.
func (u *uses) count(now time.Duration, adapter table.AdapterVersion) {
	found, known := u.byName[adapter]
	if !known {
		u.prune(now)
		u.byName[adapter] = &use{score: 1, at: now, last: now}
		return
	}
	if now-found.last >= u.gap {
		found.score = u.decayed(now, found) + 1
		found.at = now
	}
	found.last = now
}

// score returns the decayed number of uses.
func (u *uses) score(now time.Duration, adapter table.AdapterVersion) float64 {
	found, known := u.byName[adapter]
	if !known {
		return 0
	}
	return u.decayed(now, found)
}

// last returns the time of the last request, or zero.
func (u *uses) last(adapter table.AdapterVersion) time.Duration {
	if found, known := u.byName[adapter]; known {
		return found.last
	}
	return 0
}

func (u *uses) decayed(now time.Duration, of *use) float64 {
	return of.score * math.Exp2(-float64(now-of.at)/float64(u.halfLife))
}

// prune forgets the lower half when the limit is reached.
func (u *uses) prune(now time.Duration) {
	if len(u.byName) < u.limit {
		return
	}
	scores := make([]float64, 0, len(u.byName))
	for _, known := range u.byName {
		scores = append(scores, u.decayed(now, known))
	}
	slices.Sort(scores)
	median := scores[len(scores)/2]
	for adapter, known := range u.byName {
		if u.decayed(now, known) <= median {
			delete(u.byName, adapter)
		}
	}
}
