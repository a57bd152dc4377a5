package soak

import (
	"encoding/json"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// build builds the program and returns its path. If file is not empty, old is
// replaced in that source file.
func build(t *testing.T, file, old, replacement string) string {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "bulrushwick")
	arguments := []string{"build", "-o", program}
	if file != "" {
		source, err := filepath.Abs(filepath.Join("../../..", file))
		require.NoError(t, err)
		text, err := os.ReadFile(source) //nolint:gosec // a file of this repository
		require.NoError(t, err)
		require.Equal(t, 1, strings.Count(string(text), old), "the mutated line has changed")
		mutant := filepath.Join(dir, "mutant.go")
		require.NoError(t, os.WriteFile(mutant, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600))
		overlay, err := json.Marshal(map[string]map[string]string{"Replace": {source: mutant}})
		require.NoError(t, err)
		overlayFile := filepath.Join(dir, "overlay.json")
		require.NoError(t, os.WriteFile(overlayFile, overlay, 0o600))
		arguments = append(arguments, "-overlay", overlayFile)
	}
	output, err := exec.Command("go", append(arguments, "github.com/bulrushwick/bulrushwick/cmd/bulrushwick")...).CombinedOutput()
	require.NoError(t, err, string(output))
	return program
}

// regressions are seeds that have found a bug, with its cause.
var regressions = map[uint64]string{}

// shortFaults is how long faults are injected in CI.
const shortFaults = 12 * time.Second

// TestSoak runs a fresh seed and every regression.
func TestSoak(t *testing.T) {
	t.Parallel()
	program := build(t, "", "", "")
	seeds := map[uint64]string{uint64(time.Now().Unix()): "fresh"}
	for seed, cause := range regressions {
		seeds[seed] = cause
	}
	for seed, cause := range seeds {
		config := DefaultConfig(program, seed)
		config.FaultDuration = shortFaults
		outcome, err := Run(t.Context(), config)
		require.NoError(t, err)
		require.Empty(t, outcome.Broken, "seed %d (%s), logs in %s", seed, cause, outcome.Logs)
		require.Positive(t, outcome.Served)
	}
}

// TestSoakFindsMutations shows that the soak detects bugs: each mutation of the
// source must be found within four seeds.
func TestSoakFindsMutations(t *testing.T) {
	// A child of a process that ignores SIGHUP, as under nohup, would ignore it too; one
	// that handles it gives its children the default effect.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	for name, m := range map[string]struct{ file, old, replacement, finds string }{
		"a non-idempotent request is retried after its first byte": {
			"entry/direct/gateway.go", "case c.mayHaveRun && !c.route.Retryable():", "case false:", "ran 2 times",
		},
		"an older configuration is accepted": {
			"coord/routing/table.go", "config.Version <= g.current.Config.Version", "config.Version == g.current.Config.Version", "went back below configuration",
		},
		"a silent store hides changes": {
			"platform/store.go", "watchWaitShare   = 0.5", "watchWaitShare   = 2.0", "not in force in time",
		},
		"a hangup ends a process that is stopping": {
			"cmd/internal/signals/signals.go", "signal.Notify(hangups, syscall.SIGHUP)", "_ = syscall.SIGHUP", "ended by a signal",
		},
		"two holders of one worker": {
			"coord/quorum/machine.go", "max(0, state.promise.formerExpiry+m.config.TurnGap-now)", "time.Duration(0)", "an order of",
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			program := build(t, m.file, m.old, m.replacement)
			for seed := range uint64(4) {
				outcome, err := Run(t.Context(), DefaultConfig(program, seed+1))
				require.NoError(t, err)
				if strings.Contains(strings.Join(outcome.Broken, "\n"), m.finds) {
					t.Logf("found by seed %d", seed+1)
					return
				}
			}
			t.Fatal("no seed found the mutation")
		})
	}
}
