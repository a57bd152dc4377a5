package admission

import "github.com/bulrushwick/bulrushwick/coord/table"

// Floors shares turns among ranks: the most urgent rank with work is served,
// but while another rank has work it earns its share of each turn, and is served
// when it has earned a whole one.
type Floors struct {
	shares [table.RankCount]float64
	earned [table.RankCount]float64
}

// NewFloors returns floors with the given shares of the turns, from 0 to 1.
func NewFloors(shares [table.RankCount]float64) Floors { return Floors{shares: shares} }

// Work tells for each rank whether it has work.
type Work [table.RankCount]bool

// Next returns the rank whose turn it is, and whether by its floor.
func (f *Floors) Next(work Work) (rank table.Rank, owed, found bool) {
	for i := len(work) - 1; i >= 0; i-- {
		if !work[i] {
			continue
		}
		rank, found = table.Rank(i), true
	}
	for i, has := range work {
		if has && f.earned[i] >= 1 {
			return table.Rank(i), true, true
		}
	}
	return rank, false, found
}

// RecordTurn records that a rank had a turn; work is from before it.
func (f *Floors) RecordTurn(rank table.Rank, owed bool, work Work) {
	for i, has := range work {
		f.earned[i] = min(f.earned[i]+f.shares[i], 2)
		if !has {
			f.earned[i] = 0
		}
	}
	if owed {
		f.earned[rank]--
	}
}
