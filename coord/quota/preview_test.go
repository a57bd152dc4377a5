package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// An explanation must not tell another decision than the next request gets, nor change it.
func TestPreviewTellsTheNextDecision(t *testing.T) {
	config := Config{Window: 8 * time.Second, Overage: 0.25, Slack: 1000, Clusters: 2, MetersPerCluster: 2}
	limit := Limit{Rate: 500, Burst: 1000, Largest: 300}
	known := make(map[bool]int)
	rapid.Check(t, func(t *rapid.T) {
		a := NewAccount(config, []MeterRef{{Index: 0}, {Index: 1, Choice: 1}, {Index: 2, Remote: true}, {Index: 3, Choice: 1, Remote: true}}, 0)
		a.SetLimit(limit)
		now, instances := time.Hour, 3
		var asks []ToSend
		next := func() {
			for ask, needed := a.Next(now, instances); needed; ask, needed = a.Next(now, instances) {
				asks = append(asks, ask)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now += time.Duration(rapid.SampledFrom([]int{0, 1, 30, 600}).Draw(t, "ms")) * time.Millisecond
			if len(asks) > 0 && rapid.IntRange(0, 2).Draw(t, "respond") > 0 {
				ask := asks[0]
				asks = asks[1:]
				if rapid.IntRange(0, 5).Draw(t, "fails") == 0 {
					a.HandleFailure(now, ask)
				} else {
					granted := min(ask.Amount, int64(rapid.IntRange(0, 600).Draw(t, "granted")))
					a.HandleGrant(now, ask, Grant{Granted: granted, Wait: time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond})
				}
				next()
				continue
			}
			need := int64(rapid.SampledFrom([]int{1, 50, 300, 5000, 1 << 20}).Draw(t, "need"))
			held, counts := a.Held(now), a.Counts
			preview, isKnown := a.Preview(now, limit, need)
			again, isKnownAgain := a.Preview(now, limit, need)
			require.Equal(t, preview, again)
			require.Equal(t, isKnown, isKnownAgain)
			require.Equal(t, held, a.Held(now))
			require.Equal(t, counts, a.Counts)
			known[isKnown]++
			if _, ok := a.Take(now, need); ok {
				require.True(t, isKnown && preview.Admitted)
				continue
			}
			require.False(t, preview.Admitted)
			decided := false
			request := a.Wait(need, func() { decided = true })
			next()
			if !isKnown {
				require.True(t, !decided || request.Result.Unreachable || request.Result.Admitted, "by a reserve or its lack")
				continue
			}
			require.True(t, decided)
			require.Equal(t, preview, request.Result)
		}
	})
	require.Positive(t, known[true])
	require.Positive(t, known[false])
}
