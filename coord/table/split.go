package table

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// SplitConfig controls how Split distributes a table over chunks.
type SplitConfig struct {
	// KeyPrefix is the prefix of every chunk's key.
	KeyPrefix string
	// RowsPerChunk is the approximate number of adapters or endpoints per chunk.
	// With fewer, the change of one row is cheaper to distribute, but the index is
	// longer.
	// Default: 32.
	RowsPerChunk int
}

// DefaultSplitConfig returns a configuration that suits tables of any size.
func DefaultSplitConfig(keyPrefix string) SplitConfig {
	return SplitConfig{KeyPrefix: keyPrefix, RowsPerChunk: 32}
}

// Split distributes a table over chunks so that a change of one row affects only
// one small chunk, the index chunk that lists it and the manifest. Rows (adapters
// and endpoints) are assigned to chunks by the hash of their names.
//
// Each key ends in the chunk's digest, so that the value of a key never changes
// and a reader never gets the bytes of another revision. Once a manifest is in
// force, keys that it does not list may be deleted.
//
// Split fails if a chunk exceeds MaxChunkBytes. It does not validate the table.
func Split(revision uint64, whole Chunk, config SplitConfig) (Snapshot, error) {
	s := splitter{config: config, snapshot: Snapshot{Chunks: make(map[string][]byte)}}
	adapterBuckets := s.buckets(len(whole.Adapters))
	for _, adapter := range whole.Adapters {
		b := bucketOf(adapter.Name, adapterBuckets)
		b.Adapters = append(b.Adapters, adapter)
	}
	endpointBuckets := s.buckets(countEndpoints(whole))
	rest := Chunk{Regions: whole.Regions, Routes: whole.Routes}
	for _, pool := range whole.Pools {
		for _, e := range pool.Endpoints {
			b := bucketOf(e.Name, endpointBuckets)
			b.Endpoints = append(b.Endpoints, PooledEndpoint{Pool: pool.Name, Name: e.Name, Address: e.Address, DataCentre: e.DataCentre})
		}
		pool.Endpoints = []Endpoint{}
		rest.Pools = append(rest.Pools, pool)
	}
	for _, e := range whole.Endpoints {
		b := bucketOf(e.Name, endpointBuckets)
		b.Endpoints = append(b.Endpoints, e)
	}
	refs := []ChunkRef{s.add(rest)}
	refs = append(refs, s.addIndexed(adapterBuckets)...)
	refs = append(refs, s.addIndexed(endpointBuckets)...)
	s.snapshot.Manifest = Manifest{Revision: revision, KeyPrefix: s.config.KeyPrefix, Chunks: refs}
	return s.snapshot, s.err
}

type splitter struct {
	config   SplitConfig
	snapshot Snapshot
	err      error
}

func countEndpoints(c Chunk) int {
	count := len(c.Endpoints)
	for _, pool := range c.Pools {
		count += len(pool.Endpoints)
	}
	return count
}

// buckets returns as many empty chunks as that number of rows needs.
func (s *splitter) buckets(rows int) []Chunk {
	return make([]Chunk, (rows+s.config.RowsPerChunk-1)/s.config.RowsPerChunk)
}

func bucketOf(name string, buckets []Chunk) *Chunk {
	return &buckets[xxhash.Sum64String(name)%uint64(len(buckets))]
}

// add encodes a chunk and adds it to the snapshot under its digest.
func (s *splitter) add(c Chunk) ChunkRef {
	data, err := json.Marshal(c)
	switch {
	case err != nil:
		s.err = err
	case len(data) > MaxChunkBytes:
		s.err = fmt.Errorf("chunk has %d bytes, the platform's limit is %d", len(data), MaxChunkBytes)
	}
	digest := Digest(data)
	s.snapshot.Chunks[s.config.KeyPrefix+digest] = data
	return ChunkRef{Digest: digest}
}

// addIndexed adds the non-empty chunks and the index chunks that list them, and
// returns references to the index chunks. There are about as many index chunks as
// each of them lists chunks, which keeps both levels small.
func (s *splitter) addIndexed(buckets []Chunk) []ChunkRef {
	var refs, indexes []ChunkRef
	for _, b := range buckets {
		if len(b.Adapters)+len(b.Endpoints) > 0 {
			refs = append(refs, s.add(b))
		}
	}
	chunksPerIndex := int(math.Ceil(math.Sqrt(float64(len(buckets)))))
	for len(refs) > 0 {
		n := min(chunksPerIndex, len(refs))
		indexes = append(indexes, s.add(Chunk{Chunks: refs[:n]}))
		refs = refs[n:]
	}
	return indexes
}
