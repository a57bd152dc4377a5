package e2e

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEmbeddingPageShowsTheCompiledExample wants the page's code to be the end
// of the example that go test runs.
func TestEmbeddingPageShowsTheCompiledExample(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/embedding.md"))
	require.NoError(t, err)
	_, code, found := strings.Cut(string(page), "```go\n")
	require.True(t, found)
	code, _, found = strings.Cut(code, "```")
	require.True(t, found)
	example, err := os.ReadFile(filepath.Join(root, "coord/example_test.go"))
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(string(example), code), "the page differs from coord/example_test.go")
}
