package table

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards of an adapterIndex. A change of one adapter
// copies only its shard.
const shardCount = 512

type poolAdapter struct{ pool, adapter string }

// adapterIndex maps adapters to their versions. It is copy-on-write: the indexes
// of successive tables share unchanged shards, and a shard is never modified once
// its table is built.
type adapterIndex struct {
	shards [shardCount]map[poolAdapter]adapterEntry
	// cloned marks the shards that belong to this index alone.
	cloned [shardCount]bool
}

// adapterEntry holds an adapter's versions and the chunk that defines it.
type adapterEntry struct {
	chunk    *parsedChunk
	versions []string
}

func shardOf(adapter string) uint64 { return xxhash.Sum64String(adapter) % shardCount }

// fork returns a copy that shares all shards with x.
func (x *adapterIndex) fork() *adapterIndex { return &adapterIndex{shards: x.shards} }

// writable returns the adapter's shard, cloned first if it is shared with another
// index.
func (x *adapterIndex) writable(adapter string) map[poolAdapter]adapterEntry {
	i := shardOf(adapter)
	if !x.cloned[i] {
		x.cloned[i] = true
		if x.shards[i] = maps.Clone(x.shards[i]); x.shards[i] == nil {
			x.shards[i] = make(map[poolAdapter]adapterEntry)
		}
	}
	return x.shards[i]
}

// remove deletes the adapters of a chunk.
func (x *adapterIndex) remove(p *parsedChunk) {
	for _, a := range p.chunk.Adapters {
		delete(x.writable(a.Name), poolAdapter{a.Pool, a.Name})
	}
}

// add inserts an adapter of a chunk. If another chunk defines the adapter already,
// add changes nothing and returns that chunk.
func (x *adapterIndex) add(p *parsedChunk, a *Adapter) (other *parsedChunk) {
	shard := x.writable(a.Name)
	id := poolAdapter{a.Pool, a.Name}
	if entry, found := shard[id]; found && entry.chunk != p {
		return entry.chunk
	}
	shard[id] = adapterEntry{chunk: p, versions: a.Versions}
	return nil
}

// has reports whether the index lists that version of the pool's adapter.
func (x *adapterIndex) has(pool string, a AdapterVersion) bool {
	return slices.Contains(x.shards[shardOf(a.Adapter)][poolAdapter{pool, a.Adapter}].versions, a.Version)
}
