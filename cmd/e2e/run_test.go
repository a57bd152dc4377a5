package e2e

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// runProgram runs a program to completion and returns its standard output. It
// fails the test if the exit code is not 0.
func runProgram(t *testing.T, program string, args ...string) string {
	t.Helper()
	dir, err := buildPrograms()
	require.NoError(t, err, dir)
	command := exec.CommandContext(t.Context(), filepath.Join(dir, program), args...)
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	require.NoError(t, command.Run(), "%s %v\n%s%s", program, args, stdout.String(), stderr.String())
	return stdout.String()
}
