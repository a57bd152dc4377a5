package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// formerEstimate is the estimate from before the part that other requests cause was told
// apart.
func formerEstimate(c Config, r Request, w *Candidate, position int) time.Duration {
	work := time.Duration(w.Running) * c.StepCost
	if w.CacheCapacity > 0 {
		work += c.prefillTime(w.WaitingTokens + r.Tokens)
		work += time.Duration(c.InterferenceShare * float64(w.Running) * float64(c.prefillTime(r.Tokens)))
	}
	if w.Pace > 0 {
		work = time.Duration(w.Pace * float64(work))
	}
	total := w.RTT + work
	if w.BatchSize > 0 && w.Running >= w.BatchSize {
		total += c.FullCost * time.Duration(1+(w.Running-w.BatchSize)*4/w.BatchSize)
	}
	if w.CacheCapacity > 0 && w.CacheTokens+r.Tokens > w.CacheCapacity {
		total += c.FullCost
	}
	if w.Suspect {
		total += c.SuspectCost
	}
	if w.HeldOffFromPeers {
		total += c.FullCost
	}
	switch {
	case r.Adapter == "" || w.Residency == Resident:
		return total
	case w.Residency == Loading:
		return total + c.LoadingCost
	}
	total += c.PreferredCost + min(time.Duration(float64(c.SpreadCost)*float64(position)/(1+r.Demand)), c.MaxSpreadCost)
	if w.FreeSlots+w.IdleSlots == 0 {
		total += c.EvictionWait
	}
	return total
}

func drawCandidate(t *rapid.T) Candidate {
	return Candidate{
		ID: rapid.StringMatching("[a-z]{4}").Draw(t, "id"), Usable: true, InScope: rapid.Bool().Draw(t, "in scope"), Orderable: rapid.Bool().Draw(t, "orderable"),
		Residency: rapid.SampledFrom([]Residency{Absent, Loading, Resident}).Draw(t, "residency"), Suspect: rapid.Bool().Draw(t, "suspect"),
		HeldOffFromPeers: rapid.Bool().Draw(t, "held off"), RTT: time.Duration(rapid.IntRange(0, 40).Draw(t, "rtt")) * time.Millisecond,
		Running: rapid.IntRange(0, 90).Draw(t, "running"), BatchSize: rapid.SampledFrom([]int{0, 8, 64}).Draw(t, "batch"),
		WaitingTokens: rapid.IntRange(0, 9999).Draw(t, "waiting"), CacheTokens: rapid.IntRange(0, 9999).Draw(t, "cached"),
		CacheCapacity: rapid.SampledFrom([]int{0, 8000, 150_000}).Draw(t, "cache"), Pace: rapid.SampledFrom([]float64{0, 0.7, 1, 2.5}).Draw(t, "pace"),
		FreeSlots: rapid.IntRange(0, 1).Draw(t, "free"), IdleSlots: rapid.IntRange(0, 1).Draw(t, "idle"),
		PromptFactor: drawNeutral(t, "prompt factor"), StepFactor: drawNeutral(t, "step factor"), LoadFactor: drawNeutral(t, "load factor"),
	}
}

// drawNeutral draws a factor of a worker that nothing is learned of, or that is typical.
func drawNeutral(t *rapid.T, name string) float64 {
	return rapid.SampledFrom([]float64{0, 1}).Draw(t, name)
}

// Telling contention apart must not change which worker is preferred, not even by the
// rounding of a sum: equal estimates are decided by the order of the candidates.
func TestTheEstimateIsAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.SliceOfN(rapid.Custom(drawCandidate), 1, 6).Draw(t, "candidates")
		r := Request{Adapter: rapid.SampledFrom([]string{"", "a"}).Draw(t, "adapter"), Tokens: rapid.IntRange(0, 9999).Draw(t, "tokens"), Demand: rapid.Float64Range(0, 20).Draw(t, "demand")}
		c := DefaultConfig()
		positions := c.rendezvousPositions(r, candidates)
		best, shortest := -1, time.Duration(0)
		for i := range candidates {
			if estimate := formerEstimate(c, r, &candidates[i], positions[i]); isEligible(r, &candidates[i]) && (best < 0 || estimate < shortest) {
				best, shortest = i, estimate
			}
		}
		choice, found := c.Pick(r, candidates)
		require.Equal(t, best >= 0, found)
		if !found {
			return
		}
		require.Same(t, &candidates[best], choice.Candidate)
		require.Equal(t, shortest, choice.Estimate)
		require.LessOrEqual(t, choice.Contention, choice.Wait+time.Nanosecond)
	})
}

// Contention that exceeded the wait, or was judged at another speed, would refuse requests
// for a scarcity that is none.
func TestContentionIsAPartOfTheWaitWithLearnedFigures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawCandidate(t)
		w.PromptFactor, w.StepFactor = rapid.Float64Range(0.5, 3).Draw(t, "learned prompt factor"), rapid.Float64Range(0.5, 3).Draw(t, "learned step factor")
		w.KeptTokens, w.RemainingTokens = rapid.IntRange(0, 9999).Draw(t, "kept"), rapid.IntRange(0, 99_999).Draw(t, "remaining")
		r := Request{Adapter: rapid.SampledFrom([]string{"", "a"}).Draw(t, "adapter"), Tokens: rapid.IntRange(0, 9999).Draw(t, "tokens"), TokenTime: 5 * time.Millisecond}
		choice := DefaultConfig().choice(r, &w, 0)
		require.LessOrEqual(t, choice.Contention, choice.Wait+2*time.Nanosecond)
	})
}
