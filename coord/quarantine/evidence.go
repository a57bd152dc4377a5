package quarantine

import (
	"slices"
	"time"
)

// evidence is what speaks against one part.
type evidence struct {
	crashes []*crash
	depth   int
}

func (e *evidence) isSubsetOf(explained map[*crash]bool) bool {
	return !slices.ContainsFunc(e.crashes, func(c *crash) bool { return !explained[c] })
}

func (d *Detector) evidenceByPart() map[Part]*evidence {
	byPart := make(map[Part]*evidence)
	for _, c := range d.crashes {
		for p, depth := range c.Depths {
			if c.Cleared[p] {
				continue
			}
			if byPart[p] == nil {
				byPart[p] = &evidence{}
			}
			byPart[p].crashes = append(byPart[p].crashes, c)
			byPart[p].depth = max(byPart[p].depth, depth)
		}
	}
	return byPart
}

// cover returns the parts that explain crashes, and the crashes that they explain.
// The part in most of the remaining crashes comes next, while these are at least
// Config.MinCrashes. Among equals it is the deepest in the prompt, since the parts
// before it are shared with more requests.
func (d *Detector) cover(byPart map[Part]*evidence) (needed []Part, explained map[*crash]bool) {
	explained = make(map[*crash]bool)
	for {
		mostCrashes, best := d.config.MinCrashes-1, Part(0)
		found := false
		for p, e := range byPart {
			crashes := d.countSeparate(e.crashes, explained)
			if crashes > mostCrashes || found && crashes == mostCrashes && e.precedes(byPart[best], p, best) {
				best, found, mostCrashes = p, true, crashes
			}
		}
		if !found {
			return needed, explained
		}
		needed = append(needed, best)
		for _, c := range byPart[best].crashes {
			explained[c] = true
		}
	}
}

// precedes orders parts with equally many crashes.
func (e *evidence) precedes(other *evidence, p, otherPart Part) bool {
	if e.depth != other.depth {
		return e.depth > other.depth
	}
	return p < otherPart
}

// countSeparate returns the number of crashes that are not explained, where those
// within Config.CrashGap count once.
func (d *Detector) countSeparate(crashes []*crash, explained map[*crash]bool) int {
	times := make([]time.Duration, 0, len(crashes))
	for _, c := range crashes {
		if !explained[c] {
			times = append(times, c.At)
		}
	}
	slices.Sort(times)
	count, counted := 0, time.Duration(0)
	for _, at := range times {
		if count == 0 || at-counted >= d.config.CrashGap {
			count, counted = count+1, at
		}
	}
	return count
}
