package ingress

import (
	"github.com/bulrushwick/bulrushwick/coord/placement"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// CandidateView is the evaluation of one worker for an adapter.
type CandidateView struct {
	Worker     string `json:"worker"`
	DataCentre string `json:"dataCentre"`
	// Owner is the instance that sends the worker its orders; empty if unknown.
	Owner string `json:"owner"`
	// Resident says that the adapter is known to be loaded there.
	Resident bool `json:"resident"`
	// Load is the number of requests known to be in progress there.
	Load int `json:"load"`
	// RefusedBy names the filter that excludes the worker; empty if none does.
	RefusedBy string `json:"refusedBy,omitempty"`
	// Score is the sum of Parts.
	Score float64               `json:"score"`
	Parts []placement.ScorePart `json:"parts,omitempty"`
}

// Explanation is this instance's current ranking of workers for an adapter.
type Explanation struct {
	Instance string `json:"instance"`
	Adapter  string `json:"adapter"`
	Route    string `json:"route"`
	Pool     string `json:"pool"`
	// Revision is that of the table in force.
	Revision uint64 `json:"revision"`
	// Candidates are the pool's workers: best first, excluded ones last.
	Candidates []CandidateView `json:"candidates"`
}

// Explain ranks the workers for a request of normal rank for the adapter,
// without sending one. Its error is a *httpx.Problem.
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
	for _, evaluation := range s.picker.Explain(s.placementQuery(t, pool, adapter, table.Normal), s.fleet.Candidates(pool, adapter)) {
		owner, _ := s.fleet.Owner(evaluation.Candidate.Endpoint.Name)
		e.Candidates = append(e.Candidates, CandidateView{
			Worker:     evaluation.Candidate.Endpoint.Name,
			DataCentre: evaluation.Candidate.Endpoint.DataCentre,
			Owner:      owner.Name,
			Resident:   evaluation.Candidate.Resident,
			Load:       evaluation.Candidate.Load,
			RefusedBy:  evaluation.RefusedBy,
			Score:      evaluation.Score,
			Parts:      evaluation.Parts,
		})
	}
	return e, nil
}

// engineRoute returns the route of an adapter version, or the problem if no
// route matches or the pool doesn't have the version.
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
