package slots

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// formerWant and its rules are those of the planner from before requests had organisations.
type formerWant struct {
	extraRequests, rank int
	since               time.Duration
}

func formerOrder(wants map[string]*formerWant) []string {
	names := slices.Sorted(maps.Keys(wants))
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(wants[b].extraRequests, wants[a].extraRequests), cmp.Compare(wants[a].rank, wants[b].rank), cmp.Compare(wants[a].since, wants[b].since))
	})
	return names
}

// The rules for organisations must not change the order of loads, nor which wants are
// accepted, where a configuration has none.
func TestWithoutOrganisationsWantsAreOrderedAsBefore(t *testing.T) {
	adapters := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h"})
	rapid.Check(t, func(t *rapid.T) {
		p := NewPlanner(DefaultConfig(4), "m", time.Second)
		p.turnover = time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "turnover"))
		former, now := make(map[string]*formerWant), time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "wants") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "pause")) * time.Millisecond
			adapter, rank := adapters.Draw(t, "adapter"), rapid.IntRange(-1, 4).Draw(t, "rank")
			wait := time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "wait"))
			ahead := 0
			for _, w := range former {
				if w.rank <= rank {
					ahead++
				}
			}
			accepted := former[adapter] != nil || ahead < p.config.MaxWaiting && p.loadTime(adapter)+time.Duration(ahead)*p.turnover <= wait
			require.Equal(t, accepted, p.Accepts(adapter, Priority{Rank: rank}, wait))
			p.Want(now, adapter, Priority{Rank: rank}, now+time.Minute)
			if w := former[adapter]; w != nil {
				w.extraRequests++
				w.rank = min(w.rank, rank)
			} else {
				former[adapter] = &formerWant{rank: rank, since: now}
			}
			later := now + time.Duration(rapid.IntRange(0, 60).Draw(t, "later"))*time.Second
			require.Equal(t, formerOrder(former), p.wantsByPriority(later))
			require.False(t, p.isHeldBack(adapter))
		}
	})
}
