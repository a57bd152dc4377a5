package e2e

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// run runs a program to its end and returns its output; it must exit with 0.
func run(t *testing.T, program string, args ...string) string {
	t.Helper()
	dir, err := binaries()
	require.NoError(t, err, dir)
	command := exec.CommandContext(t.Context(), filepath.Join(dir, program), args...)
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	require.NoError(t, command.Run(), "%s %v\n%s%s", program, args, stdout.String(), stderr.String())
	return stdout.String()
}
