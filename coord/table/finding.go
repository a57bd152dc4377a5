package table

import (
	"fmt"

	"github.com/bulrushwick/bulrushwick/coord/strictjson"
)

// ManifestName is Finding.Chunk of a finding in the manifest itself.
const ManifestName = "manifest"

// Finding is one defect of a published table, with its position.
type Finding struct {
	// Chunk is the key of the chunk that has the defect, or ManifestName.
	Chunk string
	// Finding holds the position within the chunk and the message.
	strictjson.Finding
}

// String returns chunk:line:column: path: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%s", f.Chunk, f.Finding)
}

// Findings lists the defects of one snapshot. Use Err to return it as an error:
// an empty list is not one.
type Findings []Finding

// Error returns all findings, one per line.
func (f Findings) Error() string { return strictjson.Lines(f) }

// Err returns the findings as an error, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
