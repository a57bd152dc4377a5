package experiment

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/residency"
)

// setBudgetShare assigns the entry its share of the weight store's limits, in
// proportion to the workers that it owns.
func (e *entry) setBudgetShare() {
	limits := residency.StoreLimits{
		LoadsPerSecond: e.sim.scenario.Service.LoadsPerSecond,
		Transit:        e.sim.scenario.Service.FullSpeedLoads,
	}
	var workerNames []string
	owned := make(map[string]bool)
	for _, w := range e.sim.workers {
		workerNames = append(workerNames, w.endpoint.Name)
		owned[w.endpoint.Name] = w.owner == e
	}
	e.budget.SetShare(e.sim.now, limits.ShareOf(workerNames, func(worker string) bool { return owned[worker] }))
}

// exchangeLoans sends due loans back to their lenders, as far as these are
// reachable, and requests a loan from a peer if the entry's budget needs one.
func (e *entry) exchangeLoans() {
	if e.down {
		return
	}
	peersByName := make(map[string]*entry)
	var peers []string
	for _, other := range e.sim.entries {
		if other != e && !other.down && e.sim.connected(e.dataCentre, other.dataCentre) {
			peersByName[other.name] = other
			peers = append(peers, other.name)
		}
	}
	budget := e.budget
	for _, loan := range e.budget.LoansToReturn(e.sim.now) {
		if lender := peersByName[loan.Lender]; lender != nil {
			e.sim.after(e.latencyTo(lender), func() { lender.budget.ReclaimLoan(e.sim.now, loan) })
		}
	}
	loan, wanted := e.budget.RequestLoan(e.sim.now, e.name, peers)
	if !wanted {
		return
	}
	lender := peersByName[loan.Lender]
	e.sim.after(e.latencyTo(lender), func() {
		if lender.budget.Lend(e.sim.now, loan) {
			e.sim.after(e.latencyTo(lender), func() { budget.AcceptLoan(e.sim.now, loan) })
		}
	})
}

// latencyTo returns the one-way latency to another entry.
func (e *entry) latencyTo(other *entry) time.Duration {
	if e.sim.regionOf[e.dataCentre] != e.sim.regionOf[other.dataCentre] {
		return millis(e.sim.scenario.Service.RegionMs)
	}
	return millis(e.sim.scenario.Service.DataCentreMs)
}
