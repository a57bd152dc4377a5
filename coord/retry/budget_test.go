package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testConfig() Config {
	return Config{Ratio: 0.2, Slack: 52, Window: 10 * time.Second, Safety: 0.7}
}

func TestBudgetGrowsWithRequests(t *testing.T) {
	b := NewBudget(Config{Ratio: 0.5, Slack: 0, Window: time.Second, Safety: 1})
	require.False(t, b.Take(0, 1))
	b.Request(0)
	b.Request(0)
	require.True(t, b.Take(0, 1))
	require.False(t, b.Take(0, 1))
	require.False(t, b.Take(2*time.Second, 1), "the requests left the window")
}

// TestBudgetOfAllInstancesKeepsTheOperatorsBound simulates six instances that retry
// as often as their budgets allow, and checks the operators' limit in every window.
func TestBudgetOfAllInstancesKeepsTheOperatorsBound(t *testing.T) {
	const members = 6
	config := testConfig()
	random := rand.New(rand.NewPCG(1, 2))
	budgets := make([]*Budget, members)
	for i := range budgets {
		budgets[i] = NewBudget(config)
	}
	var requests, retries []time.Duration
	for now := time.Duration(0); now < 60*time.Second; now += 20 * time.Millisecond {
		b := budgets[random.IntN(members)]
		if now < 20*time.Second || now > 40*time.Second { // a pause in the middle
			b.Request(now)
			requests = append(requests, now)
		}
		for _, b := range budgets {
			if b.Take(now, members) {
				retries = append(retries, now)
			}
		}
	}
	countIn := func(all []time.Duration, from, to time.Duration) int {
		n := 0
		for _, at := range all {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	for _, from := range retries {
		to := from + config.Window
		maxRequests := max(countIn(requests, from, to), countIn(requests, from-config.Window/2, to-config.Window/2), countIn(requests, from-config.Window, from))
		require.LessOrEqual(t, float64(countIn(retries, from, to)), config.Ratio*float64(maxRequests)+config.Slack)
	}
	require.NotEmpty(t, retries)
}
