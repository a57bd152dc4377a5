package routes

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// shortScenario loads a scenario with one seed and less time.
func shortScenario(t *testing.T, name string) Scenario {
	t.Helper()
	s, err := Load(name)
	require.NoError(t, err)
	s.Seconds, s.WarmUpSeconds, s.Seeds = 16, 8, []uint64{7}
	return s
}

func TestSameSeedSameResult(t *testing.T) {
	s := shortScenario(t, "uneven-both")
	require.Equal(t, Run(s, Policies()[:1]), Run(s, Policies()[:1]))
}

// TestLearningServesSooner guards against learned costs that serve worse than the
// constants.
func TestLearningServesSooner(t *testing.T) {
	for _, name := range []string{"uneven-both", "equal-workers"} {
		results := Run(shortScenario(t, name), Policies()[:2])
		learned, constants := results[0], results[1]
		require.Zero(t, learned.Unfinished, name)
		require.Less(t, learned.FirstMean, constants.FirstMean, name)
		require.Less(t, learned.FirstP99, 1.1*constants.FirstP99, name)
	}
}

// TestEveryScenarioRuns guards against scenarios that no longer parse, and requests that
// are lost in the simulation.
func TestEveryScenarioRuns(t *testing.T) {
	for _, name := range Names() {
		s := shortScenario(t, name)
		s.Seconds, s.WarmUpSeconds = 2, 0
		results := Run(s, Policies())
		for _, r := range results {
			require.Zero(t, r.Unfinished, "%s %s", name, r.Policy)
		}
		var table strings.Builder
		require.NoError(t, WriteTable(&table, results))
		require.Contains(t, table.String(), "oracle")
	}
}
