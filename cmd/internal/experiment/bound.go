package experiment

import (
	"math"
	"sort"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// clairvoyantLoads returns a lower bound on the loads of a run: the fewest with
// which each region could have served its served requests in order of arrival,
// if its slots formed one cache that evicts the adapter whose next use is
// furthest away (Belady's algorithm).
func clairvoyantLoads(s *simulation) int {
	slotsByRegion := make(map[string]int)
	for _, w := range s.workers {
		slotsByRegion[w.region] += s.spec.Slots
	}
	usesByRegion := make(map[string][]table.AdapterVersion)
	byArrival := append([]*request(nil), s.allRequests...)
	sort.SliceStable(byArrival, func(i, j int) bool { return byArrival[i].at < byArrival[j].at })
	for _, r := range byArrival {
		if r.outcome == served {
			usesByRegion[r.worker.region] = append(usesByRegion[r.worker.region], r.adapter)
		}
	}
	loads := 0
	for region, sequence := range usesByRegion {
		loads += belady(sequence, slotsByRegion[region])
	}
	return loads
}

// belady returns the number of misses of an optimal cache with the given number
// of slots.
func belady(sequence []table.AdapterVersion, slots int) int {
	nextUse := nextUses(sequence)
	cached := make(map[table.AdapterVersion]int) // adapter to the index of its next use
	misses := 0
	for i, adapter := range sequence {
		if _, hit := cached[adapter]; !hit {
			misses++
			if len(cached) >= slots {
				delete(cached, furthestNextUse(cached))
			}
		}
		cached[adapter] = nextUse[i]
	}
	return misses
}

// nextUses returns, for each index, the index at which the same adapter is next
// used, or math.MaxInt.
func nextUses(sequence []table.AdapterVersion) []int {
	next := make([]int, len(sequence))
	following := make(map[table.AdapterVersion]int)
	for i := len(sequence) - 1; i >= 0; i-- {
		next[i] = math.MaxInt
		if later, found := following[sequence[i]]; found {
			next[i] = later
		}
		following[sequence[i]] = i
	}
	return next
}

// furthestNextUse returns the cached adapter whose next use is the latest.
func furthestNextUse(cached map[table.AdapterVersion]int) table.AdapterVersion {
	var victim table.AdapterVersion
	maxNext := -1
	for adapter, next := range cached {
		if next > maxNext {
			victim, maxNext = adapter, next
		}
	}
	return victim
}
