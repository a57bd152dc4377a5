package placement

import (
	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Weights of the scorers, in the unit of Load: batches of requests.
const (
	// sameDataCentreWeight is small, so that it decides among equally loaded workers.
	sameDataCentreWeight = 0.25
	// holdingWeight outweighs a difference in load of several batches.
	holdingWeight = 8.0
)

// SameDataCentre prefers workers in the data centre at which the request arrived.
type SameDataCentre struct{}

// Score implements Scorer.
func (SameDataCentre) Score(q Query, c Candidate) float64 {
	if c.Endpoint.DataCentre == q.DataCentre {
		return sameDataCentreWeight
	}
	return 0
}

// Holding prefers workers that have the adapter.
type Holding struct{}

// Score implements Scorer.
func (Holding) Score(_ Query, c Candidate) float64 {
	if c.Resident {
		return holdingWeight
	}
	return 0
}

// Load prefers workers with fewer requests. Its score is the negative number of
// batches.
type Load struct{}

// Score implements Scorer.
func (Load) Score(q Query, c Candidate) float64 {
	return -float64(c.Load) / float64(max(q.Batch, 1))
}

// Home prefers the adapter's preferred worker, which rendezvous hashing determines,
// so that all instances load an absent adapter on the same worker. Its score is
// from 0 to 1. A query without an adapter has no preferred worker and gets the
// score of Load.
type Home struct{}

// Score implements Scorer.
func (Home) Score(q Query, c Candidate) float64 {
	if q.Adapter == (table.AdapterVersion{}) {
		return Load{}.Score(q, c)
	}
	const scale = float64(1 << 63)
	return float64(ownership.Score(q.Adapter.String(), c.Endpoint.Name)>>1) / scale
}

// Cost prefers workers on which a load costs little, so that the slots of a region
// act as one cache. Its score is the negative LoadCost times Config.CostWeight.
type Cost struct{ Config Config }

// Score implements Scorer.
func (s Cost) Score(_ Query, c Candidate) float64 { return -s.Config.CostWeight * c.LoadCost }
