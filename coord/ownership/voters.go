package ownership

import (
	"math"
	"slices"
	"time"
)

// forever is the end of a vote that is never given to another.
const forever = time.Duration(math.MaxInt64)

// voterSet is the voters of a right by one list.
type voterSet struct {
	names []string
	// required is until when a holder needs their votes; forever for the
	// newest set.
	required time.Duration
}

func (v voterSet) has(name string) bool { return slices.Contains(v.names, name) }

// alone tells whether the holder self needs no other voter's word.
func (v voterSet) alone(self string) bool {
	n := len(v.names)
	return n > 0 && n < 3 && v.names[n-1] == self
}

// until returns when the votes for self run out, or 0 where they do not suffice.
// Any two sufficient groups of one set share a voter:
//
//	three voters: any two of them;
//	two voters: the successor, alone or with the owner;
//	one voter: itself.
func (v voterSet) until(granted map[string]time.Duration) time.Duration {
	switch len(v.names) {
	case 0:
		return 0
	case 1:
		return granted[v.names[0]]
	case 2:
		return granted[v.names[1]]
	}
	ends := []time.Duration{granted[v.names[0]], granted[v.names[1]], granted[v.names[2]]}
	slices.Sort(ends)
	return ends[1]
}

// voters are the sets of a right that count now, oldest first.
type voters struct {
	sets []voterSet
}

// current returns the voters by the newest list.
func (v *voters) current() voterSet {
	if len(v.sets) == 0 {
		return voterSet{}
	}
	return v.sets[len(v.sets)-1]
}

// change makes names the current voters; the former ones stay required for
// settle, and for alone more where one of them could go on alone.
func (v *voters) change(now time.Duration, names []string, settle, alone time.Duration) bool {
	if len(v.sets) > 0 {
		former := &v.sets[len(v.sets)-1]
		if slices.Equal(former.names, names) {
			return false
		}
		former.required = now + settle
		if len(former.names) < 3 {
			former.required += alone
		}
	}
	v.sets = slices.DeleteFunc(v.sets, func(s voterSet) bool { return slices.Equal(s.names, names) })
	v.sets = append(v.sets, voterSet{names: slices.Clone(names), required: forever})
	return true
}

// expire drops the sets that are required no longer.
func (v *voters) expire(now time.Duration) {
	v.sets = slices.DeleteFunc(v.sets, func(s voterSet) bool { return s.required <= now })
}

// others lists the voters of all sets besides self, sorted.
func (v *voters) others(self string) []string {
	var names []string
	for _, s := range v.sets {
		names = append(names, s.names...)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name string) bool { return name == self })
}

// until returns when the votes run out over all sets. A holder that is alone in
// a set is bound by alone as well.
func (v *voters) until(self string, granted map[string]time.Duration, alone time.Duration) time.Duration {
	if len(v.sets) == 0 {
		return 0
	}
	end := forever
	for _, s := range v.sets {
		end = min(end, s.until(granted))
		if s.alone(self) {
			end = min(end, alone)
		}
	}
	return end
}
