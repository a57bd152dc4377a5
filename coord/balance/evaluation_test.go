package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// maxRounding bounds the difference between a score and the sum of its terms: both round
// down products of durations and up to two factors, at most 3 times 2.5 here.
const maxRounding = 20 * time.Nanosecond

func drawLearnedCandidate(t *rapid.T) Candidate {
	w := drawCandidate(t)
	if rapid.Bool().Draw(t, "learned") {
		w.PromptFactor, w.StepFactor = rapid.Float64Range(0.5, 3).Draw(t, "learned prompt factor"), rapid.Float64Range(0.5, 3).Draw(t, "learned step factor")
		w.LoadFactor = rapid.Float64Range(0.5, 3).Draw(t, "learned load factor")
	}
	w.KeptTokens, w.RemainingTokens = rapid.IntRange(0, 9999).Draw(t, "kept"), rapid.IntRange(0, 99_999).Draw(t, "remaining")
	w.Usable, w.Avoid = rapid.IntRange(0, 4).Draw(t, "usable") > 0, rapid.IntRange(0, 7).Draw(t, "avoid") == 0
	w.HoldOff = time.Duration(max(rapid.IntRange(0, 8).Draw(t, "hold-off")-6, 0)) * time.Second
	return w
}

// An explanation must not name another worker than the choice, nor terms whose sum is not
// what Pick compares.
func TestEvaluateAgreesWithPick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.SliceOfN(rapid.Custom(drawLearnedCandidate), 1, 6).Draw(t, "candidates")
		r := Request{
			Adapter: rapid.SampledFrom([]string{"", "a"}).Draw(t, "adapter"), Tokens: rapid.IntRange(0, 9999).Draw(t, "tokens"),
			Demand: rapid.Float64Range(0, 20).Draw(t, "demand"), OutputTokens: rapid.IntRange(0, 2000).Draw(t, "output"),
			TokenTime: time.Duration(rapid.IntRange(0, 20).Draw(t, "token time")) * time.Millisecond, Seed: rapid.Uint64Range(0, 2).Draw(t, "seed"),
		}
		c := DefaultConfig()
		evaluations := c.Evaluate(r, candidates)
		best, soonest := -1, -1
		for i := range evaluations {
			e := &evaluations[i]
			if e.Exclusion != Eligible {
				require.NotEmpty(t, e.Exclusion.String())
				continue
			}
			if best < 0 || e.Score < evaluations[best].Score {
				best = i
			}
			if soonest < 0 || e.Wait < evaluations[soonest].Wait {
				soonest = i
			}
		}
		choice, found := c.Pick(r, candidates)
		require.Equal(t, best >= 0, found)
		if found {
			require.Equal(t, evaluations[best].Choice, choice)
			choice, _ = c.PickSoonest(r, candidates)
			require.Equal(t, evaluations[soonest].Choice, choice)
		}
		r.Seed = 0
		for _, e := range c.Evaluate(r, candidates) {
			require.InDelta(t, e.Score, e.Terms.Sum(), float64(maxRounding))
			require.InDelta(t, e.Wait, e.Terms.Sum()-e.Terms[TermSuspect]-e.Terms[TermResponse], float64(maxRounding))
		}
	})
	for term := range termCount {
		require.NotEmpty(t, term.String())
	}
}
