package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/klauspost/compress/gzip"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// poolName is the name of the engine pool in the measured tables.
const poolName = "models"

// tableSpec is the size of a table.
type tableSpec struct {
	adapters    int
	workers     int
	dataCentres int
}

func adapterName(i int) string { return fmt.Sprintf("tolk-%05d", i) }

func instanceName(i int) string { return fmt.Sprintf("entry-%04d", i) }

func dataCentreName(i int) string { return fmt.Sprintf("dc-%02d", i) }

// A change of one adapter transfers its chunk, the index chunk that refers to it
// and the manifest. With these values the three have similar sizes at 43,000
// adapters.
const (
	adaptersPerChunk = 40
	chunksPerIndex   = 33
)

// initialSnapshot returns the first revision of a published configuration.
func initialSnapshot(spec tableSpec) (table.Snapshot, error) { return snapshotRevision(spec, 1) }

// snapshotRevision returns a revision of a published configuration. Revisions
// differ only in the version of one adapter.
func snapshotRevision(spec tableSpec, revision uint64) (table.Snapshot, error) {
	s := table.Snapshot{Manifest: table.Manifest{Revision: revision}, Chunks: make(map[string][]byte)}
	topology, err := addChunk(&s, topologyChunk(spec))
	if err != nil {
		return table.Snapshot{}, err
	}
	s.Manifest.Chunks = append(s.Manifest.Chunks, topology)
	var index table.Chunk
	flush := func() error {
		ref, err := addChunk(&s, index)
		s.Manifest.Chunks = append(s.Manifest.Chunks, ref)
		index = table.Chunk{}
		return err
	}
	for first := 0; first < spec.adapters; first += adaptersPerChunk {
		var chunk table.Chunk
		for i := first; i < min(first+adaptersPerChunk, spec.adapters); i++ {
			chunk.Adapters = append(chunk.Adapters, table.Adapter{Name: adapterName(i), Pool: poolName, Versions: []string{"v1", "v2"}})
		}
		if first == 0 {
			chunk.Adapters[0].Versions = []string{"v1", fmt.Sprintf("v%d", revision+1)}
		}
		ref, err := addChunk(&s, chunk)
		if err != nil {
			return table.Snapshot{}, err
		}
		if index.Chunks = append(index.Chunks, ref); len(index.Chunks) == chunksPerIndex {
			if err := flush(); err != nil {
				return table.Snapshot{}, err
			}
		}
	}
	if len(index.Chunks) == 0 {
		return s, nil
	}
	return s, flush()
}

// topologyChunk returns the chunk of everything but the adapters.
func topologyChunk(spec tableSpec) table.Chunk {
	region := table.Region{Name: "region"}
	for i := range spec.dataCentres {
		region.DataCentres = append(region.DataCentres, dataCentreName(i))
	}
	pool := table.Pool{Name: poolName, Kind: table.Engine, Slots: slotsPerWorker, Batch: batchPerWorker}
	for i := range spec.workers {
		pool.Endpoints = append(pool.Endpoints, table.Endpoint{
			Name:       fmt.Sprintf("worker-%05d", i),
			Address:    fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&0xff, i&0xff),
			DataCentre: dataCentreName(i % spec.dataCentres),
		})
	}
	return table.Chunk{
		Regions: []table.Region{region},
		Pools:   []table.Pool{pool},
		Routes:  []table.Route{{Name: "completions", Pool: poolName, Idempotent: true}},
	}
}

// addChunk adds a chunk under a key made from the digest of its content.
func addChunk(s *table.Snapshot, chunk table.Chunk) (table.ChunkRef, error) {
	data, err := json.Marshal(chunk)
	digest := table.Digest(data)
	ref := table.ChunkRef{Key: "bulrushwick/chunks/" + digest, Digest: digest}
	s.Chunks[ref.Key] = data
	return ref, err
}

// change is the data that an instance with one revision needs for the next.
type change struct {
	manifest table.Manifest
	chunks   [][]byte
	bytes    int // compressed size
}

// changeTo returns the manifest and chunks that an instance with base needs for the
// snapshot.
func changeTo(base *table.Table, s table.Snapshot) change {
	c := change{manifest: s.Manifest, bytes: compressedSize(s.Manifest.Encode())}
	a := table.NewAssembly(s.Manifest, base, nil)
	for missing := a.Missing(); len(missing) > 0; missing = a.Missing() {
		data := s.Chunks[missing[0].Key]
		a.Add(data)
		c.chunks = append(c.chunks, data)
		c.bytes += compressedSize(data)
	}
	return c
}

// compressedSize returns the size of a response body as the control listener sends
// it, in bytes.
func compressedSize(data []byte) int {
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	if _, err := w.Write(data); err != nil {
		panic(err) // writing to a bytes.Buffer never fails
	}
	if err := w.Close(); err != nil {
		panic(err) // as above
	}
	return buffer.Len()
}

// accept builds the next table from base and the change.
func (c change) accept(base *table.Table) (*table.Table, error) {
	a := table.NewAssembly(c.manifest, base, nil)
	for _, data := range c.chunks {
		a.Add(data)
	}
	return a.Build()
}

func buildTable(spec tableSpec) (*table.Table, error) {
	s, err := initialSnapshot(spec)
	if err != nil {
		return nil, err
	}
	return table.Build(s)
}
