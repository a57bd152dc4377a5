package placement

import "github.com/bulrushwick/bulrushwick/coord/table"

// Candidate is a worker and its state as this instance knows it.
type Candidate struct {
	// Endpoint is the worker.
	Endpoint table.Endpoint
	// Resident reports that the worker, by its known state, holds the adapter or has
	// requests that wait for it.
	Resident bool
	// Load is the number of requests at the worker: that of its last report,
	// corrected by the requests that this instance has sent since.
	Load int
	// LoadCost is the cost of one more load at the worker, in decayed uses of the
	// adapter that it would unload (see residency.Worker.LoadCost).
	LoadCost float64
	// Leaving reports that the worker takes no new requests.
	Leaving bool
}

// Query describes the request to place.
type Query struct {
	// Adapter is the adapter that must serve the request; zero for services without
	// adapters.
	Adapter table.AdapterVersion
	// Rank is the request's urgency.
	Rank table.Rank
	// DataCentre is the data centre at which the request arrived.
	DataCentre string
	// Region is the region of DataCentre.
	Region string
	// RegionOf returns the region of a data centre. If it is nil, only DataCentre is
	// in the region.
	RegionOf func(dataCentre string) string
	// Batch is the maximum number of requests that a worker runs at once.
	Batch int
	// LinkOpen reports that the budget of the link between regions allows the
	// request.
	LinkOpen bool
}

// InRegion reports whether the candidate is in the query's region.
func (q Query) InRegion(c Candidate) bool {
	return c.Endpoint.DataCentre == q.DataCentre || q.RegionOf != nil && q.RegionOf(c.Endpoint.DataCentre) == q.Region
}

// Filter reports by Keep whether a candidate may serve the query.
type Filter interface {
	Keep(q Query, c Candidate) bool
}

// Scorer rates how well a candidate suits the query; higher is better.
type Scorer interface {
	Score(q Query, c Candidate) float64
}

// Stage is one step of the choice: among the candidates that all Filters keep, it
// chooses the one with the highest sum of scores.
type Stage struct {
	Filters []Filter
	Scorers []Scorer
}

// Picker chooses by the first of its stages that keeps a candidate. It is safe for
// concurrent use if its filters and scorers are.
type Picker struct {
	Stages []Stage
}

// NewPicker returns the picker with the default stages:
//
//  1. a worker in the region that has the adapter and is not overloaded;
//  2. the adapter's preferred worker among those in the region that are not
//     overloaded, weighed against the cost of a load, so that demand beyond the
//     capacity of the workers that have the adapter spreads to one more worker;
//  3. a worker in the region that has the adapter, however loaded;
//  4. any worker in the region;
//  5. any worker, in another region only while the link's budget allows it.
func NewPicker(config Config) *Picker {
	load, home, cost := Load{}, Home{}, Cost{config}
	inRegion := []Filter{NotLeaving{}, SameRegion{}}
	concat := func(filters []Filter, more ...Filter) []Filter {
		return append(append([]Filter(nil), filters...), more...)
	}
	return &Picker{Stages: []Stage{
		{Filters: concat(inRegion, Holder{}, NotOverloaded{config}), Scorers: []Scorer{load, SameDataCentre{}}},
		{Filters: concat(inRegion, NotOverloaded{config}), Scorers: []Scorer{home, cost}},
		{Filters: concat(inRegion, Holder{}), Scorers: []Scorer{load}},
		{Filters: inRegion, Scorers: []Scorer{load, home}},
		{Filters: []Filter{NotLeaving{}, LinkOpen{}}, Scorers: []Scorer{Holding{}, load, home}},
	}}
}

// Pick returns the index of the chosen candidate, or false if no candidate may
// serve the query.
func (p *Picker) Pick(q Query, candidates []Candidate) (int, bool) {
	for _, stage := range p.Stages {
		if best, found := stage.pick(q, candidates); found {
			return best, true
		}
	}
	return 0, false
}

func (s Stage) pick(q Query, candidates []Candidate) (int, bool) {
	best, bestScore := -1, 0.0
	for i, c := range candidates {
		if !s.keep(q, c) {
			continue
		}
		score := 0.0
		for _, scorer := range s.Scorers {
			score += scorer.Score(q, c)
		}
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best, best >= 0
}

func (s Stage) keep(q Query, c Candidate) bool {
	for _, f := range s.Filters {
		if !f.Keep(q, c) {
			return false
		}
	}
	return true
}
