package placement

import (
	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Candidate is a worker with what is known of it.
type Candidate struct {
	// Endpoint is the worker.
	Endpoint table.Endpoint
	// Resident says that the worker is believed to hold the adapter.
	Resident bool
	// InFlight is the number of requests this instance has sent and not seen
	// finished.
	InFlight int
	// Leaving says that the worker takes no new work.
	Leaving bool
}

// Query describes the request to place.
type Query struct {
	// Adapter is the adapter that must serve it; zero for plain services.
	Adapter table.AdapterVersion
	// DataCentre is where the caller arrived.
	DataCentre string
	// Region is the region of DataCentre.
	Region string
	// RegionOf returns the region of a data centre.
	RegionOf func(dataCentre string) string
	// Batch is the number of requests a worker runs at once.
	Batch int
}

// Filter tells whether a candidate may serve the query.
type Filter interface {
	Keep(q Query, c Candidate) bool
}

// Scorer returns how well a candidate suits the query; higher is better.
type Scorer interface {
	Score(q Query, c Candidate) float64
}

// Picker chooses among candidates.
type Picker struct {
	Filters []Filter
	Scorers []Scorer
}

// NewPicker returns the picker with the default filters and scorers.
func NewPicker() *Picker {
	return &Picker{
		Filters: []Filter{NotLeaving{}},
		Scorers: []Scorer{Locality{}, Residency{}, Load{}, Home{}},
	}
}

// Pick returns the index of the best candidate, or false where none may serve.
func (p *Picker) Pick(q Query, candidates []Candidate) (int, bool) {
	best, bestScore := -1, 0.0
	for i, c := range candidates {
		if !p.keep(q, c) {
			continue
		}
		score := 0.0
		for _, s := range p.Scorers {
			score += s.Score(q, c)
		}
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best, best >= 0
}

func (p *Picker) keep(q Query, c Candidate) bool {
	for _, f := range p.Filters {
		if !f.Keep(q, c) {
			return false
		}
	}
	return true
}

// NotLeaving drops workers that take no new work.
type NotLeaving struct{}

// Keep implements Filter.
func (NotLeaving) Keep(_ Query, c Candidate) bool { return !c.Leaving }

// Weights of the default scorers: locality outweighs residency, which outweighs
// load; the home set only breaks ties among workers without the adapter.
const (
	localityWeight  = 8.0
	residencyWeight = 4.0
	loadWeight      = 2.0
	homeWeight      = 1.0
)

// Locality prefers the caller's data centre, then its region.
type Locality struct{}

// Score implements Scorer.
func (Locality) Score(q Query, c Candidate) float64 {
	switch {
	case c.Endpoint.DataCentre == q.DataCentre:
		return localityWeight
	case q.RegionOf != nil && q.RegionOf(c.Endpoint.DataCentre) == q.Region:
		return localityWeight * 0.75
	default:
		return 0
	}
}

// Residency prefers workers that hold the adapter.
type Residency struct{}

// Score implements Scorer.
func (Residency) Score(_ Query, c Candidate) float64 {
	if c.Resident {
		return residencyWeight
	}
	return 0
}

// Load prefers workers with less work from this instance.
type Load struct{}

// Score implements Scorer.
func (Load) Score(q Query, c Candidate) float64 {
	return -loadWeight * float64(c.InFlight) / float64(max(q.Batch, 1))
}

// Home prefers the adapter's home by rendezvous hashing, so that all instances
// load an absent adapter on the same worker.
type Home struct{}

// Score implements Scorer.
func (Home) Score(q Query, c Candidate) float64 {
	if q.Adapter == (table.AdapterVersion{}) {
		return 0
	}
	const scale = float64(1 << 63)
	return homeWeight * float64(ownership.Score(q.Adapter.String(), c.Endpoint.Name)>>1) / scale
}
