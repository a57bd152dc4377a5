package table_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// wholeTable returns a table with that many adapters and endpoints.
func wholeTable(adapters, endpoints int) table.Chunk {
	c := table.Chunk{
		Routes: []table.Route{{Name: "completions", Pool: "models"}},
		Pools:  []table.Pool{{Name: "models", Kind: table.Engine, Slots: 8, Batch: 16}},
	}
	for d := range 12 {
		c.Regions = append(c.Regions, table.Region{Name: fmt.Sprintf("region-%d", d), DataCentres: []string{fmt.Sprintf("dc-%02d", d)}})
	}
	for i := range adapters {
		c.Adapters = append(c.Adapters, table.Adapter{Name: fmt.Sprintf("adapter-%05d", i), Pool: "models", Versions: []string{"v1", "v2"}})
	}
	for i := range endpoints {
		c.Pools[0].Endpoints = append(c.Pools[0].Endpoints, table.Endpoint{
			Name:       fmt.Sprintf("worker-%04d", i),
			Address:    fmt.Sprintf("10.%d.%d.1:8000", i/250, i%250),
			DataCentre: fmt.Sprintf("dc-%02d", i%12),
		})
	}
	return c
}

// buildOnto builds a snapshot on top of base and returns the table and the
// number of bytes read: the manifest and the chunks that base lacks.
func buildOnto(t require.TestingT, base *table.Table, s table.Snapshot) (*table.Table, int) {
	a := table.NewAssembly(s.Manifest, base, nil)
	read := len(s.Manifest.Encode())
	for len(a.Missing()) > 0 {
		ref := a.Missing()[len(a.Missing())-1]
		read += len(s.Chunks[ref.Key])
		require.True(t, a.Add(s.Chunks[ref.Key]))
	}
	built, err := a.Build()
	require.NoError(t, err)
	return built, read
}

func TestSplitChangesOneSmallChunk(t *testing.T) {
	whole := wholeTable(3000, 600)
	split := func(revision uint64) table.Snapshot {
		s, err := table.Split(revision, whole, table.DefaultSplitConfig("t/"))
		require.NoError(t, err)
		return s
	}
	first, all := buildOnto(t, nil, split(1))
	whole.Adapters[1234].Versions = []string{"v3"}
	second, changed := buildOnto(t, first, split(2))
	require.Less(t, changed*20, all)
	require.True(t, second.HasVersion("models", table.AdapterVersion{Adapter: "adapter-01234", Version: "v3"}))
	require.False(t, second.HasVersion("models", table.AdapterVersion{Adapter: "adapter-01234", Version: "v1"}))
	require.Len(t, second.Pools["models"].Endpoints, 600)
	whole.Pools[0].Endpoints[17].Address = "10.0.0.1:1"
	third, _ := buildOnto(t, second, split(3))
	e, _, found := third.Endpoint("worker-0017")
	require.True(t, found)
	require.Equal(t, "10.0.0.1:1", e.Address)
}

// sizes are the table sizes of the capacity page: adapters and endpoints.
var sizes = [][2]int{{3_000, 12}, {10_000, 1_750}, {20_000, 3_500}, {43_000, 7_500}}

const changesPerSecond = 34_000.0 / (24 * 60 * 60)

// BenchmarkChange measures the cost of a change of one adapter to an instance at
// 34,000 changes a day: CPU time, bytes read and heap in use.
func BenchmarkChange(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("adapters=%d/endpoints=%d", size[0], size[1]), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			whole := wholeTable(size[0], size[1])
			const revisions = 2 // they differ in one adapter
			var snapshots [revisions]table.Snapshot
			for i := range snapshots {
				whole.Adapters[7].Versions = []string{fmt.Sprintf("v%d", i+3)}
				s, err := table.Split(uint64(i+1), whole, table.DefaultSplitConfig("t/"))
				require.NoError(b, err)
				snapshots[i] = s
			}
			current, _ := buildOnto(b, nil, snapshots[0])
			read, start := 0, time.Now()
			for i := 0; b.Loop(); i++ {
				bytes := 0
				current, bytes = buildOnto(b, current, snapshots[(i+1)%revisions])
				read += bytes
			}
			perChange := time.Since(start) / time.Duration(b.N)
			clear(snapshots[:])
			whole = table.Chunk{}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(current)
			b.ReportMetric(float64(read)/float64(b.N), "read-B/change")
			b.ReportMetric(float64(read)/float64(b.N)*changesPerSecond/1024, "KiB/s")
			b.ReportMetric(perChange.Seconds()*changesPerSecond*100, "%core")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB-held")
		})
	}
}

// BenchmarkStart measures the cost of the first table to a starting instance.
func BenchmarkStart(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("adapters=%d/endpoints=%d", size[0], size[1]), func(b *testing.B) {
			s, err := table.Split(1, wholeTable(size[0], size[1]), table.DefaultSplitConfig("t/"))
			require.NoError(b, err)
			read := 0
			for b.Loop() {
				_, read = buildOnto(b, nil, s)
			}
			b.ReportMetric(float64(read), "read-B")
		})
	}
}
