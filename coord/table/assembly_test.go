package table_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// indexedSnapshot returns a snapshot whose leaf chunks are listed in one index
// chunk.
func indexedSnapshot(revision uint64, leaves ...string) table.Snapshot {
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

// complete adds missing chunks until the assembly is complete, and returns how many
// it added.
func complete(a *table.Assembly, s table.Snapshot) int {
	count := 0
	for missing := a.Missing(); len(missing) > 0; missing = a.Missing() {
		a.Add(s.Chunks[missing[0].Key])
		count++
	}
	return count
}

func TestChangedIndexAsksOnlyForChangedLeaves(t *testing.T) {
	const changed = 2 // the index and one leaf
	first := build(t, indexedSnapshot(1, adapters("a"), adapters("b"), adapters("c")))
	next := indexedSnapshot(2, adapters("a"), adapters("b"), adapters("d"))
	require.Equal(t, changed, complete(table.NewAssembly(next.Manifest, first, nil), next))
}

func TestAbandonedAssemblyKeepsItsLeaves(t *testing.T) {
	first := indexedSnapshot(1, adapters("a"), adapters("b"))
	abandoned := table.NewAssembly(first.Manifest, nil, nil)
	complete(abandoned, first)
	next := indexedSnapshot(2, adapters("a"), adapters("c"))
	const changed = 2 // the index and one leaf
	require.Equal(t, changed, complete(table.NewAssembly(next.Manifest, nil, abandoned), next))
}
