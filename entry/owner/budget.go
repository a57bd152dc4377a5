package owner

import (
	"slices"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/residency"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// budget is the instance's right to load. What its share is computed from is
// used by Tick alone.
type budget struct {
	*residency.Budget
	// revision and version are of the table and of the rights from which the lists
	// are.
	revision, version uint64
	// published lists the engines of every pool, and near those whose right may
	// fall to this instance.
	published, near []string
	// held lists the engines whose right the instance held.
	held []string
}

func newBudget() budget {
	config := residency.DefaultBudgetConfig()
	config.LoadTimeout = loadTimeout
	config.FirstLoan = uint64(time.Now().UnixMilli())
	return budget{Budget: residency.NewBudget(config)}
}

// shareStore brings the instance's share of the store's limits up to the tables
// in force and the workers whose right it holds. A right has one holder at a
// time, so no two instances count a worker.
func (o *Owner) shareStore() {
	t := o.fleet.Table()
	if t == nil {
		return
	}
	rights, version, _ := o.fleet.RightSpecs()
	fresh := t.Revision != o.budget.revision || version != o.budget.version
	if fresh {
		o.budget.revision, o.budget.version = t.Revision, version
		o.budget.list(t, rights)
	}
	var held []string
	for _, worker := range o.budget.near {
		if _, holds := o.fleet.Held(ownership.WorkerRight(worker)); holds {
			held = append(held, worker)
		}
	}
	if !fresh && slices.Equal(held, o.budget.held) {
		return
	}
	o.budget.held = held
	share := o.config.Store.ShareOf(o.budget.published, func(worker string) bool { return slices.Contains(held, worker) })
	o.mu.Lock()
	defer o.mu.Unlock()
	o.budget.SetShare(o.fleet.Now(), share)
}

// list takes the engines from the tables, in order of their names.
func (b *budget) list(t *table.Table, rights map[ownership.Right]ownership.Spec) {
	b.published, b.near = nil, nil
	for _, pool := range t.Pools {
		if pool.Kind != table.Engine {
			continue
		}
		for _, endpoint := range pool.Endpoints {
			b.published = append(b.published, endpoint.Name)
			if _, concerned := rights[ownership.WorkerRight(endpoint.Name)]; concerned {
				b.near = append(b.near, endpoint.Name)
			}
		}
	}
	slices.Sort(b.published)
	slices.Sort(b.near)
}

// AskLoan returns the loan to ask a peer for, if one is of use now.
func (o *Owner) AskLoan(peers []string) (residency.Loan, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.budget.RequestLoan(o.fleet.Now(), o.fleet.Self(), peers)
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
	o.budget.AcceptLoan(o.fleet.Now(), loan)
}

// LoanReturns lists the loans to hand back, once each.
func (o *Owner) LoanReturns() []residency.Loan {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.budget.LoansToReturn(o.fleet.Now())
}

// Returned takes back a loan that a peer is done with.
func (o *Owner) Returned(loan residency.Loan) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.budget.ReclaimLoan(o.fleet.Now(), loan)
}
