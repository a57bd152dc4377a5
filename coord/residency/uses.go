package residency

import (
	"math"
	"slices"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// trackedAdaptersPerSlot bounds the adapters whose uses a worker tracks, as a
// multiple of its slots.
const trackedAdaptersPerSlot = 64

// usageTracker counts the uses of each adapter with exponential decay.
type usageTracker struct {
	halfLife    time.Duration
	minGap      time.Duration // between requests that count as separate uses
	maxAdapters int
	byAdapter   map[table.AdapterVersion]*usage
}

// usage is the record of one adapter.
type usage struct {
	score       float64 // decayed number of uses at scoredAt
	scoredAt    time.Duration
	lastRequest time.Duration
}

func newUsageTracker(c Config) *usageTracker {
	return &usageTracker{
		halfLife:    c.HalfLife,
		minGap:      c.UseGap,
		maxAdapters: c.Slots * trackedAdaptersPerSlot,
		byAdapter:   make(map[table.AdapterVersion]*usage),
	}
}

// record counts a request for the adapter as a use, unless the previous one is
// less than minGap ago.
func (u *usageTracker) record(now time.Duration, adapter table.AdapterVersion) {
	found, known := u.byAdapter[adapter]
	if !known {
		u.prune(now)
		u.byAdapter[adapter] = &usage{score: 1, scoredAt: now, lastRequest: now}
		return
	}
	if now-found.lastRequest >= u.minGap {
		found.score = u.decayedScore(now, found) + 1
		found.scoredAt = now
	}
	found.lastRequest = now
}

// score returns the decayed number of uses; 0 for an adapter that is not tracked.
func (u *usageTracker) score(now time.Duration, adapter table.AdapterVersion) float64 {
	found, known := u.byAdapter[adapter]
	if !known {
		return 0
	}
	return u.decayedScore(now, found)
}

// lastRequest returns the time of the last request, or zero if the adapter is not
// tracked.
func (u *usageTracker) lastRequest(adapter table.AdapterVersion) time.Duration {
	if found, known := u.byAdapter[adapter]; known {
		return found.lastRequest
	}
	return 0
}

func (u *usageTracker) decayedScore(now time.Duration, use *usage) float64 {
	return use.score * math.Exp2(-float64(now-use.scoredAt)/float64(u.halfLife))
}

// prune drops the adapters with the lower half of the scores when the limit is
// reached.
func (u *usageTracker) prune(now time.Duration) {
	if len(u.byAdapter) < u.maxAdapters {
		return
	}
	scores := make([]float64, 0, len(u.byAdapter))
	for _, known := range u.byAdapter {
		scores = append(scores, u.decayedScore(now, known))
	}
	slices.Sort(scores)
	median := scores[len(scores)/2]
	for adapter, known := range u.byAdapter {
		if u.decayedScore(now, known) <= median {
			delete(u.byAdapter, adapter)
		}
	}
}
