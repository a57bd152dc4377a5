package e2e

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEmbeddingPageShowsTheCompiledExample guards against example code on the
// page that no longer compiles: the code must equal the end of
// coord/example_test.go, which go test runs.
func TestEmbeddingPageShowsTheCompiledExample(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(repoRoot, "docs/embedding.md"))
	require.NoError(t, err)
	_, code, found := strings.Cut(string(page), "```go\n")
	require.True(t, found)
	code, _, found = strings.Cut(code, "```")
	require.True(t, found)
	example, err := os.ReadFile(filepath.Join(repoRoot, "coord/example_test.go"))
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(string(example), code), "the page differs from coord/example_test.go")
}
