package quota

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// accountConfig and accountLimit are of a small organisation in two regions.
var (
	accountConfig = Config{Window: 8 * time.Second, Overage: 0.25, Slack: 17000, Clusters: 2, MetersPerCluster: 2}
	accountLimit  = Limit{Rate: 4200, Burst: 4200, Largest: 8000}
)

func newTestAccount() *Account {
	a := NewAccount(accountConfig, []MeterRef{
		{Index: 0, Choice: 0}, {Index: 1, Choice: 1}, {Index: 2, Choice: 0, Remote: true}, {Index: 3, Choice: 1, Remote: true},
	}, 0)
	a.SetLimit(accountLimit)
	return a
}

// TestARequestWaitsForTokensAskedAheadOfARemoteMeter guards against a request that is
// refused as over the quota while the only meter that responds is being asked: its
// region's meter is lost, and the other is asked ahead of demand.
func TestARequestWaitsForTokensAskedAheadOfARemoteMeter(t *testing.T) {
	a, now := newTestAccount(), time.Second
	noop := func() {}
	for range 40 { // frequent enough for asks ahead of demand
		a.Take(now, 200)
	}
	a.Wait(200, noop)
	ask, needed := a.Next(now, 76)
	require.True(t, needed)
	require.Equal(t, 0, ask.Meter)
	a.HandleFailure(now, ask)
	ask, needed = a.Next(now, 76)
	require.True(t, needed)
	require.Equal(t, 2, ask.Meter)
	a.HandleGrant(now, ask, Grant{Granted: 200})
	now += minPause
	ask, needed = a.Next(now, 76)
	for range 100 { // until the pause of the meter ends
		if needed {
			break
		}
		now += minPause
		ask, needed = a.Next(now, 76)
	}
	require.True(t, needed)
	require.Equal(t, 2, ask.Meter)
	require.Zero(t, ask.Least, "an ask ahead of demand")
	request := a.Wait(2400, noop)
	_, needed = a.Next(now, 76)
	require.False(t, needed)
	require.Zero(t, request.Result)
	a.HandleGrant(now, ask, Grant{Granted: ask.Amount})
	next, needed := a.Next(now, 76)
	if needed {
		a.HandleGrant(now, next, Grant{Granted: next.Amount})
		a.Next(now, 76)
	}
	require.True(t, request.Result.Admitted, "%+v", request.Result)
}

// TestAnImpossibleRequestTakesNoTokens guards against a request that no meter can ever
// grant and for which the meters are emptied nevertheless: as demand to be forecast, or
// together with the requests that wait before it.
func TestAnImpossibleRequestTakesNoTokens(t *testing.T) {
	for _, need := range []int64{100_000, math.MaxInt64} {
		a, now := newTestAccount(), time.Second
		for range 3 {
			_, taken := a.Take(now, need)
			require.False(t, taken)
		}
		first, impossible := a.Wait(200, func() {}), a.Wait(need, func() {})
		ask, needed := a.Next(now, 76)
		require.True(t, needed)
		require.LessOrEqual(t, ask.Amount, int64(2000))
		require.GreaterOrEqual(t, ask.Amount, int64(200))
		a.HandleGrant(now, ask, Grant{Granted: ask.Amount})
		if ask, needed = a.Next(now, 76); needed {
			require.LessOrEqual(t, ask.Amount, int64(2000))
		}
		require.True(t, first.Result.Admitted)
		require.Equal(t, Result{RetryAfter: impossibleRetryAfter}, impossible.Result)
	}
}
