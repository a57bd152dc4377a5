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

// TestEventsPage compares the page with the tables.
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

// TestTheTablesAreWhole checks that every event's fields are explained, and every
// field that is explained belongs to an event or to all.
func TestTheTablesAreWhole(t *testing.T) {
	used := map[Field]bool{FieldInstance: true, FieldTime: true, FieldEvent: true}
	known := make(map[Field]bool)
	for _, f := range fieldTable {
		known[f.name] = true
	}
	for _, e := range eventTable {
		for _, f := range e.fields {
			require.True(t, known[f], "%s of %s", f, e.name)
			used[f] = true
		}
	}
	for f := range known {
		require.True(t, used[f], "no event has %s", f)
	}
}

// linePattern finds a line of the log in the sources, up to its end.
var (
	linePattern  = regexp.MustCompile(`(?s)\.(?:Line|Warn)\(decision\.(\w+)(.*?)\.Send\(\)`)
	fieldPattern = regexp.MustCompile(`(?:Str|Strs|Int|Int64|Uint8|Uint64|Bool|Dur|Bytes)\(decision\.Field(\w+)`)
	textPattern  = regexp.MustCompile(`\b(?:Str|Strs|Int|Int64|Uint8|Uint64|Bool|Dur|Bytes)\("`)
)

// TestLinesHaveTheFieldsOfTheTable reads the sources that write lines.
func TestLinesHaveTheFieldsOfTheTable(t *testing.T) {
	names := make(map[string]Field)
	for _, f := range fieldTable {
		names[constantOf(f.name)] = f.name
	}
	fields := make(map[string][]Field)
	for _, e := range eventTable {
		fields[constantOf(string(e.name))] = e.fields
	}
	sources, err := filepath.Glob("../direct/*.go")
	require.NoError(t, err)
	lines := 0
	for _, source := range sources {
		text, err := os.ReadFile(source)
		require.NoError(t, err)
		require.NotRegexp(t, textPattern, string(text), "%s: a field's name is no constant", source)
		for _, line := range linePattern.FindAllStringSubmatch(string(text), -1) {
			lines++
			for _, field := range fieldPattern.FindAllStringSubmatch(line[2], -1) {
				require.Contains(t, fields[line[1]], names[field[1]], "%s in %s", line[1], source)
			}
		}
	}
	require.Greater(t, lines, 20)
}

// constantOf is the name of the constant for a name on the wire.
func constantOf(name string) string {
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
