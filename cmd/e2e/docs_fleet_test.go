package e2e

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// pageAddresses gives the addresses that the pages use their meaning.
func pageAddresses(s *system) *strings.Replacer {
	return strings.NewReplacer(
		"10.0.0.1:7000", s.callers[0],
		"10.0.0.1:7003", s.operators[0],
		"10.0.0.2:7003", s.operators[1],
	)
}

// proofOf returns the proof of a command, or nil. The operators' tool and curl
// run against a fleet without an entry of their own.
func proofOf(line string) commandProof {
	if proof, known := commandProofs[line]; known {
		return proof
	}
	fields := strings.Fields(line)
	switch {
	case len(fields) > 1 && fields[0] == "bin/bulrushctl" && strings.Contains(line, " 10.0.0."):
		return func(t *testing.T, fleet func() *system) {
			args := strings.Fields(pageAddresses(fleet()).Replace(line))
			run(t, "bulrushctl", args[1:]...)
		}
	case len(fields) == 3 && fields[0] == "curl" && fields[1] == "-s":
		return func(t *testing.T, fleet func() *system) {
			response, err := http.Get(pageAddresses(fleet()).Replace(fields[2]))
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusOK, response.StatusCode)
		}
	default:
		return nil
	}
}

// proveByBuild builds both programs.
func proveByBuild(t *testing.T, _ func() *system) {
	out, err := binaries()
	require.NoError(t, err, out)
}

// proveByServing runs an instance with the settings that a page shows.
func proveByServing(page string) commandProof {
	return func(t *testing.T, fleet func() *system) {
		text, err := os.ReadFile(filepath.Join(root, page))
		require.NoError(t, err)
		shown := strings.Join(fencedLines(text, "json"), "\n")
		shown = strings.ReplaceAll(shown, "10.0.0.9:8500", fleet().platform)
		for _, port := range []string{"7000", "7001", "7002", "7003"} {
			shown = strings.ReplaceAll(shown, "10.0.0.1:"+port, "127.0.0.1:0")
		}
		file := filepath.Join(t.TempDir(), "entry-a.json")
		require.NoError(t, os.WriteFile(file, []byte(shown), 0o600))
		entry := start(t, "bulrushwick", "serve", "--settings", file)
		require.NotEmpty(t, entry.await(t, "listening").Operator)
		entry.await(t, "ready")
	}
}
