package table

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/bulrushwick/bulrushwick/coord/strictjson"
)

// MaxChunkBytes is the largest value that the platform stores, in bytes.
const MaxChunkBytes = 1 << 20

// ChunkRef refers to a chunk by its key and the digest of its bytes.
type ChunkRef struct {
	// Key is the chunk's key at the platform. Default: the manifest's KeyPrefix
	// followed by the digest.
	Key string `json:"key,omitempty"`
	// Digest is the XXH64 hash of the chunk's bytes as 16 lower-case hexadecimal
	// digits.
	Digest string `json:"digest"`
}

// Manifest lists the chunks of one published revision.
type Manifest struct {
	// Revision counts from 1; a table with a higher revision replaces the table
	// in force.
	Revision uint64 `json:"revision"`
	// KeyPrefix is the prefix of the keys of chunks that are listed by digest
	// alone.
	KeyPrefix string     `json:"keyPrefix,omitempty"`
	Chunks    []ChunkRef `json:"chunks"`
}

// Snapshot is a manifest with the bytes of its chunks, by key.
type Snapshot struct {
	Manifest Manifest
	Chunks   map[string][]byte
}

// Digest returns the digest of a chunk's bytes in the form used in manifests.
func Digest(data []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(data)) }

// ParseManifest decodes a manifest strictly and validates it. Its error is
// Findings; the returned manifest then holds what could be decoded.
func ParseManifest(data []byte) (Manifest, error) {
	var m Manifest
	findings, usable := strictjson.Decode(data, &m)
	if usable {
		c := &strictjson.Collector{}
		if m.Revision == 0 {
			c.Addf("revision", "must be at least 1")
		}
		checkRefs(c, m.Chunks)
		findings = append(findings, c.Locate(data)...)
	}
	findings.Sort()
	return m, withChunk(ManifestName, findings).Err()
}

// Encode returns the manifest as JSON. Equal manifests encode to equal bytes.
func (m Manifest) Encode() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // a manifest of strings and integers always marshals
	}
	return data
}

// Stamp returns the stamp of the table that the manifest describes.
func (m Manifest) Stamp() Stamp {
	return Stamp{Revision: m.Revision, Digest: Digest(m.Encode())}
}

// checkRefs checks that no key is listed twice and that all digests are well
// formed.
func checkRefs(c *strictjson.Collector, refs []ChunkRef) {
	seen := make(map[string]bool, len(refs))
	for i, ref := range refs {
		if ref.Key != "" && seen[ref.Key] {
			c.Addf(pathOf("chunks", i)+".key", "chunk %q is listed twice", ref.Key)
		}
		seen[ref.Key] = true
		if !isDigest(ref.Digest) {
			c.Addf(pathOf("chunks", i)+".digest", "%q is not 16 hexadecimal digits", ref.Digest)
		}
	}
}

// isDigest reports whether s has the form that Digest returns.
func isDigest(s string) bool {
	if len(s) != len(Digest(nil)) {
		return false
	}
	for _, r := range s {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') {
			return false
		}
	}
	return true
}

// withChunk attributes findings to a chunk.
func withChunk(chunk string, findings strictjson.Findings) Findings {
	attributed := make(Findings, len(findings))
	for i, f := range findings {
		attributed[i] = Finding{Chunk: chunk, Finding: f}
	}
	return attributed
}
