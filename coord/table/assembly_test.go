package table_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// indexed returns a configuration whose leaves stand in one index chunk.
func indexed(revision uint64, leaves ...string) table.Snapshot {
	refs := ""
	chunks := make(map[string][]byte)
	for i, leaf := range leaves {
		digest := table.Digest([]byte(leaf))
		if i > 0 {
			refs += ", "
		}
		refs += fmt.Sprintf(`{"key": "c/%s", "digest": %q}`, digest, digest)
		chunks["c/"+digest] = []byte(leaf)
	}
	s := snapshot(revision, poolsChunk, `{"chunks": [`+refs+`]}`)
	for key, data := range chunks {
		s.Chunks[key] = data
	}
	return s
}

// asked adds what an assembly asks for until it is complete, and returns how
// many chunks that were.
func asked(a *table.Assembly, s table.Snapshot) int {
	count := 0
	for missing := a.Missing(); len(missing) > 0; missing = a.Missing() {
		a.Add(s.Chunks[missing[0].Key])
		count++
	}
	return count
}

func TestChangedIndexAsksOnlyForChangedLeaves(t *testing.T) {
	const changed = 2 // the index and one leaf
	first := build(t, indexed(1, adapters("a"), adapters("b"), adapters("c")))
	next := indexed(2, adapters("a"), adapters("b"), adapters("d"))
	require.Equal(t, changed, asked(table.NewAssembly(next.Manifest, first, nil), next))
}

func TestGivenUpAssemblyKeepsItsLeaves(t *testing.T) {
	given := indexed(1, adapters("a"), adapters("b"))
	earlier := table.NewAssembly(given.Manifest, nil, nil)
	asked(earlier, given)
	next := indexed(2, adapters("a"), adapters("c"))
	const changed = 2 // the index and one leaf
	require.Equal(t, changed, asked(table.NewAssembly(next.Manifest, nil, earlier), next))
}
