package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/quota"
)

// TestCallsPerRequest guards against more calls with more instances: in normal operation
// a request costs at most about one call, whatever the number of instances.
func TestCallsPerRequest(t *testing.T) {
	for _, rate := range []float64{42000, 420000, 2100000} {
		for _, instances := range []int{30, 100, 300} {
			t.Run(fmt.Sprint(rate, " at ", instances), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					defer time.Sleep(time.Second) // calls in progress end
					w := newSimWorld(instances, quota.Limit{Rate: rate, Burst: rate, Largest: largestTokens})
					time.Sleep(5 * time.Second)
					r := w.play(rand.New(rand.NewPCG(1, 2)), load{share: 0.55, spread: true, sizes: map[int]float64{200: 0.5, 2400: 0.48, 7500: 0.02}},
						time.Duration(1.6e7/rate*float64(time.Second)))
					calls := float64(w.calls()) / float64(r.requests)
					t.Logf("%.2f calls per request", calls)
					require.Less(t, calls, 1.1)
					require.Zero(t, r.refused+r.unreachable)
				})
			})
		}
	}
}
