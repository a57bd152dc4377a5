package balance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// idleWorkers returns usable candidates without requests.
func idleWorkers(count int) []Candidate {
	var all []Candidate
	for i := range count {
		all = append(all, Candidate{
			ID: fmt.Sprintf("w%d", i), Usable: true, InScope: true, Orderable: true, BatchSize: 64, CacheCapacity: 150_000, FreeSlots: 6,
		})
	}
	return all
}

// pick returns the ID of the chosen worker.
func pick(t *testing.T, r Request, candidates []Candidate) string {
	t.Helper()
	choice, found := DefaultConfig().Pick(r, candidates)
	require.True(t, found)
	return choice.Candidate.ID
}

func TestARareAdapterWaitsForItsHome(t *testing.T) {
	r := Request{Adapter: "a7", Tokens: 2000}
	all := idleWorkers(12)
	preferred := pick(t, r, all)
	for i := range all {
		if all[i].ID == preferred {
			all[i].WaitingTokens = 10_000 // 400 ms of prompt processing
		}
	}
	require.Equal(t, preferred, pick(t, r, all))
}

// TestAPopularAdapterSpreads covers an adapter with a fifth of all requests, whose
// prompts are more than one worker can process.
func TestAPopularAdapterSpreads(t *testing.T) {
	all := idleWorkers(12)
	used := map[string]bool{}
	r := Request{Adapter: "a1", Tokens: 2000, Demand: 40}
	for range 20 {
		id := pick(t, r, all)
		used[id] = true
		for i := range all {
			if all[i].ID == id {
				all[i].Residency = Resident
				all[i].WaitingTokens += r.Tokens
			}
		}
	}
	require.GreaterOrEqual(t, len(used), 3)
}

// TestAnAdapterThatMostInstancesUseHasSeveralPreferredWorkers covers one of many
// instances, which itself sent none of the requests that wait at the adapter's
// preferred worker.
func TestAnAdapterThatMostInstancesUseHasSeveralPreferredWorkers(t *testing.T) {
	all := idleWorkers(12)
	r := Request{Adapter: "a1", Tokens: 2000}
	preferred := pick(t, r, all)
	for i := range all {
		if all[i].ID == preferred {
			all[i].Residency, all[i].AdapterRunning, all[i].Running, all[i].WaitingTokens = Resident, 48, 48, 64_000
		}
	}
	second := pick(t, r, all)
	require.NotEqual(t, preferred, second)
	for i := range all {
		if all[i].ID == preferred {
			all[i].AdapterRunning = 2 // the others run other adapters
		}
	}
	require.Equal(t, preferred, pick(t, r, all))
}

func TestAResidentAdapterIsUsedWhereItIs(t *testing.T) {
	all := idleWorkers(12)
	r := Request{Adapter: "a9", Tokens: 500}
	preferred := pick(t, r, all)
	for i := range all {
		if all[i].ID != preferred {
			all[i].Residency = Resident
			require.Equal(t, all[i].ID, pick(t, r, all))
			return
		}
	}
}

func TestIneligibleWorkersAreNotPicked(t *testing.T) {
	all := idleWorkers(4)
	all[0].Usable = false
	all[1].Avoid = true
	all[2].Orderable = false
	require.Equal(t, "w3", pick(t, Request{Adapter: "a"}, all))
	all[3].Suspect = true
	require.Equal(t, "w3", pick(t, Request{Adapter: "a"}, all), "a suspect worker is better than none")
	all[3].Usable = false
	_, found := DefaultConfig().Pick(Request{Adapter: "a"}, all)
	require.False(t, found)
}

func TestDemandDecays(t *testing.T) {
	d := NewDemand()
	require.Zero(t, d.Add(0, "a"))
	require.InDelta(t, 1, d.Add(0, "a"), 0.01)
	require.InDelta(t, 1, d.Add(demandHalfLife, "a"), 0.01)
}

// BenchmarkPick measures a choice by the number of workers.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{12, 96, 3000} {
		b.Run(fmt.Sprintf("workers=%d", count), func(b *testing.B) {
			all := idleWorkers(count)
			r := Request{Adapter: "a1", Tokens: 2000}
			for b.Loop() {
				_, _ = DefaultConfig().Pick(r, all)
			}
		})
	}
}
