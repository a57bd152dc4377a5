package owner

import (
	"slices"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/residency"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// budget is the instance's right to load, with what its share was computed from.
type budget struct {
	*residency.Budget
	revision uint64
	owned    []string
}

func newBudget() budget {
	config := residency.DefaultBudgetConfig()
	config.LoadTimeout = loadTimeout
	config.FirstLoan = uint64(time.Now().UnixMilli())
	return budget{Budget: residency.NewBudget(config)}
}

// shareStore brings the instance's share of the store's limits up to the tables
// in force and the workers that it owns.
func (o *Owner) shareStore() {
	t := o.fleet.Table()
	if t == nil {
		return
	}
	published, owned := o.engines(t)
	o.mu.Lock()
	defer o.mu.Unlock()
	if t.Revision == o.budget.revision && slices.Equal(owned, o.budget.owned) {
		return
	}
	o.budget.revision, o.budget.owned = t.Revision, owned
	share := o.config.Store.Of(published, func(worker string) bool { return slices.Contains(owned, worker) })
	o.budget.SetShare(o.fleet.Now(), share)
}

// engines lists the model engines of every pool and those that this instance
// owns, in order of their names.
func (o *Owner) engines(t *table.Table) (published, owned []string) {
	for _, pool := range t.Pools {
		if pool.Kind != table.Engine {
			continue
		}
		for _, endpoint := range pool.Endpoints {
			published = append(published, endpoint.Name)
			if by, found := o.fleet.Owner(endpoint.Name); found && by.Name == o.fleet.Self() {
				owned = append(owned, endpoint.Name)
			}
		}
	}
	slices.Sort(published)
	slices.Sort(owned)
	return published, owned
}

// AskLoan returns the loan to ask a peer for, if one is of use now.
func (o *Owner) AskLoan(peers []string) (residency.Loan, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.budget.Ask(o.fleet.Now(), o.fleet.Self(), peers)
}

// Lend answers a peer that asks for a loan.
func (o *Owner) Lend(loan residency.Loan) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return loan.Lender == o.fleet.Self() && o.budget.Lend(o.fleet.Now(), loan)
}

// Lent takes in a granted loan.
func (o *Owner) Lent(loan residency.Loan) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.budget.Lent(o.fleet.Now(), loan)
}

// LoanReturns lists the loans to hand back, once each.
func (o *Owner) LoanReturns() []residency.Loan {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.budget.Returns(o.fleet.Now())
}

// Returned takes back a loan that a peer is done with.
func (o *Owner) Returned(loan residency.Loan) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.budget.Returned(o.fleet.Now(), loan)
}
