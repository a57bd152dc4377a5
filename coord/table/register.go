package table

import (
	"fmt"
	"strconv"
	"strings"
)

// Stamp is a table's version. Stamps are ordered by revision, then by digest, so
// that all instances prefer the same one of two tables that were published with
// the same revision.
type Stamp struct {
	Revision uint64
	// Digest is the digest of the table's manifest.
	Digest string
}

// Above reports whether s is higher than other.
func (s Stamp) Above(other Stamp) bool {
	if s.Revision != other.Revision {
		return s.Revision > other.Revision
	}
	return s.Digest > other.Digest
}

// String returns the form that is used in headers: revision-digest.
func (s Stamp) String() string { return fmt.Sprintf("%d-%s", s.Revision, s.Digest) }

// ParseStamp parses the form that String returns.
func ParseStamp(s string) (Stamp, error) {
	number, digest, _ := strings.Cut(s, "-")
	revision, err := strconv.ParseUint(number, 10, 64)
	if err != nil || !isDigest(digest) {
		return Stamp{}, fmt.Errorf("stamp %q is not of the form revision-digest", s)
	}
	return Stamp{Revision: revision, Digest: digest}, nil
}

// Register is a max register of accepted tables: it keeps the table with the
// highest stamp, so that its stamp never decreases.
//
// The zero value holds no table. It is not safe for concurrent use.
type Register struct {
	current *Table
}

// Current returns the table in force, or nil before the first one is accepted.
func (r *Register) Current() *Table { return r.current }

// Revision returns the revision in force, or 0 before the first table.
func (r *Register) Revision() uint64 { return r.Stamp().Revision }

// Stamp returns the stamp of the table in force, or the zero Stamp before the
// first.
func (r *Register) Stamp() Stamp {
	if r.current == nil {
		return Stamp{}
	}
	return r.current.Stamp()
}

// Offer installs t if its stamp is above that of the table in force, and reports
// whether it did.
func (r *Register) Offer(t *Table) bool {
	if !t.Stamp().Above(r.Stamp()) {
		return false
	}
	r.current = t
	return true
}
