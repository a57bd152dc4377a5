package table

import (
	"slices"

	"github.com/bulrushwick/bulrushwick/coord/strictjson"
)

// Assembly collects the chunks of one manifest. It identifies chunks by digest, so
// that it reuses those of an earlier table and never accepts bytes of another
// revision.
//
// It is not safe for concurrent use.
type Assembly struct {
	manifest Manifest
	base     *Table
	// chunks holds the chunks of this manifest that are available, by digest.
	chunks map[string]*parsedChunk
	// spareChunks holds the chunks of an abandoned assembly, by digest.
	spareChunks map[string]*parsedChunk
	// refs lists all chunks with their keys, as far as index chunks are available.
	refs []ChunkRef
	// missing lists the chunks of refs that are not available, each digest once.
	missing  []ChunkRef
	findings Findings
}

// NewAssembly returns an assembly for a manifest. It reuses chunks of base, the
// table in force, and of abandoned, an assembly that was given up; both may be nil.
func NewAssembly(m Manifest, base *Table, abandoned *Assembly) *Assembly {
	a := &Assembly{manifest: m, base: base, chunks: make(map[string]*parsedChunk)}
	if abandoned != nil {
		a.spareChunks = abandoned.chunks
	}
	a.resolve()
	return a
}

// Manifest returns the manifest whose chunks are collected.
func (a *Assembly) Manifest() Manifest { return a.manifest }

// DigestOf returns the digest of the chunk that is listed under key. It covers
// chunks in index chunks once those are available.
func (a *Assembly) DigestOf(key string) (string, bool) {
	for _, ref := range a.refs {
		if ref.Key == key {
			return ref.Digest, true
		}
	}
	return "", false
}

// Missing returns the chunks that are still to be read. Chunks that are listed in
// an index chunk appear only after that index chunk has been added.
func (a *Assembly) Missing() []ChunkRef { return a.missing }

// Add adds a chunk and reports whether it was missing. It ignores any other.
func (a *Assembly) Add(data []byte) bool {
	digest := Digest(data)
	for i, ref := range a.missing {
		if ref.Digest == digest {
			p := parseChunk(data)
			a.chunks[digest] = p
			if p.isIndex() {
				a.resolve()
			} else {
				a.missing = slices.Delete(a.missing, i, i+1)
			}
			return true
		}
	}
	return false
}

// resolve computes refs, missing and findings from the manifest and the available
// index chunks.
func (a *Assembly) resolve() {
	a.refs, a.missing, a.findings = nil, nil, nil
	seen := make(map[string]bool)
	for _, ref := range a.manifest.Chunks {
		p := a.resolveRef(ref, seen)
		if p == nil || !p.isIndex() {
			continue
		}
		for i, inner := range p.chunk.Chunks {
			q := a.resolveRef(inner, seen)
			if q != nil && q.isIndex() {
				c := &strictjson.Collector{}
				c.Addf(pathOf("chunks", i), "%q is an index chunk within an index chunk", a.keyOf(inner))
				a.findings = append(a.findings, withChunk(a.keyOf(ref), c.Locate(p.data))...)
			}
		}
	}
}

// resolveRef adds ref to refs, and to missing if its chunk is not available. It
// returns the chunk, or nil if it is missing.
func (a *Assembly) resolveRef(ref ChunkRef, seen map[string]bool) *parsedChunk {
	ref.Key = a.keyOf(ref)
	a.refs = append(a.refs, ref)
	p := a.localChunk(ref.Digest)
	switch {
	case p != nil:
		a.chunks[ref.Digest] = p
	case !seen[ref.Digest]:
		a.missing = append(a.missing, ref)
	}
	seen[ref.Digest] = true
	return p
}

// keyOf returns the key of a chunk at the platform.
func (a *Assembly) keyOf(ref ChunkRef) string {
	if ref.Key == "" {
		return a.manifest.KeyPrefix + ref.Digest
	}
	return ref.Key
}

// localChunk returns a chunk that need not be read, or nil.
func (a *Assembly) localChunk(digest string) *parsedChunk {
	if p, found := a.chunks[digest]; found {
		return p
	}
	if a.base != nil {
		if p, found := a.base.chunks[digest]; found {
			return p
		}
	}
	return a.spareChunks[digest]
}

// baseAdapters returns the adapter index of the base table without the chunks that
// this manifest no longer lists.
func (a *Assembly) baseAdapters() *adapterIndex {
	if a.base == nil {
		return &adapterIndex{}
	}
	x := a.base.adapters.fork()
	for digest, p := range a.base.chunks {
		if a.chunks[digest] == nil {
			x.remove(p)
		}
	}
	return x
}

// estimateEndpoints returns the base table's number of endpoints, as a size hint.
func (a *Assembly) estimateEndpoints() int {
	if a.base == nil {
		return 0
	}
	return len(a.base.endpoints)
}
