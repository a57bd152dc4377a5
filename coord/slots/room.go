package slots

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// wantsByPriority lists the wanted adapters: those with the most requests first,
// then by rank, then the oldest. With organisations, rank and share
// come first; without, the order is that of compareWants alone.
func (p *Planner) wantsByPriority(now time.Duration) []string {
	compare, names := compareWants, slices.Sorted(maps.Keys(p.wants))
	for _, w := range p.wants {
		if w.priority.Share > 0 {
			compare = func(a, b *want) int { return compareSharedWants(now, a, b) }
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return compare(p.wants[a], p.wants[b]) })
	return names
}

// compareWants orders wants of requests without organisations.
func compareWants(a, b *want) int {
	return cmp.Or(cmp.Compare(b.extraRequests, a.extraRequests), cmp.Compare(a.priority.Rank, b.priority.Rank), cmp.Compare(a.since, b.since))
}

// compareSharedWants orders wants of organisations' requests: by rank, then by the use of
// the organisation, then those with the most requests, then those that expire first. A
// want that has used up half of its time goes before the others of its share, and of the
// rank below a more urgent one, so that no rank and no rare adapter starves.
func compareSharedWants(now time.Duration, a, b *want) int {
	lateA, lateB := a.late(now), b.late(now)
	return cmp.Or(
		cmp.Compare(a.priority.Rank-lateA, b.priority.Rank-lateB), cmp.Compare(a.priority.Share, b.priority.Share),
		cmp.Compare(lateB, lateA), cmp.Compare(b.extraRequests, a.extraRequests), cmp.Compare(a.expiresAt, b.expiresAt),
	)
}

// late returns 1 if less than half of the time of the want is left, and 0 otherwise.
func (w *want) late(now time.Duration) int {
	if now-w.since > (w.expiresAt-w.since)/2 {
		return 1
	}
	return 0
}

// loadOrEvict returns the order to load an adapter if a slot is free, and otherwise
// the order to evict another one. If none is idle, it starts to drain one.
func (p *Planner) loadOrEvict(now time.Duration, adapter string) (Order, bool) {
	if len(p.slots) < p.config.Capacity {
		if p.countIn(loading) >= p.config.TransitLimit {
			return Order{}, false
		}
		return Order{Model: p.model, Adapter: adapter}, true
	}
	if victim := p.evictionCandidate(now); victim != "" {
		return Order{Unload: true, Model: p.model, Adapter: victim}, true
	}
	if p.countIn(draining) < p.config.MaxDraining {
		p.drainLeastUsed(now)
	}
	return Order{}, false
}

// isHeldBack reports whether a wanted adapter has to wait since too many are in transit for
// organisations above their share. One slot, and one load, is kept from these: a slot that
// was just given to an adapter cannot be taken from it at once.
func (p *Planner) isHeldBack(adapter string) bool {
	return p.wants[adapter].priority.Share > 1 && p.countIn(loading) >= max(min(p.config.TransitLimit, p.config.Capacity)-1, 1)
}

// evictionCandidate returns the least used adapter that may be evicted, or "".
// Draining adapters come first.
func (p *Planner) evictionCandidate(now time.Duration) string {
	best := ""
	for _, adapter := range slices.Sorted(maps.Keys(p.slots)) {
		s := p.slots[adapter]
		if !p.isEvictable(now, adapter, s) {
			continue
		}
		if best == "" || s.phase > p.slots[best].phase ||
			s.phase == p.slots[best].phase && p.decayedUse(now, s) < p.decayedUse(now, p.slots[best]) {
			best = adapter
		}
	}
	return best
}

// isEvictable reports whether an adapter is idle, unwanted and past its grace times.
func (p *Planner) isEvictable(now time.Duration, adapter string, s *slot) bool {
	return (s.phase == ready || s.phase == draining) && p.wants[adapter] == nil && s.running == 0 &&
		now-s.lastUsed >= p.config.IdleGrace && now-s.readyAt >= p.config.FreshGrace
}

// drainLeastUsed stops new requests to the least used adapter that is neither wanted
// nor newly loaded.
func (p *Planner) drainLeastUsed(now time.Duration) {
	best := ""
	for _, adapter := range slices.Sorted(maps.Keys(p.slots)) {
		s := p.slots[adapter]
		if s.phase != ready || p.wants[adapter] != nil || now-s.readyAt < p.config.FreshGrace {
			continue
		}
		if best == "" || p.decayedUse(now, s) < p.decayedUse(now, p.slots[best]) {
			best = adapter
		}
	}
	if best != "" {
		p.slots[best].phase, p.slots[best].since = draining, now
	}
}
