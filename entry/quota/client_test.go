package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/quota"
	"github.com/bulrushwick/bulrushwick/coord/routing"
)

var ordinary = quota.Limit{Rate: 42000, Burst: 42000, Largest: largestTokens}

func tokens(l quota.Limit) *routing.Organisation {
	return &routing.Organisation{Name: "o", Unit: routing.QuotaTokens, Rate: l.Rate, Burst: l.Burst}
}

// TestNoMessageWithoutALimit guards against calls for organisations without a limit.
func TestNoMessageWithoutALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // calls in progress end
		w := newSimWorld(4, ordinary)
		for _, o := range []*routing.Organisation{nil, {Name: "o", Unit: routing.QuotaTokens, Burst: 5}} {
			_, result := w.nodes[3].client.Take(context.Background(), o, 100, 0)
			require.True(t, result.Admitted)
		}
		require.Zero(t, w.calls())
	})
}

// TestWaitingRequestsShareACall guards against one call for each of the requests that
// arrive together.
func TestWaitingRequestsShareACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // calls in progress end
		w := newSimWorld(8, ordinary)
		time.Sleep(5 * time.Second)
		var group sync.WaitGroup
		for range 10 {
			group.Go(func() {
				_, result := w.nodes[7].client.Take(context.Background(), tokens(ordinary), 200, 0)
				require.True(t, result.Admitted)
			})
		}
		group.Wait()
		require.LessOrEqual(t, w.calls(), 2)
	})
}

// TestReturnedTokensServeTheNextRequest guards against requests that did not run and
// still count.
func TestReturnedTokensServeTheNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // calls in progress end
		w := newSimWorld(8, ordinary)
		time.Sleep(5 * time.Second)
		c := w.nodes[7].client
		for range 20 {
			spending, result := c.Take(context.Background(), tokens(ordinary), 2400, 0)
			require.True(t, result.Admitted)
			c.Return(spending)
		}
		require.LessOrEqual(t, w.calls(), 3)
		spending, result := c.Take(context.Background(), tokens(ordinary), 2400, 0)
		require.True(t, result.Admitted)
		require.False(t, c.Expired(spending))
		time.Sleep(simBound.Lifetime())
		require.True(t, c.Expired(spending))
	})
}

// TestOtherMetersServeWhileOneIsLost guards against requests that are refused because one
// of the meters does not respond.
func TestOtherMetersServeWhileOneIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // calls in progress end
		w := newSimWorld(76, ordinary)
		time.Sleep(5 * time.Second)
		w.setCut(func(_, to *simNode) bool { return to == w.nodes[1] })
		r := w.play(rand.New(rand.NewPCG(3, 4)), load{share: 0.55, spread: true, sizes: map[int]float64{200: 0.5, 2400: 0.5}}, 60*time.Second)
		t.Logf("refused %d, unreachable %d of %d, calls per request %.2f", r.refused, r.unreachable, r.requests, float64(w.calls())/float64(r.requests))
		require.LessOrEqual(t, r.refused+r.unreachable, r.requests/100)
	})
}

// TestPartitionKeepsTheBound guards against requests that exceed the limit on both sides
// of a partition, and against a partition in which an instance without a meter answers
// with anything but 503.
func TestPartitionKeepsTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // calls in progress end
		w := newSimWorld(76, ordinary)
		time.Sleep(5 * time.Second)
		lost := w.nodes[75]
		w.setCut(func(from, to *simNode) bool { return from.region != to.region || from == lost })
		r := w.play(rand.New(rand.NewPCG(5, 6)), load{share: 3, spread: true, sizes: map[int]float64{200: 0.5, 2400: 0.5}}, 40*time.Second)
		require.LessOrEqual(t, float64(w.mostSpent()), simBound.Bound(w.limit))
		require.Greater(t, float64(r.admittedTokens), 0.9*w.limit.Rate*40)
		time.Sleep(time.Second)
		_, result := lost.client.Take(context.Background(), tokens(ordinary), 2400, 0)
		require.False(t, result.Admitted)
		require.True(t, result.Unreachable)
		require.Positive(t, result.RetryAfter)
	})
}

// TestTakeoverContinuesWithinTheBound guards against a meter that grants the same tokens
// at two holders, and against a meter that stays lost.
func TestTakeoverContinuesWithinTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // calls in progress end
		w := newSimWorld(12, ordinary)
		time.Sleep(5 * time.Second)
		go func() {
			for fence := uint64(2); fence < 8; fence++ {
				from, to := w.nodes[(fence-2)*2%12], w.nodes[fence*2%12]
				right := Rights()[0]
				w.mu.Lock()
				delete(from.held, right)
				w.mu.Unlock()
				time.Sleep(4 * time.Second) // lease and turn gap
				w.mu.Lock()
				to.held[right] = fence
				w.mu.Unlock()
				time.Sleep(time.Second)
			}
		}()
		r := w.play(rand.New(rand.NewPCG(7, 8)), load{share: 3, spread: true, sizes: map[int]float64{200: 0.5, 2400: 0.5}}, 40*time.Second)
		require.LessOrEqual(t, float64(w.mostSpent()), simBound.Bound(w.limit))
		require.Greater(t, float64(r.admittedTokens), 0.7*w.limit.Rate*40)
	})
}
