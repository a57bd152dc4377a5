package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// TestBadSettingsStartNothing checks that invalid settings are logged with one line
// per finding and that no listener is started.
func TestBadSettingsStartNothing(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.json")
	require.NoError(t, os.WriteFile(file, []byte(`{
  "instance": "entry-0",
  "instance": "entry-0",
  "dataCenter": "dc-a",
  "queueLimit": "many"
}`), 0o600))
	var log bytes.Buffer
	c := rootCommand(zerolog.New(&log), nil)
	c.SetArgs([]string{"serve", "--settings", file})
	require.Error(t, c.ExecuteContext(t.Context()))
	for _, want := range []string{
		`"line":3,"column":3,"path":"instance","message":"the field is written twice"`,
		`"line":4,"column":3,"path":"dataCenter","message":"unknown field; did you mean`,
		`"line":5,"column":17,"path":"queueLimit"`,
	} {
		require.Contains(t, log.String(), want)
	}
	require.Equal(t, 3, strings.Count(log.String(), "settings_finding"))
	require.NotContains(t, log.String(), "listening")
}
