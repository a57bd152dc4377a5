// Package revision orders the contents of the metadata store. The store counts its changes
// by revisions. If it returns from an older copy, its revisions go back and are given out
// again in a new era, so that a revision alone names no change.
package revision

import (
	"cmp"
	"fmt"
)

// Bits of an encoded Version.
const (
	revisionBits = 40
	// MaxRevision is the highest revision and MaxEra the highest era.
	MaxRevision = 1<<revisionBits - 1
	MaxEra      = 1<<(64-revisionBits) - 1
)

// Version is the place of a change in the history of the store. Every change of an era is
// after every change of the eras before. The zero value is before all changes.
type Version struct{ encoded uint64 }

// New returns the version of a revision in an era; 0 is the era of a store that has none.
func New(era, revision uint64) (Version, error) {
	if era > MaxEra {
		return Version{}, fmt.Errorf("era %d of the store is above %d", era, MaxEra)
	}
	if revision > MaxRevision {
		return Version{}, fmt.Errorf("revision %d of the store is above %d", revision, uint64(MaxRevision))
	}
	return Version{era<<revisionBits | revision}, nil
}

// Era returns the era.
func (v Version) Era() uint64 { return v.encoded >> revisionBits }

// Revision returns the revision within the era.
func (v Version) Revision() uint64 { return v.encoded & MaxRevision }

// Compare returns -1 if v is before other, 1 if it is after, and 0 if they are the same.
func (v Version) Compare(other Version) int { return cmp.Compare(v.encoded, other.encoded) }

// After reports whether v is after other.
func (v Version) After(other Version) bool { return v.Compare(other) > 0 }

// Latest returns the later of two versions.
func Latest(a, b Version) Version {
	if a.After(b) {
		return a
	}
	return b
}

// String returns the version for logs.
func (v Version) String() string { return fmt.Sprintf("%d/%d", v.Era(), v.Revision()) }

// Encode returns the version as a number, for messages between instances. The numbers have
// the order of the versions, and those of era 0 are the revisions, so that instances of a
// release that knows revisions only order them in the same way.
func (v Version) Encode() uint64 { return v.encoded }

// Decode returns the version that a number encodes.
func Decode(encoded uint64) Version { return Version{encoded} }
