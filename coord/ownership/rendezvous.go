package ownership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the candidates for key by rendezvous hashing: owner first,
// successor second. The result does not depend on the order of candidates.
func Rank(key string, candidates []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(candidates))
	for i, name := range candidates {
		all[i] = scored{name: name, score: Score(key, name)}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].name < all[j].name
	})
	names := make([]string, len(all))
	for i, s := range all {
		names[i] = s.name
	}
	return names
}

// First returns the first candidate that Rank returns, without ranking the others, or
// an empty string if there is none.
func First(key string, candidates []string) string {
	first, highest := "", uint64(0)
	for _, name := range candidates {
		score := Score(key, name)
		if first == "" || score > highest || score == highest && name < first {
			first, highest = name, score
		}
	}
	return first
}

// Score returns the rendezvous weight of a candidate for a key.
func Score(key, candidate string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}
