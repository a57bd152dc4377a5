package capacity

import (
	"fmt"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// poolName is the engine pool of the measured tables.
const poolName = "models"

// tableSpec sizes a table.
type tableSpec struct {
	adapters    int
	workers     int
	dataCentres int
}

func adapterName(i int) string { return fmt.Sprintf("tolk-%05d", i) }

func instanceName(i int) string { return fmt.Sprintf("entry-%04d", i) }

func dataCentreName(i int) string { return fmt.Sprintf("dc-%02d", i) }

// adaptersPerChunk keeps a chunk well below the platform's megabyte.
const adaptersPerChunk = 4000

// snapshotOf returns a published configuration of that size.
func snapshotOf(spec tableSpec) (table.Snapshot, error) {
	region := table.Region{Name: "region"}
	for i := range spec.dataCentres {
		region.DataCentres = append(region.DataCentres, dataCentreName(i))
	}
	pool := table.Pool{Name: poolName, Kind: table.Engine, Slots: 8, Batch: 16}
	for i := range spec.workers {
		pool.Endpoints = append(pool.Endpoints, table.Endpoint{
			Name:       fmt.Sprintf("worker-%05d", i),
			Address:    fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&0xff, i&0xff),
			DataCentre: dataCentreName(i % spec.dataCentres),
		})
	}
	chunks := []table.Chunk{{
		Regions: []table.Region{region},
		Pools:   []table.Pool{pool},
		Routes:  []table.Route{{Name: "completions", Pool: poolName, Idempotent: true}},
	}}
	for first := 0; first < spec.adapters; first += adaptersPerChunk {
		var chunk table.Chunk
		for i := first; i < min(first+adaptersPerChunk, spec.adapters); i++ {
			chunk.Adapters = append(chunk.Adapters, table.Adapter{Name: adapterName(i), Pool: poolName, Versions: []string{"v1", "v2"}})
		}
		chunks = append(chunks, chunk)
	}
	return deployment.Snapshot(1, chunks...)
}

func buildTable(spec tableSpec) (*table.Table, error) {
	s, err := snapshotOf(spec)
	if err != nil {
		return nil, err
	}
	return table.Build(s)
}
