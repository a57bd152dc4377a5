package strictjson

import (
	"bytes"
	"fmt"
	"sort"
	"strings"
)

// Position is a position in a document. The zero value means no position.
type Position struct {
	// Line counts from 1.
	Line int
	// Column counts bytes from 1.
	Column int
}

// Finding is one defect of a document.
type Finding struct {
	Position
	// Path is the path of the value in the document, such as routes[3].pool, or
	// Root for the whole document.
	Path string
	// Message describes the defect.
	Message string
}

// String returns line:column: path: message.
func (f Finding) String() string {
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Path, f.Message)
}

// Findings lists the defects of one document. Use Err to return it as an error: an
// empty list is not one.
type Findings []Finding

// Error returns all findings, one per line.
func (f Findings) Error() string { return Lines(f) }

// Lines formats findings, one per line.
func Lines[F fmt.Stringer](findings []F) string {
	lines := make([]string, len(findings))
	for i, finding := range findings {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Sort sorts the findings by position. Those at the same position keep their order.
func (f Findings) Sort() {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Column < f[j].Column
	})
}

// Root is the path of the whole document.
const Root = "$"

// positionAt returns the position of a byte offset.
func positionAt(data []byte, offset int) Position {
	before := data[:min(offset, len(data))]
	return Position{
		Line:   1 + bytes.Count(before, []byte{'\n'}),
		Column: len(before) - bytes.LastIndexByte(before, '\n'),
	}
}
