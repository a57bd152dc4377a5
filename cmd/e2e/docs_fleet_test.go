package e2e

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// pageAddressReplacer replaces the example addresses of the pages by those of s.
func pageAddressReplacer(s *system) *strings.Replacer {
	return strings.NewReplacer(
		"10.0.0.1:7000", s.callerAddresses[0],
		"10.0.0.1:7003", s.operatorAddresses[0],
		"10.0.0.2:7003", s.operatorAddresses[1],
	)
}

// verifierFor returns the verifier of a command, or nil if there is none. Calls
// of bulrushctl and curl with an example address need no entry in
// commandVerifiers: they run against a running deployment.
func verifierFor(line string) commandVerifier {
	if verify, known := commandVerifiers[line]; known {
		return verify
	}
	fields := strings.Fields(line)
	switch {
	case len(fields) > 1 && fields[0] == "bin/bulrushctl" && strings.Contains(line, " 10.0.0."):
		return func(t *testing.T, fleet func() *system) {
			args := strings.Fields(pageAddressReplacer(fleet()).Replace(line))
			runProgram(t, "bulrushctl", args[1:]...)
		}
	case len(fields) == 3 && fields[0] == "curl" && fields[1] == "-s":
		return func(t *testing.T, fleet func() *system) {
			response, err := http.Get(pageAddressReplacer(fleet()).Replace(fields[2]))
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusOK, response.StatusCode)
		}
	default:
		return nil
	}
}

// verifyByBuilding verifies a build command by building both programs.
func verifyByBuilding(t *testing.T, _ func() *system) {
	out, err := buildPrograms()
	require.NoError(t, err, out)
}

// verifyByServing starts an instance with the settings file that the page shows
// and waits until it is ready.
func verifyByServing(page string) commandVerifier {
	return func(t *testing.T, fleet func() *system) {
		text, err := os.ReadFile(filepath.Join(repoRoot, page))
		require.NoError(t, err)
		conf := strings.Join(fencedLines(text, "json"), "\n")
		conf = strings.ReplaceAll(conf, "10.0.0.9:8500", fleet().platformAddress)
		for _, port := range []string{"7000", "7001", "7002", "7003"} {
			conf = strings.ReplaceAll(conf, "10.0.0.1:"+port, "127.0.0.1:0")
		}
		file := filepath.Join(t.TempDir(), "entry-a.json")
		require.NoError(t, os.WriteFile(file, []byte(conf), 0o600))
		instance := startProgram(t, "bulrushwick", "serve", "--settings", file)
		require.NotEmpty(t, instance.await(t, "listening").Operator)
		instance.await(t, "ready")
	}
}
