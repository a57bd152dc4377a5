package table

import (
	"fmt"
	"strconv"
	"strings"
)

// Stamp is a table's place in the order of all tables: by revision, then by
// digest. The digest decides between two tables that were published with the
// same revision, alike at every instance.
type Stamp struct {
	Revision uint64
	Digest   string
}

// Above tells whether s comes after other.
func (s Stamp) Above(other Stamp) bool {
	if s.Revision != other.Revision {
		return s.Revision > other.Revision
	}
	return s.Digest > other.Digest
}

// String returns the form that headers carry: revision-digest.
func (s Stamp) String() string { return fmt.Sprintf("%d-%s", s.Revision, s.Digest) }

// ParseStamp reads what String returns.
func ParseStamp(s string) (Stamp, error) {
	number, digest, _ := strings.Cut(s, "-")
	revision, err := strconv.ParseUint(number, 10, 64)
	if err != nil || !isDigest(digest) {
		return Stamp{}, fmt.Errorf("stamp %q is not of the form revision-digest", s)
	}
	return Stamp{Revision: revision, Digest: digest}, nil
}

// Register is a max register of accepted tables. Its stamp never falls.
//
// The zero value holds no table. It is not safe for concurrent use.
type Register struct {
	current *Table
}

// Current returns the table in force, or nil before the first is accepted.
func (r *Register) Current() *Table { return r.current }

// Revision returns the revision in force, or 0 before the first.
func (r *Register) Revision() uint64 { return r.Stamp().Revision }

// Stamp returns the stamp of the table in force; it is zero before the first.
func (r *Register) Stamp() Stamp {
	if r.current == nil {
		return Stamp{}
	}
	return r.current.Stamp()
}

// Offer installs t when its stamp is above the one in force and tells whether it
// did.
func (r *Register) Offer(t *Table) bool {
	if !t.Stamp().Above(r.Stamp()) {
		return false
	}
	r.current = t
	return true
}
