package table

import (
	"fmt"

	"github.com/bulrushwick/bulrushwick/coord/strictjson"
)

// ManifestName stands for the manifest where a finding names its chunk.
const ManifestName = "manifest"

// Finding is one defect of a published table, with its place.
type Finding struct {
	// Chunk is the key of the chunk, or ManifestName.
	Chunk string
	// Finding holds the place within the chunk and what is wrong.
	strictjson.Finding
}

// String returns chunk:line:column: path: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%s", f.Chunk, f.Finding)
}

// Findings is the list of defects of one snapshot; it is an error when it is
// not empty.
type Findings []Finding

// Error returns every finding, one a line.
func (f Findings) Error() string { return strictjson.Lines(f) }

// Err returns the findings as an error, or nil when there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
