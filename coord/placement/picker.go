package placement

import "github.com/bulrushwick/bulrushwick/coord/table"

// Candidate is a worker with what is known of it.
type Candidate struct {
	// Endpoint is the worker.
	Endpoint table.Endpoint
	// Resident says that the worker is believed to hold the adapter, or to have
	// requests that wait for it.
	Resident bool
	// Load is the number of requests at the worker by its last report, corrected
	// by those this instance has sent since.
	Load int
	// LoadCost is what another load at the worker would cost, in uses of the
	// adapter that it would unload.
	LoadCost float64
	// Leaving says that the worker takes no new work.
	Leaving bool
}

// Query describes the request to place.
type Query struct {
	// Adapter is the adapter that must serve it; zero for plain services.
	Adapter table.AdapterVersion
	// Rank is the request's urgency.
	Rank table.Rank
	// DataCentre is where the caller arrived.
	DataCentre string
	// Region is the region of DataCentre.
	Region string
	// RegionOf returns the region of a data centre.
	RegionOf func(dataCentre string) string
	// Batch is the number of requests a worker runs at once.
	Batch int
	// LinkOpen says that the budget of the link between regions has room for the
	// request.
	LinkOpen bool
}

// InRegion tells whether the candidate stands in the query's region.
func (q Query) InRegion(c Candidate) bool {
	return c.Endpoint.DataCentre == q.DataCentre || q.RegionOf != nil && q.RegionOf(c.Endpoint.DataCentre) == q.Region
}

// Filter tells whether a candidate may serve the query.
type Filter interface {
	Keep(q Query, c Candidate) bool
}

// Scorer returns how well a candidate suits the query; higher is better.
type Scorer interface {
	Score(q Query, c Candidate) float64
}

// Stage is one way to choose: the best by Scorers of the candidates that every
// Filter keeps.
type Stage struct {
	Filters []Filter
	Scorers []Scorer
}

// Picker tries its stages in turn and takes the first that keeps a candidate.
type Picker struct {
	Stages []Stage
}

// NewPicker returns the picker with the default stages:
//
//  1. a worker of the region that has the adapter and is not overloaded;
//  2. the adapter's home in the region that is not overloaded, so that demand
//     beyond what the holders take spreads to one more worker;
//  3. a holder of the adapter in the region, however loaded;
//  4. any worker of the region;
//  5. another region's worker, while the link's budget has room.
func NewPicker(config Config) *Picker {
	load, home, cost := Load{}, Home{}, Cost{config}
	near := []Filter{NotLeaving{}, SameRegion{}}
	with := func(filters []Filter, more ...Filter) []Filter {
		return append(append([]Filter(nil), filters...), more...)
	}
	return &Picker{Stages: []Stage{
		{Filters: with(near, Holder{}, NotOverloaded{config}), Scorers: []Scorer{load, SameDataCentre{}}},
		{Filters: with(near, NotOverloaded{config}), Scorers: []Scorer{home, cost}},
		{Filters: with(near, Holder{}), Scorers: []Scorer{load}},
		{Filters: near, Scorers: []Scorer{load, home}},
		{Filters: []Filter{NotLeaving{}, LinkOpen{}}, Scorers: []Scorer{Holding{}, load, home}},
	}}
}

// Pick returns the index of the chosen candidate, or false where none may serve.
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
