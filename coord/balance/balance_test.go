package balance

import (
	"fmt"
	"testing"
	"time"

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

// TestNeutralFactorsChangeNothing guards against a changed choice between equal
// workers, and TestALearnedSlowWorkerIsAvoided against learned figures without effect.
func TestNeutralFactorsChangeNothing(t *testing.T) {
	for n := range 50 {
		all := idleWorkers(12)
		for i := range all {
			all[i].Running, all[i].WaitingTokens = (i*7+n)%20, (i*n*331)%4000
		}
		r := Request{Adapter: fmt.Sprint("a", n), Tokens: 2000}
		before := pick(t, r, all)
		for i := range all {
			all[i].PromptFactor, all[i].StepFactor, all[i].LoadFactor = 1, 1, 1
		}
		r.OutputTokens, r.TokenTime, r.Seed = 100, 10*time.Millisecond, uint64(n+1)
		require.Equal(t, before, pick(t, r, all))
	}
}

func TestALearnedSlowWorkerIsAvoided(t *testing.T) {
	all := idleWorkers(3)
	r := Request{Tokens: 2000, OutputTokens: 100, TokenTime: 10 * time.Millisecond}
	first := pick(t, r, all)
	for i := range all {
		if all[i].ID == first {
			all[i].PromptFactor, all[i].StepFactor = 1.7, 1.7
		}
	}
	require.NotEqual(t, first, pick(t, r, all))
	for i := range all {
		all[i].Avoid = all[i].ID != first
	}
	require.Equal(t, first, pick(t, r, all), "a slow worker is better than none")
}

// TestInstancesSpreadOverFastWorkers covers 76 instances that see the same report of
// two fast workers among slower ones.
func TestInstancesSpreadOverFastWorkers(t *testing.T) {
	all := idleWorkers(20)
	for i := range all {
		all[i].PromptFactor, all[i].StepFactor = 1.2, 1.2
	}
	all[3].PromptFactor, all[8].PromptFactor, all[12].PromptFactor = 0.70, 0.72, 0.71
	chosen := map[string]int{}
	for n := range 76 {
		chosen[pick(t, Request{Tokens: 2000, Seed: uint64(n + 1)}, all)]++
	}
	require.Len(t, chosen, 3)
	for id, count := range chosen {
		require.Less(t, count, 50, id)
	}
}
