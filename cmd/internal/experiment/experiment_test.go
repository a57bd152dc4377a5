package experiment

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// shortScenario loads a scenario and shortens it to 20 s with one seed.
func shortScenario(t *testing.T, name string) Scenario {
	t.Helper()
	s, err := Load(name)
	require.NoError(t, err)
	s.Seconds = 20
	s.Seeds = []uint64{7}
	s.Phases = []Phase{{Name: "all", To: 20}}
	return s
}

func TestSameSeedSameResult(t *testing.T) {
	s := shortScenario(t, "silttolge-steady")
	first, err := Run(s, Policies())
	require.NoError(t, err)
	second, err := Run(s, Policies())
	require.NoError(t, err)
	assert.Equal(t, first, second, "seed 7")
}

func TestEveryRequestIsDecidedOnAResidentAdapter(t *testing.T) {
	for _, name := range Names() {
		results, err := Run(shortScenario(t, name), Policies())
		require.NoError(t, err)
		for _, r := range results {
			assert.Zero(t, r.Run.Violations.Max, "%s %s seed 7", name, r.Policy)
			assert.Zero(t, r.Run.Undecided.Max, "%s %s seed 7", name, r.Policy)
		}
	}
}

func TestBeladyEvictsTheFurthestUse(t *testing.T) {
	var sequence []table.AdapterVersion
	for _, name := range []string{"a", "b", "c", "a", "b", "d", "a", "b"} {
		sequence = append(sequence, table.AdapterVersion{Adapter: name, Version: "v1"})
	}
	assert.Equal(t, 6, belady(sequence, 2), "misses: a, b, c (evicts b), b (evicts c), d (evicts b), b")
	assert.Equal(t, 4, belady(sequence, 3))
}

func TestScenarioFindingsComeTogether(t *testing.T) {
	_, err := Parse([]byte(`{"name": "x", "deployment": "other"}`))
	require.Error(t, err)
	assert.Contains(t, err.Error(), "deployment")
	assert.Contains(t, err.Error(), "service.stepMs")
	assert.Contains(t, err.Error(), "traffic.ranks")
}

func TestPlotDrawsEveryPolicy(t *testing.T) {
	results, err := Run(shortScenario(t, "suzgec-steady"), Policies())
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "plot.svg")
	require.NoError(t, Plot(results, file))
	drawn, err := os.ReadFile(file)
	require.NoError(t, err)
	for _, p := range Policies() {
		assert.Contains(t, string(drawn), p.Name)
	}
}
