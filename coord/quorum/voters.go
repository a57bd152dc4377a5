package quorum

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// memberView is derived from a member list: the members of the cluster that have
// not left, and those of them that should be voters.
type memberView struct {
	size int // number of members that have not left
	// candidates are the members that should be voters, sorted by address.
	candidates []Member
	// membersDigest identifies the set of all members that have not left.
	membersDigest uint64
}

// invalidateView drops the cached view. It must be called after every change to
// the list that the view depends on.
func (l *memberList) invalidateView() { l.view = nil }

// setVoters sets the agreed voters.
func (l *memberList) setVoters(set VoterSet) { l.voterAddresses = set.addresses() }

// voters returns the sorted addresses of the voters. The caller must not modify
// the result.
func (l *memberList) voters() []string { return l.voterAddresses }

// isVoter reports whether the member with this address is a voter.
func (l *memberList) isVoter(address string) bool {
	_, found := slices.BinarySearch(l.voterAddresses, address)
	return found
}

// candidates returns the members that should be voters, sorted by address. The caller
// must not modify the result.
func (l *memberList) candidates() []Member { return l.currentView().candidates }

// currentView returns the cached view, and computes it first if there is none.
func (l *memberList) currentView() *memberView {
	if l.view == nil {
		l.view = l.computeView()
	}
	return l.view
}

// computeView derives the view. If there are more than maxVoters members, the most
// senior of them are the candidates.
func (l *memberList) computeView() *memberView {
	members := slices.DeleteFunc(l.all(), func(m Member) bool { return m.Left || !l.inCluster(m) })
	view := &memberView{size: len(members), membersDigest: digestOf(members, digestKey)}
	if l.maxVoters > 0 && len(members) > l.maxVoters {
		members = bySeniority(members)[:l.maxVoters]
	}
	view.candidates = slices.SortedFunc(slices.Values(members), func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return view
}

// digestKey covers the fields of a member that the choice of voters depends on.
func digestKey(m Member) string {
	return fmt.Sprint(m.Address, " ", m.DataCentre, " ", m.Region, " ", m.Weak, " ", m.Since)
}

// digestOf returns a digest of a set of members that does not depend on their
// order. key returns the part of a member that counts.
func digestOf(members []Member, key func(Member) string) uint64 {
	sum := uint64(0)
	for _, m := range members {
		sum += xxhash.Sum64String(key(m))
	}
	return sum
}

// seniorityUnitSeconds is the resolution of Member.Since. Members that start
// together get the same value, so that the order among them depends on data centre
// and Weak, and a member that joins later does not replace any of them as a voter.
const seniorityUnitSeconds = 10

// Seniority returns the value of Member.Since for a member that joins at a Unix
// time in seconds.
func Seniority(unixSeconds int64) uint64 { return uint64(max(unixSeconds, 0) / seniorityUnitSeconds) }

// bySeniority returns the members ordered by join time. Members with the same join
// time are taken from each data centre in turn, within one the strong before the
// weak.
func bySeniority(members []Member) []Member {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b Member) int {
		return cmp.Or(cmp.Compare(joinTime(a), joinTime(b)), compareFalseFirst(a.Weak, b.Weak), cmp.Compare(addressHash(a), addressHash(b)))
	})
	indexInDataCentre := make(map[string]int, len(ordered))
	counts := make(map[string]int)
	for _, m := range ordered {
		indexInDataCentre[m.Address] = counts[m.DataCentre]
		counts[m.DataCentre]++
	}
	slices.SortStableFunc(ordered, func(a, b Member) int {
		return cmp.Or(cmp.Compare(joinTime(a), joinTime(b)), cmp.Compare(indexInDataCentre[a.Address], indexInDataCentre[b.Address]), cmp.Compare(addressHash(a), addressHash(b)))
	})
	return ordered
}

// joinTime returns Member.Since as a sort key. Members with an unknown join time
// sort last.
func joinTime(m Member) uint64 {
	if m.Since == 0 {
		return math.MaxUint64
	}
	return m.Since
}

// addressHash breaks ties among members of the same seniority. It is the same on
// every instance.
func addressHash(m Member) uint64 { return xxhash.Sum64String(m.Address) }

func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
