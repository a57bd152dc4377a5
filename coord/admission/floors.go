package admission

import "github.com/bulrushwick/bulrushwick/coord/table"

// Floors allots turns to ranks. Normally the most urgent rank with work gets the
// turn. With every turn, each rank with work earns its share as credit, and it
// gets the turn once it has credit for a whole one.
type Floors struct {
	shares [table.RankCount]float64
	credit [table.RankCount]float64
}

// NewFloors returns Floors in which each rank is guaranteed its share of the
// turns, from 0 to 1, while it has work.
func NewFloors(shares [table.RankCount]float64) Floors { return Floors{shares: shares} }

// Work reports for each rank whether it has work.
type Work [table.RankCount]bool

// Next returns the rank that gets the turn; owed reports whether it does so by
// its credit, and found whether any rank has work. It does not change f.
func (f *Floors) Next(work Work) (rank table.Rank, owed, found bool) {
	for i := len(work) - 1; i >= 0; i-- {
		if !work[i] {
			continue
		}
		rank, found = table.Rank(i), true
	}
	for i, hasWork := range work {
		if hasWork && f.credit[i] >= 1 {
			return table.Rank(i), true, true
		}
	}
	return rank, false, found
}

// RecordTurn records that a rank had a turn. owed is the result of Next, and work
// is the state before the turn. A rank without work loses its credit.
func (f *Floors) RecordTurn(rank table.Rank, owed bool, work Work) {
	for i, hasWork := range work {
		f.credit[i] = min(f.credit[i]+f.shares[i], 2)
		if !hasWork {
			f.credit[i] = 0
		}
	}
	if owed {
		f.credit[rank]--
	}
}
