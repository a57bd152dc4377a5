package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEvaluateAgreesWithPick guards against an explanation that names another worker, or
// another estimate, than the choice.
func TestEvaluateAgreesWithPick(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		candidates := make([]Candidate, 1+random.IntN(8))
		for i := range candidates {
			candidates[i] = Candidate{
				ID: fmt.Sprint(i), Usable: random.IntN(4) > 0, Avoid: random.IntN(8) == 0, Suspect: random.IntN(4) == 0, Pace: random.Float64() * 2,
				HoldOff: time.Duration(max(random.IntN(8)-6, 0)) * time.Second, HeldOffFromPeers: random.IntN(4) == 0, BatchSize: 8, Running: random.IntN(12),
				WaitingTokens: random.IntN(5000), CacheTokens: random.IntN(2000), CacheCapacity: random.IntN(2) * 2000, Residency: Residency(random.IntN(3)),
				FreeSlots: random.IntN(2), RTT: time.Duration(random.IntN(40)) * time.Millisecond, InScope: random.IntN(2) == 0, Orderable: random.IntN(2) == 0,
			}
		}
		r := Request{Adapter: []string{"", "a"}[random.IntN(2)], Tokens: random.IntN(3000), Demand: random.Float64() * 9}
		choice, found := DefaultConfig().Pick(r, candidates)
		eligible := 0
		for _, e := range DefaultConfig().Evaluate(r, candidates) {
			if e.Exclusion != Eligible {
				require.NotEmpty(t, e.Exclusion.String())
				require.NotSame(t, choice.Candidate, e.Candidate)
				continue
			}
			eligible++
			require.GreaterOrEqual(t, e.Terms.Sum(), choice.Estimate)
			if e.Candidate == choice.Candidate {
				require.Equal(t, choice.Estimate, e.Terms.Sum())
			}
		}
		require.Equal(t, found, eligible > 0)
	}
	for term := range termCount {
		require.NotEmpty(t, term.String())
	}
}
