package table_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// poolsChunk is a small valid chunk that defines the pool of all tests.
const poolsChunk = `{
  "regions": [{"name": "north", "dataCentres": ["dc-a"]}],
  "routes": [{"name": "completions", "pool": "models"}],
  "pools": [{"name": "models", "kind": "engine", "slots": 2, "batch": 4,
    "endpoints": [{"name": "w-0", "address": "127.0.0.1:1", "dataCentre": "dc-a"}]}]
}`

// snapshot returns a snapshot of chunks under the keys c/0, c/1 and so on.
func snapshot(revision uint64, chunks ...string) table.Snapshot {
	s := table.Snapshot{Manifest: table.Manifest{Revision: revision}, Chunks: make(map[string][]byte)}
	for i, data := range chunks {
		key := fmt.Sprintf("c/%d", i)
		s.Chunks[key] = []byte(data)
		s.Manifest.Chunks = append(s.Manifest.Chunks, table.ChunkRef{Key: key, Digest: table.Digest([]byte(data))})
	}
	return s
}

func build(t require.TestingT, s table.Snapshot) *table.Table {
	built, err := table.Build(s)
	require.NoError(t, err)
	return built
}

func adapters(names ...string) string {
	rows := make([]string, len(names))
	for i, name := range names {
		rows[i] = fmt.Sprintf(`{"name": %q, "pool": "models", "versions": ["v1"]}`, name)
	}
	return `{"adapters": [` + strings.Join(rows, ",\n") + `]}`
}

func TestBuildReportsEveryFindingOfEveryChunk(t *testing.T) {
	_, err := table.Build(snapshot(0,
		poolsChunk,
		"{\n  \"routes\": [\n    {\"name\": \"other\", \"pool\": \"model\"},\n    {\"name\": \"completions\", \"pool\": \"models\", \"pathPrefix\": \"/x\"}\n  ]\n}",
		`{"adapters": [{"name": "a", "pool": "models", "versions": ["v1"]}, {"name": "a", "pool": "models", "versions": []}], "extra": 1}`,
		adapters("x", "y"), adapters("y", "z"), adapters("p", "p"),
		`{"endpoints": [{"pool": "models", "name": "w-0", "address": "host:1", "dataCentre": "dc-a"}]}`,
	))
	require.Equal(t, strings.Split(`manifest:1:2: revision: must be at least 1
c/1:3:23: routes[0].pool: pool "model" is not defined; did you mean "models"?
c/1:4:6: routes[1].name: route "completions" is defined twice
c/1:4:47: routes[1].pathPrefix: an engine route matches by adapterPrefix
c/2:1:69: adapters[1].name: adapter "a" is defined twice
c/2:1:100: adapters[1].versions: is empty
c/2:1:118: extra: unknown field
c/4:1:16: adapters[0].name: adapter "y" is defined in chunk "c/3" as well
c/5:2:2: adapters[1].name: adapter "p" is defined twice
c/6:1:35: endpoints[0].name: endpoint "w-0" is defined twice
c/6:1:50: endpoints[0].address: "host:1" is not an IP address and port`, "\n"), strings.Split(err.Error(), "\n"))
}

func TestAssemblyAsksOnlyForChunksThatItLacks(t *testing.T) {
	first := build(t, snapshot(1, poolsChunk, adapters("a"), adapters("b")))
	next := snapshot(2, poolsChunk, adapters("a", "c"), adapters("b"))
	a := table.NewAssembly(next.Manifest, first, nil)
	require.Equal(t, []table.ChunkRef{next.Manifest.Chunks[1]}, a.Missing())
	require.False(t, a.Add([]byte(adapters("other"))), "must reject the bytes of another revision")
	require.True(t, a.Add(next.Chunks["c/1"]))
	second, err := a.Build()
	require.NoError(t, err)
	require.True(t, second.HasVersion("models", table.AdapterVersion{Adapter: "c", Version: "v1"}))
	require.False(t, first.HasVersion("models", table.AdapterVersion{Adapter: "c", Version: "v1"}))
	require.Equal(t, build(t, next).Stamp(), second.Stamp())

	clash := snapshot(3, poolsChunk, adapters("a", "c"), adapters("b"), adapters("b"))
	clash.Manifest.Chunks[3].Digest = table.Digest([]byte(adapters("b") + " "))
	a = table.NewAssembly(clash.Manifest, second, nil)
	require.True(t, a.Add([]byte(adapters("b")+" ")))
	_, err = a.Build()
	require.ErrorContains(t, err, `adapter "b" is defined in chunk "c/2" as well`)
}

func TestIndexChunks(t *testing.T) {
	leaf := adapters("a")
	index := fmt.Sprintf(`{"chunks": [{"key": "c/leaf", "digest": %q}]}`, table.Digest([]byte(leaf)))
	s := snapshot(1, poolsChunk, index)
	s.Chunks["c/leaf"] = []byte(leaf)
	built := build(t, s)
	require.True(t, built.HasVersion("models", table.AdapterVersion{Adapter: "a", Version: "v1"}))
	require.Len(t, built.Snapshot().Chunks, 3)

	nested := fmt.Sprintf(`{"chunks": [{"key": "c/1", "digest": %q}]}`, table.Digest([]byte(index)))
	s = snapshot(1, poolsChunk, index, nested)
	s.Chunks["c/leaf"] = []byte(leaf)
	_, err := table.Build(s)
	require.ErrorContains(t, err, "is an index chunk within an index chunk")
}

func TestEqualRevisionsAreOrderedByDigest(t *testing.T) {
	one, two := build(t, snapshot(7, poolsChunk)), build(t, snapshot(7, poolsChunk, adapters("a")))
	if one.Stamp().Above(two.Stamp()) {
		one, two = two, one
	}
	var forward, backward table.Register
	for _, x := range []*table.Table{one, two, one} {
		forward.Offer(x)
	}
	for _, x := range []*table.Table{two, one, two} {
		backward.Offer(x)
	}
	require.Equal(t, two.Stamp(), forward.Stamp())
	require.Equal(t, two.Stamp(), backward.Stamp())
}

func FuzzManifest(f *testing.F) {
	f.Add([]byte(`{"revision": 1, "chunks": [{"key": "c/0", "digest": "0123456789abcdef"}]}`))
	f.Add([]byte(`{"revision": 1, "revision": 2, "chunks": null, "x": 1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := table.ParseManifest(data)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		again, err := table.ParseManifest(m.Encode())
		require.NoError(t, err)
		require.Equal(t, m.Stamp(), again.Stamp())
	})
}

// FuzzChunk checks that building is deterministic, so that all instances accept or
// reject a table alike, and that every finding has a position.
func FuzzChunk(f *testing.F) {
	f.Add([]byte(poolsChunk))
	f.Add([]byte(adapters("a", "a")))
	f.Add([]byte(`{"chunks": [{"key": "c/1", "digest": "0123456789abcdef"}], "pools": [{"name": "models"}]}`))
	f.Add([]byte(`{"endpoints": [{"pool": "models", "name": "w-0", "address": "127.0.0.1:1", "dataCentre": "b"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := snapshot(1, poolsChunk, string(data))
		one, err := table.Build(s)
		two, again := table.Build(s)
		if err == nil {
			require.NoError(t, again)
			require.Equal(t, one.Stamp(), two.Stamp())
			return
		}
		require.EqualError(t, again, err.Error())
		var findings table.Findings
		require.ErrorAs(t, err, &findings)
		for _, finding := range findings {
			require.Positive(t, finding.Line, finding.String())
		}
	})
}
