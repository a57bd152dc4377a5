package experiment

import (
	"github.com/bulrushwick/bulrushwick/coord/placement"
	"github.com/bulrushwick/bulrushwick/coord/residency"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// entry is an entry instance, with a view of the workers that lags behind their
// state by up to one report interval.
type entry struct {
	sim        *simulation
	name       string
	dataCentre string
	picker     picker
	views      map[*worker]*view
	budget     *residency.Budget
	down       bool
}

// view is the state of one worker as cached by an entry.
type view struct {
	resident        map[table.AdapterVersion]struct{}
	reportedLoad    int // requests at the worker in its last report
	sentSinceReport int // requests sent since that report
	loadCost        float64
	down            bool
}

func newEntry(s *simulation, name, dataCentre string) *entry {
	e := &entry{sim: s, name: name, dataCentre: dataCentre}
	e.reset()
	return e
}

// reset puts the entry into the state of a newly started process, without cached
// worker state.
func (e *entry) reset() {
	e.down = false
	e.views = make(map[*worker]*view)
	e.budget = residency.NewBudget(residency.DefaultBudgetConfig())
	e.picker = e.sim.policy.newPicker(e.sim)
}

// view returns the cached state of a worker; it is created empty.
func (e *entry) view(w *worker) *view {
	v, found := e.views[w]
	if !found {
		v = &view{}
		e.views[w] = v
	}
	return v
}

// countSent counts a request sent to a worker since its last report.
func (e *entry) countSent(w *worker) {
	e.view(w).sentSinceReport++
}

// applyReport replaces the cached state of a worker by a report of its resident
// adapters, its load in requests and its load cost.
func (e *entry) applyReport(w *worker, held []table.AdapterVersion, load int, cost float64) {
	resident := make(map[table.AdapterVersion]struct{}, len(held))
	for _, adapter := range held {
		resident[adapter] = struct{}{}
	}
	v := e.view(w)
	v.down = w.engine.down
	v.resident, v.reportedLoad, v.sentSinceReport, v.loadCost = resident, load, 0, cost
}

// pick chooses the worker of a request and reports whether there is one.
func (e *entry) pick(r *request) (*worker, bool) {
	candidates := make([]placement.Candidate, len(e.sim.workers))
	for i, w := range e.sim.workers {
		v := e.view(w)
		_, resident := v.resident[r.adapter]
		candidates[i] = placement.Candidate{
			Endpoint: w.endpoint,
			Resident: resident,
			Load:     v.reportedLoad + v.sentSinceReport,
			LoadCost: v.loadCost,
			Leaving:  v.down || r.triedWorkers[w.endpoint.Name] || !e.sim.connected(e.dataCentre, w.endpoint.DataCentre),
		}
	}
	best, found := e.picker.Pick(placement.Query{
		Adapter:    r.adapter,
		Rank:       e.sim.servedRank(r),
		LinkOpen:   r.rank != table.Patient,
		DataCentre: e.dataCentre,
		Region:     e.sim.regionOf[e.dataCentre],
		RegionOf:   func(dataCentre string) string { return e.sim.regionOf[dataCentre] },
		Batch:      e.sim.spec.Batch,
	}, candidates)
	if !found {
		return nil, false
	}
	return e.sim.workers[best], true
}
