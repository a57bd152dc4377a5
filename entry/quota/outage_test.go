package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/quota"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
)

// TestSeedsServeWithoutMeters guards against requests that are nearly all refused from a
// restart of all instances until meters run again, 8 s later. Without seeds none of them
// was served. Of requests of 2,400 tokens only, what the seeds gain serves about a fifth.
func TestSeedsServeWithoutMeters(t *testing.T) {
	mixed := map[int]float64{200: 0.5, 2400: 0.48, 7500: 0.02}
	for _, c := range []struct {
		rate   float64
		sizes  map[int]float64
		served float64
	}{
		{4200, mixed, 0.4}, {16800, mixed, 0.45}, {42000, mixed, 0.5}, {420000, mixed, 0.5},
		{4200, map[int]float64{2400: 1}, 0.15}, {42000, map[int]float64{2400: 1}, 0.15},
	} {
		t.Run(fmt.Sprint(c.rate, " ", len(c.sizes)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkOutage(t, c.rate, c.sizes, c.served) })
		})
	}
}

// checkOutage plays several outages of 8 s, each after a time in which meters run.
func checkOutage(t *testing.T, rate float64, sizes map[int]float64, served float64) {
	defer time.Sleep(time.Second) // calls in progress end
	w := newSimWorld(76, quota.Limit{Rate: rate, Burst: rate, Largest: largestTokens})
	outages := uint64(max(420000/rate, 4))
	random := rand.New(rand.NewPCG(9, 10))
	l := load{share: 0.55, spread: true, sizes: sizes}
	requests, admitted, admittedTokens, refused, calls := 0, 0, int64(0), 0, 0
	var waits []time.Duration
	for fence := range outages {
		w.play(random, l, 10*time.Second)
		w.restartAll()
		before := w.calls()
		r := w.play(random, l, 8*time.Second)
		requests, admitted, admittedTokens, refused = requests+r.requests, admitted+r.admitted, admittedTokens+r.admittedTokens, refused+r.refused
		waits, calls = append(waits, r.waits...), calls+w.calls()-before
		w.mu.Lock()
		for i, right := range Rights() {
			w.nodes[2*i].held[right], w.nodes[2*i+1].held[right] = fence+2, fence+2
		}
		w.mu.Unlock()
	}
	slices.Sort(waits)
	t.Logf("%d requests, admitted %.3f of them, %.3f of the limit, over quota %d, wait p50 %v p99 %v max %v, calls per request %.1f, window %.3f of the bound",
		requests, float64(admitted)/float64(requests), float64(admittedTokens)/(rate*8*float64(outages)), refused, waits[len(waits)/2], waits[len(waits)*99/100], waits[len(waits)-1],
		float64(calls)/float64(requests), float64(w.mostSpent())/simBound.Bound(w.limit))
	require.LessOrEqual(t, float64(w.mostSpent()), simBound.Bound(w.limit))
	require.Greater(t, float64(admitted)/float64(requests), served)
	require.Zero(t, refused, "a request without a meter is not over the quota")
}

// TestOnlySeedsServeTheReserve guards against an instance that serves the reserve though
// its own settings do not name it, and against a change of the seeds that fills it.
func TestOnlySeedsServeTheReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // calls in progress end
		w := newSimWorld(12, ordinary)
		request := &clusterpb.TakeQuotaRequest{Meter: ReserveMeter, Asks: []*clusterpb.QuotaAsk{{Organisation: "o", Amount: 1 << 30}}}
		require.True(t, w.nodes[1].server.Take(request).GetNotHeld())
		time.Sleep(time.Minute)
		first := w.nodes[4].server.Take(request).GetGrants()[0].GetGranted()
		require.Positive(t, first)
		w.nodes[4].server.SetSeeds(nil)
		require.True(t, w.nodes[4].server.Take(request).GetNotHeld())
		w.nodes[4].server.SetSeeds(simSeeds())
		require.Zero(t, w.nodes[4].server.Take(request).GetGrants()[0].GetGranted())
	})
}

// TestSilentMeterCostsOneTimeout guards against requests that each wait for the time-out
// of a machine that is known not to respond.
func TestSilentMeterCostsOneTimeout(t *testing.T) {
	type cut func(from, to *simNode) bool
	for name, cut := range map[string]cut{
		"one near meter":        func(_, to *simNode) bool { return to.index == 1 },
		"both near meters":      func(_, to *simNode) bool { return to.index == 1 || to.index == 3 },
		"meters of all regions": func(_, to *simNode) bool { return to.index < 4 },
		"all links":             func(from, _ *simNode) bool { return from.index == 75 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Second) // calls in progress end
				w := newSimWorld(76, ordinary)
				time.Sleep(5 * time.Second)
				w.setCut(cut)
				var waits []time.Duration
				admitted := 0
				for range 40 {
					began := time.Now()
					_, result := w.nodes[75].client.Take(context.Background(), tokens(ordinary), 2400, 0)
					waits = append(waits, time.Since(began))
					if result.Admitted {
						admitted++
					}
					time.Sleep(100 * time.Millisecond)
				}
				t.Logf("admitted %d, waits %v", admitted, waits)
				for n, wait := range waits {
					limit := 2 * (otherRegionRTT + ownRegionRTT) // without a time-out
					switch {
					case name == "one near meter":
						limit = ownRegionTimeout + ownRegionRTT
					case n == 0:
						limit = maxTakeWait
					}
					require.LessOrEqual(t, wait, limit, "request %d", n)
				}
			})
		})
	}
}
