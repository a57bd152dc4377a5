package strictjson

import (
	"fmt"

	"github.com/agnivade/levenshtein"
)

// bytesPerEdit is the number of bytes of a name, rounded up, for which Suggest
// allows one edit.
const bytesPerEdit = 3

// Suggest returns `; did you mean "..."?` with the known name that has the smallest
// edit distance to name, or "" if none is close enough.
func Suggest(name string, known []string) string {
	best, distance := "", (len(name)+bytesPerEdit-1)/bytesPerEdit+1
	for _, candidate := range known {
		d := levenshtein.ComputeDistance(name, candidate)
		if d < distance || (d == distance && best != "" && candidate < best) {
			best, distance = candidate, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}
