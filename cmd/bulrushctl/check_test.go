package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/cmd/internal/check"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

const pools = `{"pools": [{"name": "models", "kind": "engine", "slots": 1, "batch": 1, "endpoints": []}]}`

// files holds the content of one file of each kind, by file name. Only pools.json
// has no findings.
var files = map[string]string{
	"settings.json": `{
  "instance": "entry-0", "instancee": "x",
  "callerAddress": "127.0.0.1:1", "peerAddress": "127.0.0.1:1", "controlAddress": "127.0.0.1:1", "platformAddress": "here"
}`,
	"pools.json":     pools,
	"routes.json":    "{\n  \"routes\": [\n    {\"name\": \"r\", \"pool\": \"model\", \"idempotnt\": true}\n  ]\n}",
	"adapters.json":  `{"adapters": [{"name": "a", "pool": "models", "versions": ["v1"]}, {"name": "a", "pool": "models", "versions": ["v1"], "versions": []}]}`,
	"instances.json": `[{"name": "e", "dataCentre": "d", "peerAddress": "127.0.0.1:1", "controlAddress": "127.0.0.1:1", "state": "lives"}]`,
	"endpoints.json": `[{"name": "", "state": "leaving"}]`,
	"broken.json":    `{"pools": [`,
}

// runCheck runs the check command and returns its output and exit code.
func runCheck(t *testing.T, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	c := command()
	c.SetArgs(append([]string{"check"}, args...))
	c.SetOut(&out)
	c.SetErr(&out)
	err := c.ExecuteContext(t.Context())
	if err == nil {
		return out.String(), 0
	}
	return out.String(), exitCode(err)
}

// writeFiles writes files to a new temporary directory and makes it the current
// one.
func writeFiles(t *testing.T, all map[string]string) {
	t.Helper()
	t.Chdir(t.TempDir())
	for name, data := range all {
		require.NoError(t, os.WriteFile(filepath.Clean(name), []byte(data), 0o600))
	}
}

func TestCheckReportsEveryFindingOfEveryFile(t *testing.T) {
	writeFiles(t, files)
	out, code := runCheck(t, "settings.json", "pools.json", "routes.json", "adapters.json", "instances.json", "endpoints.json")
	require.Equal(t, exitFailed, code)
	require.Equal(t, strings.Split(`settings.json:1:1: dataCentre: is empty
settings.json:2:26: instancee: unknown field; did you mean "instance"?
settings.json:3:98: platformAddress: "here" is not an IP address and port
routes.json:3:19: routes[0].pool: pool "model" is not defined; did you mean "models"?
routes.json:3:36: routes[0].idempotnt: unknown field; did you mean "idempotent"?
adapters.json:1:69: adapters[1].name: adapter "a" is defined twice
adapters.json:1:100: adapters[1].versions: is empty
adapters.json:1:120: adapters[1].versions: the field is written twice
instances.json:1:98: [0].state: "lives" is not live or leaving; did you mean "live"?
endpoints.json:1:3: [0].name: is empty
`, "\n"), strings.Split(out, "\n"))

	out, code = runCheck(t, "--output", "json", "broken.json", "routes.json")
	require.Equal(t, exitFailed, code)
	var findings []check.Finding
	require.NoError(t, json.Unmarshal([]byte(out), &findings))
	require.Len(t, findings, 2, "a pool that the broken file may define is not reported as undefined")
	require.Equal(t, "broken.json", findings[0].File)
}

// TestCheckReadsASettingsTemplate checks that findings in rendered settings are
// reported at their positions in the template.
func TestCheckReadsASettingsTemplate(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.json.tmpl")
	require.NoError(t, err)
	text := strings.Replace(string(template), "{{zone|json}}", `""`, 1)
	text = strings.Replace(text, "{{limits.memoryMb}}", "{{limits.memory}}", 1)
	text = strings.Replace(text, `"stopGrace": "{{bounds.graceS}}s"`, `"seedss": 1, "stopGrace": "-{{bounds.graceS}}s"`, 1)
	writeFiles(t, map[string]string{"good.tmpl": string(template), "bad.tmpl": text})
	out, code := runCheck(t, "good.tmpl")
	require.Empty(t, out)
	require.Zero(t, code)
	out, code = runCheck(t, "bad.tmpl")
	require.Equal(t, exitFailed, code)
	require.Equal(t, strings.Split(`bad.tmpl:3:3: dataCentre: is empty
bad.tmpl:12:20: limits.memory: the platform has no such field
bad.tmpl:17:3: seedss: unknown field; did you mean "seeds"?
bad.tmpl:17:16: stopGrace: must be above zero
`, "\n"), strings.Split(out, "\n"))
}

func TestCheckJoinsByTheManifest(t *testing.T) {
	manifest := func(digest string) string {
		return fmt.Sprintf("{\n  \"revision\": 3,\n  \"chunks\": [{\"key\": \"c/pools\", \"digest\": %q}]\n}", digest)
	}
	writeFiles(t, map[string]string{"pools.json": pools, "good.json": manifest(table.Digest([]byte(pools))), "old.json": manifest(table.Digest(nil))})
	out, code := runCheck(t, "good.json", "pools.json")
	require.Empty(t, out)
	require.Zero(t, code)
	out, code = runCheck(t, "old.json", "pools.json")
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, `old.json:3:3: chunks: chunk "c/pools" with digest `)
	require.Contains(t, out, "pools.json:1:1: $: no manifest lists the digest ")
}

// TestCheckReadsAConfiguration guards against a run that lists only some findings of a
// configuration of the platform, or that shows a key.
func TestCheckReadsAConfiguration(t *testing.T) {
	good := `{"version": 1, "future": {}, "routes": [{"name": "r", "routeType": "idempotent"}], "tenants": [{"name": "a", "apiKeys": ["sk-1"], "more": 1}]}`
	bad := `{"routes": [{"name": "r", "routeType": "odd"}],
 "tenants": [{"name": "a", "apiKeys": ["sk-1", "sk-1"], "ratePerS": "x"}, {"name": "a", "burst": -1}]}`
	writeFiles(t, map[string]string{"good.json": good, "bad.json": bad})
	out, code := runCheck(t, "good.json")
	require.Empty(t, out)
	require.Zero(t, code)
	out, code = runCheck(t, "bad.json")
	require.Equal(t, exitFailed, code)
	require.Equal(t, strings.Split(`bad.json:1:1: version: is missing or 0
bad.json:1:27: routes[0].routeType: "odd" is not a route type
bad.json:2:48: tenants[0].apiKeys[1]: the key is given twice; it is also at tenants[0].apiKeys[0]
bad.json:2:69: tenants[0].ratePerS: a JSON string does not fit float64
bad.json:2:76: tenants[1].name: the name is given twice; it is also at tenants[0].name
bad.json:2:89: tenants[1].burst: must not be negative
`, "\n"), strings.Split(out, "\n"))
}

func TestCheckUsage(t *testing.T) {
	writeFiles(t, files)
	for _, args := range [][]string{{}, {"absent.json"}, {"--outptu", "json", "pools.json"}, {"--output", "xml", "pools.json"}} {
		_, code := runCheck(t, args...)
		require.Equal(t, exitUsage, code, "%v", args)
	}
}
