package ownership

import (
	"math"
	"slices"
	"time"
)

// forever marks a time limit that never passes.
const forever = time.Duration(math.MaxInt64)

// voterSet is the voters of a right under one version of the member list, in
// rendezvous order.
type voterSet struct {
	names []string
	// requiredUntil is until when a holder needs the votes of this set; forever
	// for the newest set.
	requiredUntil time.Duration
}

func (v voterSet) contains(name string) bool { return slices.Contains(v.names, name) }

// canHoldAlone reports whether the vote of self is sufficient in this set.
func (v voterSet) canHoldAlone(self string) bool {
	n := len(v.names)
	return n > 0 && n < 3 && v.names[n-1] == self
}

// voteExpiry returns when the votes for the candidate cease to be sufficient,
// or 0 if they are not sufficient. Any two sufficient groups of one set share a
// voter:
//
//	three voters: any two of them;
//	two voters: the successor, alone or with the owner;
//	one voter: itself.
func (v voterSet) voteExpiry(expiries map[string]time.Duration) time.Duration {
	switch len(v.names) {
	case 0:
		return 0
	case 1:
		return expiries[v.names[0]]
	case 2:
		return expiries[v.names[1]]
	}
	ends := []time.Duration{expiries[v.names[0]], expiries[v.names[1]], expiries[v.names[2]]}
	slices.Sort(ends)
	return ends[1]
}

// voters is the voter sets of a right that a holder needs now, oldest first.
type voters struct {
	sets []voterSet
}

// current returns the voters under the newest list.
func (v *voters) current() voterSet {
	if len(v.sets) == 0 {
		return voterSet{}
	}
	return v.sets[len(v.sets)-1]
}

// replace makes names the current voters and reports whether they changed. The
// former set stays required for formerVotesTTL, and for soloTTL longer if it
// has fewer than three voters, one of which could hold the right without
// another vote.
func (v *voters) replace(now time.Duration, names []string, formerVotesTTL, soloTTL time.Duration) bool {
	if len(v.sets) > 0 {
		former := &v.sets[len(v.sets)-1]
		if slices.Equal(former.names, names) {
			return false
		}
		former.requiredUntil = now + formerVotesTTL
		if len(former.names) < 3 {
			former.requiredUntil += soloTTL
		}
	}
	v.sets = slices.DeleteFunc(v.sets, func(s voterSet) bool { return slices.Equal(s.names, names) })
	v.sets = append(v.sets, voterSet{names: slices.Clone(names), requiredUntil: forever})
	return true
}

// dropExpired drops the sets that are no longer required.
func (v *voters) dropExpired(now time.Duration) {
	v.sets = slices.DeleteFunc(v.sets, func(s voterSet) bool { return s.requiredUntil <= now })
}

// others returns the voters of all sets except self, sorted.
func (v *voters) others(self string) []string {
	var names []string
	for _, s := range v.sets {
		names = append(names, s.names...)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name string) bool { return name == self })
}

// voteExpiry returns when the votes cease to be sufficient in any of the sets.
// Where self can hold the right alone in a set, soloExpiry is a further limit.
func (v *voters) voteExpiry(self string, expiries map[string]time.Duration, soloExpiry time.Duration) time.Duration {
	if len(v.sets) == 0 {
		return 0
	}
	expiry := forever
	for _, s := range v.sets {
		expiry = min(expiry, s.voteExpiry(expiries))
		if s.canHoldAlone(self) {
			expiry = min(expiry, soloExpiry)
		}
	}
	return expiry
}
