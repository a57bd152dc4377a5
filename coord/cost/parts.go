package cost

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	Hash   uint64
	Tokens int
}

// PartHash returns the hash by which parts and adapters are remembered.
func PartHash(id string) uint64 { return xxhash.Sum64String(id) }

// keptSize is the number of parts that are remembered of one worker. A prompt has few
// shared parts, and instances do not need the rare ones.
const keptSize = 16

// partRetention is how long after its last use a worker is expected to keep a part in
// its KV memory, which turns over within seconds under load.
const partRetention = 5 * time.Second

// kept remembers the latest of a worker's parts. The zero value is ready for use.
type kept struct {
	hashes [keptSize]uint64
	usedAt [keptSize]time.Duration
	count  int
}

// add records the use of a part; it replaces the one that was not used longest.
func (k *kept) add(now time.Duration, hash uint64) {
	oldest := 0
	for i := range k.count {
		if k.hashes[i] == hash {
			k.usedAt[i] = now
			return
		}
		if k.usedAt[i] < k.usedAt[oldest] {
			oldest = i
		}
	}
	if k.count < keptSize {
		oldest = k.count
		k.count++
	}
	k.hashes[oldest], k.usedAt[oldest] = hash, now
}

// has reports whether a part was used within the retention time.
func (k *kept) has(now time.Duration, hash uint64, retention time.Duration) bool {
	for i := range k.count {
		if k.hashes[i] == hash {
			return now-k.usedAt[i] <= retention
		}
	}
	return false
}

// prefixTokens returns the tokens of the first parts that are kept without a gap.
func (k *kept) prefixTokens(now time.Duration, parts []Part) int {
	tokens := 0
	for _, p := range parts {
		if !k.has(now, p.Hash, partRetention) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}
