package slots

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// wantsByPriority lists the wanted adapters: those with the most requests first,
// then by rank, then the oldest.
func (p *Planner) wantsByPriority() []string {
	names := slices.Sorted(maps.Keys(p.wants))
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.wants[b].extraRequests, p.wants[a].extraRequests), cmp.Compare(p.wants[a].rank, p.wants[b].rank), cmp.Compare(p.wants[a].since, p.wants[b].since))
	})
	return names
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
