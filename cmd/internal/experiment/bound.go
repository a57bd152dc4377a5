package experiment

import (
	"math"
	"sort"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// clairvoyantLoads returns the fewest loads with which each region could have
// served its requests in order of arrival: all slots of the region taken
// together, and the adapter evicted whose next use is furthest away (Belady).
func clairvoyantLoads(s *simulation) int {
	slots := make(map[string]int)
	for _, w := range s.workers {
		slots[w.region] += s.spec.Slots
	}
	uses := make(map[string][]table.AdapterVersion)
	ordered := append([]*request(nil), s.all...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].at < ordered[j].at })
	for _, r := range ordered {
		if r.outcome == served {
			uses[r.worker.region] = append(uses[r.worker.region], r.adapter)
		}
	}
	loads := 0
	for region, sequence := range uses {
		loads += belady(sequence, slots[region])
	}
	return loads
}

// belady returns the misses of the optimal cache of size slots.
func belady(sequence []table.AdapterVersion, slots int) int {
	next := nextUses(sequence)
	cached := make(map[table.AdapterVersion]int) // to the place of its next use
	misses := 0
	for i, adapter := range sequence {
		if _, hit := cached[adapter]; !hit {
			misses++
			if len(cached) >= slots {
				delete(cached, furthest(cached))
			}
		}
		cached[adapter] = next[i]
	}
	return misses
}

// nextUses returns for each place the next place of the same adapter.
func nextUses(sequence []table.AdapterVersion) []int {
	next := make([]int, len(sequence))
	seen := make(map[table.AdapterVersion]int)
	for i := len(sequence) - 1; i >= 0; i-- {
		next[i] = math.MaxInt
		if later, found := seen[sequence[i]]; found {
			next[i] = later
		}
		seen[sequence[i]] = i
	}
	return next
}

func furthest(cached map[table.AdapterVersion]int) table.AdapterVersion {
	var victim table.AdapterVersion
	furthest := -1
	for adapter, next := range cached {
		if next > furthest {
			victim, furthest = adapter, next
		}
	}
	return victim
}
