package ingress

import (
	"github.com/bulrushwick/bulrushwick/coord/placement"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// CandidateView says how a worker fares for an adapter.
type CandidateView struct {
	Worker     string `json:"worker"`
	DataCentre string `json:"dataCentre"`
	// Owner is the instance that orders the worker.
	Owner    string `json:"owner"`
	Resident bool   `json:"resident"`
	// Load counts the requests believed to be there.
	Load      int                   `json:"load"`
	RefusedBy string                `json:"refusedBy,omitempty"`
	Score     float64               `json:"score"`
	Parts     []placement.ScorePart `json:"parts,omitempty"`
}

// Explanation says where this instance would send a request now, and why.
type Explanation struct {
	Instance string `json:"instance"`
	Adapter  string `json:"adapter"`
	Route    string `json:"route"`
	Pool     string `json:"pool"`
	Revision uint64 `json:"revision"`
	// Candidates are the pool's workers, best first and refused ones last.
	Candidates []CandidateView `json:"candidates"`
}

// Explain returns where a request for the adapter would go. Its error is a
// *httpx.Problem.
func (s *Server) Explain(adapter table.AdapterVersion) (Explanation, error) {
	t := s.fleet.Table()
	if t == nil {
		return Explanation{}, notFound("no_tables", "no tables are in force yet")
	}
	route, problem := engineRoute(t, adapter)
	if problem != nil {
		return Explanation{}, problem
	}
	pool := t.Pools[route.Pool]
	e := Explanation{
		Instance: s.fleet.Self(),
		Adapter:  adapter.String(),
		Route:    route.Name,
		Pool:     pool.Name,
		Revision: t.Revision,
	}
	for _, x := range s.picker.Explain(s.query(t, pool, adapter, table.Normal), s.fleet.Candidates(pool, adapter)) {
		owner, _ := s.fleet.Owner(x.Candidate.Endpoint.Name)
		e.Candidates = append(e.Candidates, CandidateView{
			Worker:     x.Candidate.Endpoint.Name,
			DataCentre: x.Candidate.Endpoint.DataCentre,
			Owner:      owner.Name,
			Resident:   x.Candidate.Resident,
			Load:       x.Candidate.Load,
			RefusedBy:  x.RefusedBy,
			Score:      x.Score,
			Parts:      x.Parts,
		})
	}
	return e, nil
}

// engineRoute returns the route of an adapter, or why there is none.
func engineRoute(t *table.Table, adapter table.AdapterVersion) (*table.Route, *httpx.Problem) {
	route, found := t.EngineRoute(adapter.Adapter)
	if !found {
		return nil, notFound("unknown_route", "no route matches adapter \""+adapter.Adapter+"\"")
	}
	if !t.HasVersion(route.Pool, adapter) {
		return nil, notFound("unknown_adapter", "pool \""+route.Pool+"\" has no "+adapter.String())
	}
	return route, nil
}
