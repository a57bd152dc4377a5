package quorum

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Voter is one incarnation of a member. A member that restarts has forgotten what it
// agreed to, so its new incarnation is another voter.
type Voter struct {
	Address     string
	Incarnation uint64
}

// VoterSet is the agreed set of voters. Sets are ordered by Term, then by Version;
// an instance never returns to an earlier one.
type VoterSet struct {
	// Term is the fencing token of the coordinator that proposed the set, or of the
	// instance that founded the cluster.
	Term uint64
	// Version counts the changes since the cluster was founded; it starts at 1.
	Version uint64
	// Rushed is set if votes that were counted before the previous set was agreed may
	// still be in force. Voters then assume such a vote.
	Rushed bool
	// Voters is sorted by address.
	Voters []Voter
}

// isKnown reports whether this is a set at all.
func (s VoterSet) isKnown() bool { return s.Version > 0 }

// isNewerThan reports whether s replaces other.
func (s VoterSet) isNewerThan(other VoterSet) bool {
	return s.Term > other.Term || s.Term == other.Term && s.Version > other.Version
}

// find returns the voter with an address.
func (s VoterSet) find(address string) (Voter, bool) {
	i, found := slices.BinarySearchFunc(s.Voters, address, func(v Voter, a string) int { return cmp.Compare(v.Address, a) })
	if !found {
		return Voter{}, false
	}
	return s.Voters[i], true
}

// contains reports whether the current incarnation of a member is a voter.
func (s VoterSet) contains(m Member) bool {
	v, found := s.find(m.Address)
	return found && v.Incarnation == m.Incarnation
}

// quorum returns the number of votes that grants a right: a majority. Two sets that
// differ by one voter have a voter in common in any two majorities.
func (s VoterSet) quorum() int { return len(s.Voters)/2 + 1 }

// with returns the next set, in which a member is a voter.
func (s VoterSet) with(m Member) VoterSet {
	next := s.next()
	next.Voters = append(next.Voters, Voter{Address: m.Address, Incarnation: m.Incarnation})
	slices.SortFunc(next.Voters, func(a, b Voter) int { return cmp.Compare(a.Address, b.Address) })
	return next
}

// without returns the next set, in which a voter is none any more.
func (s VoterSet) without(address string) VoterSet {
	next := s.next()
	next.Voters = slices.DeleteFunc(next.Voters, func(v Voter) bool { return v.Address == address })
	return next
}

// next returns the next set with the same voters.
func (s VoterSet) next() VoterSet {
	return VoterSet{Term: s.Term, Version: s.Version + 1, Voters: slices.Clone(s.Voters)}
}

// addresses returns the sorted addresses of the voters.
func (s VoterSet) addresses() []string {
	addresses := make([]string, len(s.Voters))
	for i, v := range s.Voters {
		addresses[i] = v.Address
	}
	return addresses
}

// digest identifies the set; 0 if it is not known.
func (s VoterSet) digest() uint64 {
	if !s.isKnown() {
		return 0
	}
	hash := xxhash.New()
	// Writes to a hash never fail.
	_, _ = fmt.Fprint(hash, s.Term, " ", s.Version, " ", s.Rushed)
	for _, v := range s.Voters {
		_, _ = fmt.Fprint(hash, " ", v.Address, " ", v.Incarnation)
	}
	return hash.Sum64()
}
