package table

import (
	"fmt"
	"strings"
)

// Finding is one defect of a published table, with its place.
type Finding struct {
	// Chunk is the key of the chunk, or "manifest".
	Chunk string
	// Path is the place within the chunk, such as routes[3].pool.
	Path string
	// Message says what is wrong.
	Message string
}

// String returns chunk: path: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Chunk, f.Path, f.Message)
}

// Findings is the list of defects of one snapshot; it is an error when it is
// not empty.
type Findings []Finding

// Error returns every finding, one a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
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
