package decision

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md")

// TestEventsPage checks that docs/EVENTS.md is up to date with the tables.
func TestEventsPage(t *testing.T) {
	const page = "../../docs/EVENTS.md"
	want := eventsPage()
	if *update {
		require.NoError(t, os.WriteFile(page, want, 0o600))
	}
	got, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), "write it with: go test ./entry/decision -run EventsPage -update")
}

func eventsPage() []byte {
	var page bytes.Buffer
	page.WriteString("# Events of the log\n\n" +
		"Written by `go test ./entry/decision -run EventsPage -update`; CI compares it. How to\n" +
		"read them: [OPERATIONS.md](OPERATIONS.md). Every line has `time`, `instance`, `event`\n" +
		"and `level`.\n\n| event | one line for | fields |\n| --- | --- | --- |\n")
	for _, e := range eventTable {
		fmt.Fprintf(&page, "| `%s` | %s | %s |\n", e.name, e.text, strings.Join(e.fields, ", "))
	}
	page.WriteString("\n| field | holds |\n| --- | --- |\n")
	for _, f := range fieldTable {
		fmt.Fprintf(&page, "| `%s` | %s |\n", f.name, f.text)
	}
	return page.Bytes()
}

// TestTablesAreComplete checks that every field of an event is described, and that
// every described field belongs to an event or is common to all.
func TestTablesAreComplete(t *testing.T) {
	used := map[Field]bool{FieldInstance: true, FieldTime: true, FieldEvent: true}
	explained := make(map[Field]bool)
	for _, f := range fieldTable {
		explained[f.name] = true
	}
	for _, e := range eventTable {
		for _, f := range e.fields {
			require.True(t, explained[f], "field %s of event %s is not described", f, e.name)
			used[f] = true
		}
	}
	for f := range explained {
		require.True(t, used[f], "no event has the field %s", f)
	}
}

// linePattern matches a statement that writes a line, up to Send. fieldPattern
// matches a field within it. literalFieldPattern matches a field whose name is a
// string literal, which the test rejects.
var (
	linePattern         = regexp.MustCompile(`(?s)\.(?:Line|Warn)\(decision\.(\w+)(.*?)\.Send\(\)`)
	fieldPattern        = regexp.MustCompile(`(?:Str|Strs|Int|Int64|Uint8|Uint64|Bool|Dur|Bytes)\(decision\.Field(\w+)`)
	literalFieldPattern = regexp.MustCompile(`\b(?:Str|Strs|Int|Int64|Uint8|Uint64|Bool|Dur|Bytes)\("`)
)

// TestLinesUseOnlyTheirEventsFields checks in the source of entry/direct that each
// line has only fields that eventTable lists for its event.
func TestLinesUseOnlyTheirEventsFields(t *testing.T) {
	names := make(map[string]Field)
	for _, f := range fieldTable {
		names[constantName(f.name)] = f.name
	}
	fields := make(map[string][]Field)
	for _, e := range eventTable {
		fields[constantName(string(e.name))] = e.fields
	}
	sources, err := filepath.Glob("../direct/*.go")
	require.NoError(t, err)
	lines := 0
	for _, source := range sources {
		text, err := os.ReadFile(source)
		require.NoError(t, err)
		require.NotRegexp(t, literalFieldPattern, string(text), "%s: a field's name is not a constant", source)
		for _, line := range linePattern.FindAllStringSubmatch(string(text), -1) {
			lines++
			for _, field := range fieldPattern.FindAllStringSubmatch(line[2], -1) {
				require.Contains(t, fields[line[1]], names[field[1]], "%s in %s", line[1], source)
			}
		}
	}
	require.Greater(t, lines, 20)
}

// constantName returns the name of the constant for the name of an event, or, without
// the prefix Field, of a field.
func constantName(name string) string {
	constant := ""
	for part := range strings.SplitSeq(name, "_") {
		switch part {
		case "ms":
			constant += "MS"
		default:
			constant += strings.ToUpper(part[:1]) + part[1:]
		}
	}
	return constant
}
