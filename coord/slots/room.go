package slots

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// waiting lists the wanted adapters, the most urgent and oldest first.
func (p *Planner) waiting() []string {
	names := slices.Sorted(maps.Keys(p.wants))
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.wants[b].count, p.wants[a].count), cmp.Compare(p.wants[a].rank, p.wants[b].rank), cmp.Compare(p.wants[a].since, p.wants[b].since))
	})
	return names
}

// makeRoom loads an adapter where a slot is free, and else evicts one or
// begins to drain one.
func (p *Planner) makeRoom(now time.Duration, adapter string) (Order, bool) {
	if len(p.slots) < p.config.Capacity {
		if p.count(loading) >= p.config.TransitLimit {
			return Order{}, false
		}
		return Order{Model: p.model, Adapter: adapter}, true
	}
	if victim := p.idle(now); victim != "" {
		return Order{Unload: true, Model: p.model, Adapter: victim}, true
	}
	if p.count(draining) < p.config.MaxDraining {
		p.drain(now)
	}
	return Order{}, false
}

// idle returns the evictable adapter that was used least; those that drain come
// first.
func (p *Planner) idle(now time.Duration) string {
	best := ""
	for _, adapter := range slices.Sorted(maps.Keys(p.slots)) {
		s := p.slots[adapter]
		if !p.evictable(now, adapter, s) {
			continue
		}
		if best == "" || s.phase > p.slots[best].phase ||
			s.phase == p.slots[best].phase && p.decayed(now, s) < p.decayed(now, p.slots[best]) {
			best = adapter
		}
	}
	return best
}

func (p *Planner) evictable(now time.Duration, adapter string, s *slot) bool {
	return (s.phase == ready || s.phase == draining) && p.wants[adapter] == nil && s.running == 0 &&
		now-s.lastUsed >= p.config.IdleGrace && now-s.readyAt >= p.config.FreshGrace
}

// drain stops new requests for the adapter in use that was used least.
func (p *Planner) drain(now time.Duration) {
	best := ""
	for _, adapter := range slices.Sorted(maps.Keys(p.slots)) {
		s := p.slots[adapter]
		if s.phase != ready || p.wants[adapter] != nil || now-s.readyAt < p.config.FreshGrace {
			continue
		}
		if best == "" || p.decayed(now, s) < p.decayed(now, p.slots[best]) {
			best = adapter
		}
	}
	if best != "" {
		p.slots[best].phase, p.slots[best].since = draining, now
	}
}
