package experiment

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/residency"
)

// startBudget gives the entry its share of the store's limits.
func (e *entry) startBudget() {
	limits := residency.StoreLimits{
		LoadsPerSecond: e.sim.scenario.Service.LoadsPerSecond,
		Transit:        e.sim.scenario.Service.FullSpeedLoads,
	}
	var published []string
	owned := make(map[string]bool)
	for _, w := range e.sim.workers {
		published = append(published, w.endpoint.Name)
		owned[w.endpoint.Name] = w.owner == e
	}
	e.budget.SetShare(e.sim.now, limits.ShareOf(published, func(worker string) bool { return owned[worker] }))
}

// borrow asks a peer for a loan where one is of use, and returns used ones.
func (e *entry) borrow() {
	if e.down {
		return
	}
	byName := make(map[string]*entry)
	var peers []string
	for _, other := range e.sim.entries {
		if other != e && !other.down && e.sim.connected(e.dataCentre, other.dataCentre) {
			byName[other.name] = other
			peers = append(peers, other.name)
		}
	}
	budget := e.budget
	for _, loan := range e.budget.LoansToReturn(e.sim.now) {
		if lender := byName[loan.Lender]; lender != nil {
			e.sim.after(e.to(lender), func() { lender.budget.ReclaimLoan(e.sim.now, loan) })
		}
	}
	loan, wanted := e.budget.RequestLoan(e.sim.now, e.name, peers)
	if !wanted {
		return
	}
	lender := byName[loan.Lender]
	e.sim.after(e.to(lender), func() {
		if lender.budget.Lend(e.sim.now, loan) {
			e.sim.after(e.to(lender), func() { budget.AcceptLoan(e.sim.now, loan) })
		}
	})
}

// to returns the latency to another entry.
func (e *entry) to(other *entry) time.Duration {
	if e.sim.regions[e.dataCentre] != e.sim.regions[other.dataCentre] {
		return millis(e.sim.scenario.Service.RegionMs)
	}
	return millis(e.sim.scenario.Service.DataCentreMs)
}
