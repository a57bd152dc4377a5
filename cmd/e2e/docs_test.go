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

// repoRoot is the path of the repository's root directory.
const repoRoot = "../.."

// pageCommand is one command line in a fenced sh block of a page.
type pageCommand struct {
	page string
	line string
}

// commandVerifier fails the test if a command of a page does not work. fleet
// returns a running deployment and starts it at the first call.
type commandVerifier func(t *testing.T, fleet func() *system)

// commandVerifiers maps a command of the pages to its verifier. Commands that
// verifierFor recognises by their arguments are not listed.
var commandVerifiers = map[string]commandVerifier{
	"go run ./cmd/bulrushctl capacity":                 verifyByRunning("bulrushctl", "capacity", "--quick"),
	"go run ./cmd/bulrushctl demo":                     verifyByRunning("bulrushctl", "demo"),
	"go run ./cmd/bulrushctl experiment suzgec-steady": verifyByRunning("bulrushctl", "experiment", "suzgec-steady"),

	"go run ./cmd/bulrushctl check manifest.json routes.json pools.json": verifyCheckCommand,

	"go test ./coord/table -run '^$' -bench 'Change|Start'": verifyByGoTest("./coord/table", "-run", "^$", "-bench", "Change|Start", "-benchtime", "1x"),
	"go test ./entry/peer -run '^$' -bench Calls":           verifyByGoTest("./entry/peer", "-run", "^$", "-bench", "Calls", "-benchtime", "1x"),
	"go test ./coord/table/replica -run FullSize -v":        verifyByGoTest("./coord/table/replica", "-run", "FullSize", "-v"),

	"go test work": verifyInCI("go test work"),

	"bulrushctl trace 9c41d07be2a35f68 logs/*.log": verifyTraceCommand,
	explainDirectLine:                      verifyExplainDirectCommand,
	"go test -bench Line ./entry/decision": verifyByGoTest("./entry/decision", "-run", "^$", "-bench", "Line", "-benchtime", "1x"),

	"go build -o bin/ ./cmd/bulrushwick ./cmd/bulrushctl": verifyByBuilding,
	"bin/bulrushwick serve --settings entry-a.json":       verifyByServing("docs/operate/start.md"),
}

// verifyByRunning runs a program to completion and requires exit code 0.
func verifyByRunning(program string, args ...string) commandVerifier {
	return func(t *testing.T, _ func() *system) { runProgram(t, program, args...) }
}

// verifyInCI requires that the command is a line of the script that CI runs.
func verifyInCI(line string) commandVerifier {
	return func(t *testing.T, _ func() *system) {
		script, err := os.ReadFile(filepath.Join(repoRoot, ".ci/run"))
		require.NoError(t, err)
		require.Contains(t, strings.Split(string(script), "\n"), line)
	}
}

// verifyByGoTest runs go test with args and requires that at least one test or
// benchmark runs.
func verifyByGoTest(args ...string) commandVerifier {
	return func(t *testing.T, _ func() *system) {
		command := exec.CommandContext(t.Context(), "go", append([]string{"test"}, args...)...)
		command.Dir = repoRoot
		out, err := command.CombinedOutput()
		require.NoError(t, err, string(out))
		require.NotContains(t, string(out), "no tests to run")
		require.Regexp(t, "(?m)^(Benchmark|--- PASS)", string(out))
	}
}

// verifyCheckCommand runs bulrushctl check on a manifest and its two chunks and
// requires that it reports nothing.
func verifyCheckCommand(t *testing.T, _ func() *system) {
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
	require.Empty(t, runProgram(t, "bulrushctl", args...))
}

// verifyTraceCommand runs bulrushctl trace on the logs of two instances, one with
// a prefix before each line, and requires the event that decided the request.
func verifyTraceCommand(t *testing.T, _ func() *system) {
	dir := t.TempDir()
	first, second := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	require.NoError(t, os.WriteFile(first, []byte(
		`{"level":"info","instance":"a","time":"2026-12-04T07:00:00.100Z","event":"placed","request":"9c41d07be2a35f68","worker":"w1"}
{"level":"info","instance":"a","time":"2026-12-04T07:00:00.300Z","event":"refused","request":"9c41d07be2a35f68","worker":"w1","reason":"full"}
`), 0o600))
	require.NoError(t, os.WriteFile(second, []byte(
		`prefix {"level":"info","instance":"b","time":"2026-12-04T07:00:00.200Z","event":"order_sent","worker":"w1"}
`), 0o600))
	out := runProgram(t, "bulrushctl", "trace", "9c41d07be2a35f68", first, second)
	require.Contains(t, out, "decided by: 07:00:00.300 a refused reason=full worker=w1")
}

// TestEveryCommandOnAPageRuns guards against commands on a page that no longer
// work, for example after a flag was renamed. It also fails for a command that
// has no verifier.
func TestEveryCommandOnAPageRuns(t *testing.T) {
	commands := pageCommands(t)
	require.NotEmpty(t, commands)
	fleet := sync.OnceValue(func() *system { return startSystem(t, deployment.Silttolge(), 1) })
	for _, c := range commands {
		t.Run(c.page+"/"+c.line, func(t *testing.T) {
			verify := verifierFor(c.line)
			require.NotNil(t, verify, "no verifier for command %q of %s", c.line, c.page)
			verify(t, fleet)
		})
	}
}

// pages returns the paths of the README and of every page under docs.
func pages(t *testing.T) []string {
	t.Helper()
	all := []string{filepath.Join(repoRoot, "README.md")}
	err := filepath.WalkDir(filepath.Join(repoRoot, "docs"), func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && strings.HasSuffix(path, ".md") {
			all = append(all, path)
		}
		return err
	})
	require.NoError(t, err)
	return all
}

// pageCommands returns the commands of all pages.
func pageCommands(t *testing.T) []pageCommand {
	t.Helper()
	var commands []pageCommand
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		name, err := filepath.Rel(repoRoot, page)
		require.NoError(t, err)
		for _, line := range fencedLines(text, "sh") {
			commands = append(commands, pageCommand{page: name, line: line})
		}
	}
	return commands
}

// fencedLines returns the lines of the fenced code blocks in language, without
// comments that begin with # and without empty lines.
func fencedLines(text []byte, language string) []string {
	var lines []string
	inside := false
	scanner := bufio.NewScanner(bytes.NewReader(text))
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if fence, ok := strings.CutPrefix(line, "```"); ok {
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

// pageLink matches a Markdown link to a file; group 1 is the path without the anchor.
var pageLink = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)

// TestEveryLinkOnAPageLeadsToAFile guards against links to files that were moved
// or deleted.
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
