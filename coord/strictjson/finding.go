package strictjson

import (
	"bytes"
	"fmt"
	"sort"
	"strings"
)

// Position is a place in a document. The zero value is no place.
type Position struct {
	// Line counts from 1.
	Line int
	// Column counts bytes from 1.
	Column int
}

// Finding is one defect of a document.
type Finding struct {
	Position
	// Path is the place within the value, such as routes[3].pool; "$" is the
	// whole document.
	Path string
	// Message says what is wrong.
	Message string
}

// String returns line:column: path: message.
func (f Finding) String() string {
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Path, f.Message)
}

// Findings is the list of defects of one document; it is an error when it is not
// empty.
type Findings []Finding

// Error returns every finding, one a line.
func (f Findings) Error() string { return Lines(f) }

// Lines returns every finding of a list, one a line.
func Lines[F fmt.Stringer](findings []F) string {
	lines := make([]string, len(findings))
	for i, finding := range findings {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil when there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Sort orders the findings by their place.
func (f Findings) Sort() {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Column < f[j].Column
	})
}

// Root is the path of a whole document.
const Root = "$"

// positionAt returns the place of a byte offset.
func positionAt(data []byte, offset int) Position {
	before := data[:min(offset, len(data))]
	return Position{
		Line:   1 + bytes.Count(before, []byte{'\n'}),
		Column: len(before) - bytes.LastIndexByte(before, '\n'),
	}
}
