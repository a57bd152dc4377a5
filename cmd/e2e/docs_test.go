package e2e

import (
	"bufio"
	"bytes"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// root is the repository's root.
const root = "../.."

// pageCommand is one command in a fenced sh block of a page.
type pageCommand struct {
	page string
	line string
}

// commandProof says how a command of a page is proved; fleet returns a running
// deployment.
type commandProof func(t *testing.T, fleet func() *system)

// commandProofs maps every command of the pages to its proof.
var commandProofs = map[string]commandProof{
	"go run ./cmd/bulrushctl capacity":                 proveByRun("bulrushctl", "capacity", "--quick"),
	"go run ./cmd/bulrushctl demo":                     proveByRun("bulrushctl", "demo"),
	"go run ./cmd/bulrushctl experiment suzgec-steady": proveByRun("bulrushctl", "experiment", "suzgec-steady"),

	"go run ./cmd/bulrushctl check manifest.json routes.json pools.json": proveCheck,

	"go test ./coord/table -run '^$' -bench 'Change|Start'": proveByGo("./coord/table", "-run", "^$", "-bench", "Change|Start", "-benchtime", "1x"),
	"go test ./entry/peer -run '^$' -bench Calls":           proveByGo("./entry/peer", "-run", "^$", "-bench", "Calls", "-benchtime", "1x"),
	"go test ./coord/table/replica -run FullSize -v":        proveByGo("./coord/table/replica", "-run", "FullSize", "-v"),

	"go test work": proveByCI("go test work"),

	"bulrushctl trace 9c41d07be2a35f68 logs/*.log": proveTrace,
	"go test -bench Line ./entry/decision":         proveByGo("./entry/decision", "-run", "^$", "-bench", "Line", "-benchtime", "1x"),

	"go build -o bin/ ./cmd/bulrushwick ./cmd/bulrushctl": proveByBuild,
	"bin/bulrushwick serve --settings entry-a.json":       proveByServing("docs/operate/start.md"),
}

// proveByRun runs a program to its end and wants exit code 0.
func proveByRun(program string, args ...string) commandProof {
	return func(t *testing.T, _ func() *system) { run(t, program, args...) }
}

// proveByCI wants the command in the script that CI runs.
func proveByCI(line string) commandProof {
	return func(t *testing.T, _ func() *system) {
		script, err := os.ReadFile(filepath.Join(root, ".ci/run"))
		require.NoError(t, err)
		require.Contains(t, strings.Split(string(script), "\n"), line)
	}
}

// proveByGo runs tests of a package and wants at least one to run.
func proveByGo(args ...string) commandProof {
	return func(t *testing.T, _ func() *system) {
		command := exec.CommandContext(t.Context(), "go", append([]string{"test"}, args...)...)
		command.Dir = root
		out, err := command.CombinedOutput()
		require.NoError(t, err, string(out))
		require.NotContains(t, string(out), "no tests to run")
		require.Regexp(t, "(?m)^(Benchmark|--- PASS)", string(out))
	}
}

// proveCheck checks a table in three files.
func proveCheck(t *testing.T, _ func() *system) {
	dir := t.TempDir()
	pools := `{"pools": [{"name": "models", "kind": "engine", "slots": 1, "batch": 1, "endpoints": []}]}`
	routes := `{"routes": [{"name": "completions", "pool": "models"}]}`
	manifest := table.Manifest{Revision: 1}
	args := []string{"check", filepath.Join(dir, "manifest.json")}
	for name, data := range map[string]string{"pools.json": pools, "routes.json": routes} {
		manifest.Chunks = append(manifest.Chunks, table.ChunkRef{Digest: table.Digest([]byte(data))})
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(data), 0o600))
		args = append(args, filepath.Join(dir, name))
	}
	require.NoError(t, os.WriteFile(args[1], manifest.Encode(), 0o600))
	require.Empty(t, run(t, "bulrushctl", args...))
}

// proveTrace finds the deciding line of a request in two logs.
func proveTrace(t *testing.T, _ func() *system) {
	dir := t.TempDir()
	first, second := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	require.NoError(t, os.WriteFile(first, []byte(
		`{"level":"info","instance":"a","time":"2026-12-04T07:00:00.100Z","event":"placed","request":"9c41d07be2a35f68","worker":"w1"}
{"level":"info","instance":"a","time":"2026-12-04T07:00:00.300Z","event":"refused","request":"9c41d07be2a35f68","worker":"w1","reason":"full"}
`), 0o600))
	require.NoError(t, os.WriteFile(second, []byte(
		`prefix {"level":"info","instance":"b","time":"2026-12-04T07:00:00.200Z","event":"order_sent","worker":"w1"}
`), 0o600))
	out := run(t, "bulrushctl", "trace", "9c41d07be2a35f68", first, second)
	require.Contains(t, out, "decided by: 07:00:00.300 a refused reason=full worker=w1")
}

// TestEveryCommandOnAPageRuns fails for a command that has no proof.
func TestEveryCommandOnAPageRuns(t *testing.T) {
	commands := pageCommands(t)
	require.NotEmpty(t, commands)
	fleet := sync.OnceValue(func() *system { return startSystem(t, deployment.Silttolge(), 1) })
	for _, c := range commands {
		t.Run(c.page+"/"+c.line, func(t *testing.T) {
			proof := proofOf(c.line)
			require.NotNil(t, proof, "no test runs %q of %s", c.line, c.page)
			proof(t, fleet)
		})
	}
}

// pages lists the README and every page under docs.
func pages(t *testing.T) []string {
	t.Helper()
	all := []string{filepath.Join(root, "README.md")}
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && strings.HasSuffix(path, ".md") {
			all = append(all, path)
		}
		return err
	})
	require.NoError(t, err)
	return all
}

func pageCommands(t *testing.T) []pageCommand {
	t.Helper()
	var commands []pageCommand
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		name, err := filepath.Rel(root, page)
		require.NoError(t, err)
		for _, line := range fencedLines(text, "sh") {
			commands = append(commands, pageCommand{page: name, line: line})
		}
	}
	return commands
}

// fencedLines returns the lines of the blocks in that language, without their
// comments.
func fencedLines(text []byte, language string) []string {
	var lines []string
	inside := false
	scanner := bufio.NewScanner(bytes.NewReader(text))
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if fence, is := strings.CutPrefix(line, "```"); is {
			inside = !inside && fence == language
			continue
		}
		command, _, _ := strings.Cut(line, " #")
		if command = strings.TrimSpace(command); inside && command != "" && command[0] != '#' {
			lines = append(lines, command)
		}
	}
	return lines
}

// pageLink matches a Markdown link to a file.
var pageLink = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)

// TestEveryLinkOnAPageLeadsToAFile fails for a link to a file that is not there.
func TestEveryLinkOnAPageLeadsToAFile(t *testing.T) {
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, match := range pageLink.FindAllSubmatch(text, -1) {
			target := filepath.Join(filepath.Dir(page), string(match[1]))
			_, err := os.Stat(target)
			require.NoError(t, err, "link in %s", page)
		}
	}
}
