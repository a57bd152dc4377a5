package quorum

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rosterView is what follows from a roster: its members in scope that have not
// left, and the voters among them.
type rosterView struct {
	size int
	// voters is sorted.
	voters []string
	// votersDigest and rosterDigest identify the voters and all members.
	votersDigest, rosterDigest uint64
}

// changed drops what was worked out from the roster.
func (r *roster) changed() { r.view = nil }

// voters lists the addresses of the voters, sorted. The result must not be
// changed.
func (r *roster) voters() []string { return r.current().voters }

// isVoter tells whether an address is among the voters.
func (r *roster) isVoter(address string) bool {
	_, found := slices.BinarySearch(r.voters(), address)
	return found
}

// capped tells whether there are members that are no voters.
func (r *roster) capped() bool { return r.current().size > len(r.voters()) }

// required is the number of votes that grant a right. Where all members vote a
// majority is enough: a member that joins or leaves changes the set's size by
// one. Where another takes the place of one that leaves, two sets have one member
// each that the other lacks, and only two thirds are sure to share a voter.
func (r *roster) required() int {
	voters := len(r.voters())
	if r.capped() {
		return (2*voters + 2) / 3
	}
	return voters/2 + 1
}

func (r *roster) current() *rosterView {
	if r.view == nil {
		r.view = r.work()
	}
	return r.view
}

func (r *roster) work() *rosterView {
	members := slices.DeleteFunc(r.members(), func(m Member) bool { return m.Left || !r.inScope(m) })
	view := &rosterView{size: len(members), rosterDigest: digestOf(members, describe)}
	if r.maxVoters > 0 && len(members) > r.maxVoters {
		members = bySeniority(members)[:r.maxVoters]
	}
	view.votersDigest = digestOf(members, func(m Member) string { return m.Address })
	for _, m := range members {
		view.voters = append(view.voters, m.Address)
	}
	slices.Sort(view.voters)
	return view
}

func describe(m Member) string {
	return fmt.Sprint(m.Address, " ", m.DataCentre, " ", m.Region, " ", m.Weak, " ", m.Since)
}

// digestOf identifies a set of members, whatever their order.
func digestOf(members []Member, describe func(Member) string) uint64 {
	sum := uint64(0)
	for _, m := range members {
		sum += xxhash.Sum64String(describe(m))
	}
	return sum
}

// seniorityUnit is the resolution of Member.Since: members that start together
// have the same, so that data centres and strength decide among them, and one
// that joins later replaces none of them.
const seniorityUnit = 10 // seconds

// Seniority returns Member.Since for a member that joins at a Unix time in seconds.
func Seniority(unixSeconds int64) uint64 { return uint64(max(unixSeconds, 0) / seniorityUnit) }

// bySeniority orders members: those of the same age by turns from each data
// centre, in each the strong before the weak.
func bySeniority(members []Member) []Member {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b Member) int {
		return cmp.Or(cmp.Compare(age(a), age(b)), compareFalseFirst(a.Weak, b.Weak), cmp.Compare(rank(a), rank(b)))
	})
	turns := make(map[string]int, len(ordered))
	taken := make(map[string]int)
	for _, m := range ordered {
		turns[m.Address] = taken[m.DataCentre]
		taken[m.DataCentre]++
	}
	slices.SortStableFunc(ordered, func(a, b Member) int {
		return cmp.Or(cmp.Compare(age(a), age(b)), cmp.Compare(turns[a.Address], turns[b.Address]), cmp.Compare(rank(a), rank(b)))
	})
	return ordered
}

// age orders by Since, with members of whom it is not known last.
func age(m Member) uint64 {
	if m.Since == 0 {
		return math.MaxUint64
	}
	return m.Since
}

func rank(m Member) uint64 { return xxhash.Sum64String(m.Address) }

func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
