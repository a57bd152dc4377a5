package experiment

import (
	"github.com/bulrushwick/bulrushwick/coord/placement"
	"github.com/bulrushwick/bulrushwick/coord/residency"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// entry is one instance's lagging view of the workers.
type entry struct {
	sim        *simulation
	name       string
	dataCentre string
	picker     picker
	views      map[*worker]*view
	budget     *residency.Budget
	down       bool
}

// view is what an entry knows of one worker.
type view struct {
	resident map[table.AdapterVersion]struct{}
	reported int // requests at the worker by its last report
	since    int // requests sent since then
	loadCost float64
	down     bool
}

func newEntry(s *simulation, name, dataCentre string) *entry {
	e := &entry{sim: s, name: name, dataCentre: dataCentre}
	e.start()
	return e
}

// start begins as a process that knows nothing.
func (e *entry) start() {
	e.down = false
	e.views = make(map[*worker]*view)
	e.budget = residency.NewBudget(residency.DefaultBudgetConfig())
	e.picker = e.sim.policy.newPicker(e.sim)
}

func (e *entry) view(w *worker) *view {
	v, found := e.views[w]
	if !found {
		v = &view{}
		e.views[w] = v
	}
	return v
}

func (e *entry) begin(w *worker) {
	e.view(w).since++
}

func (e *entry) report(w *worker, held []table.AdapterVersion, load int, cost float64) {
	set := make(map[table.AdapterVersion]struct{}, len(held))
	for _, adapter := range held {
		set[adapter] = struct{}{}
	}
	v := e.view(w)
	v.down = w.engine.down
	v.resident, v.reported, v.since, v.loadCost = set, load, 0, cost
}

// pick chooses the worker of a request.
func (e *entry) pick(r *request) (*worker, bool) {
	candidates := make([]placement.Candidate, len(e.sim.workers))
	for i, w := range e.sim.workers {
		v := e.view(w)
		_, resident := v.resident[r.adapter]
		candidates[i] = placement.Candidate{
			Endpoint: w.endpoint,
			Resident: resident,
			Load:     v.reported + v.since,
			LoadCost: v.loadCost,
			Leaving:  v.down || r.tried[w.endpoint.Name] || !e.sim.connected(e.dataCentre, w.endpoint.DataCentre),
		}
	}
	best, found := e.picker.Pick(placement.Query{
		Adapter:    r.adapter,
		Rank:       e.sim.served(r),
		LinkOpen:   r.rank != table.Patient,
		DataCentre: e.dataCentre,
		Region:     e.sim.regions[e.dataCentre],
		RegionOf:   func(dataCentre string) string { return e.sim.regions[dataCentre] },
		Batch:      e.sim.spec.Batch,
	}, candidates)
	if !found {
		return nil, false
	}
	return e.sim.workers[best], true
}
