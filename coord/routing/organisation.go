package routing

import (
	"crypto/sha256"
	"crypto/subtle"
)

// KeyDigest is the SHA-256 digest of an organisation's key. Keys themselves are not
// kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// QuotaUnit states what an organisation's quota counts.
type QuotaUnit uint8

// Units of quotas.
const (
	// QuotaRequests counts each request as 1.
	QuotaRequests QuotaUnit = iota
	// QuotaTokens counts a request's prompt and output tokens.
	QuotaTokens
)

// Organisation is a group of callers that shares keys, a priority and a quota.
type Organisation struct {
	Name string
	Keys []KeyDigest
	// Rank goes before the rank of a route if HasRank is set; 0 is the most urgent.
	Rank    int
	HasRank bool
	Unit    QuotaUnit
	// PlainTokens is what a request without a stated number of tokens counts, if the
	// unit is QuotaTokens.
	PlainTokens int
	// Rate is the quota per second and Burst the amount that may be used at once beyond
	// it, in units. A Rate of 0 means no limit.
	Rate, Burst float64
}

// QuotaCost returns what a request counts against the organisation's quota. tokens is the
// number that the request states, or 0.
func (o *Organisation) QuotaCost(tokens int) float64 {
	switch {
	case o.Unit != QuotaTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(o.PlainTokens)
}

// RequiresKeys reports whether the configuration has organisations, so that requests
// need the key of one.
func (t *Table) RequiresKeys() bool { return len(t.Config.Organisations) > 0 }

// Authenticate returns the organisation that holds the key with the given digest, or nil.
func (t *Table) Authenticate(digest KeyDigest) *Organisation {
	held, known := t.byKey[digest]
	if !known || subtle.ConstantTimeCompare(held.digest[:], digest[:]) != 1 {
		return nil
	}
	return held.organisation
}

// heldKey is a key in the index of a table.
type heldKey struct {
	digest       KeyDigest
	organisation *Organisation
}

// indexKeys returns the organisations by the digests of their keys.
func indexKeys(organisations []Organisation) map[KeyDigest]heldKey {
	byKey := make(map[KeyDigest]heldKey)
	for i := range organisations {
		for _, digest := range organisations[i].Keys {
			byKey[digest] = heldKey{digest, &organisations[i]}
		}
	}
	return byKey
}

// EffectiveRank returns the rank of a request: that of its organisation, if it has one,
// before that of its route.
func (r *Route) EffectiveRank(o *Organisation) int {
	if o != nil && o.HasRank {
		return o.Rank
	}
	return r.Rank
}
