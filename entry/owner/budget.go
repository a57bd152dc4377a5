package owner

import (
	"slices"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/residency"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// budget limits the loads that this instance starts. Owner.mu must be held to
// use the embedded Budget. The other fields, from which the share is computed,
// are used by Tick only.
type budget struct {
	*residency.Budget
	// tableRevision and rightsVersion are the revision of the table and the
	// version of the rights from which the lists were made.
	tableRevision, rightsVersion uint64
	// published lists the engines of all pools. candidates lists those whose
	// right this instance may hold. Both are sorted.
	published, candidates []string
	// held lists the engines whose right this instance held when the share was
	// last computed.
	held []string
}

// newBudget returns a budget without a share. Loans are numbered from the start
// time, so that no number of an earlier process of this instance is used again.
func newBudget() budget {
	config := residency.DefaultBudgetConfig()
	config.LoadTimeout = loadTimeout
	config.FirstLoan = uint64(time.Now().UnixMilli())
	return budget{Budget: residency.NewBudget(config)}
}

// updateStoreShare recomputes the instance's share of the weight store's limits
// when the table or the held rights have changed. Only one instance at a time
// holds the right to a worker, so that no two instances count the same worker.
func (o *Owner) updateStoreShare() {
	t := o.fleet.Table()
	if t == nil {
		return
	}
	rights, version, _ := o.fleet.RightSpecs()
	changed := t.Revision != o.budget.tableRevision || version != o.budget.rightsVersion
	if changed {
		o.budget.tableRevision, o.budget.rightsVersion = t.Revision, version
		o.budget.listEngines(t, rights)
	}
	var held []string
	for _, worker := range o.budget.candidates {
		if _, holds := o.fleet.Held(ownership.WorkerRight(worker)); holds {
			held = append(held, worker)
		}
	}
	if !changed && slices.Equal(held, o.budget.held) {
		return
	}
	o.budget.held = held
	share := o.config.Store.ShareOf(o.budget.published, func(worker string) bool { return slices.Contains(held, worker) })
	o.mu.Lock()
	defer o.mu.Unlock()
	o.budget.SetShare(o.fleet.Now(), share)
}

// listEngines updates published and candidates from the table and the rights.
func (b *budget) listEngines(t *table.Table, rights map[ownership.Right]ownership.Spec) {
	b.published, b.candidates = nil, nil
	for _, pool := range t.Pools {
		if pool.Kind != table.Engine {
			continue
		}
		for _, endpoint := range pool.Endpoints {
			b.published = append(b.published, endpoint.Name)
			if _, isCandidate := rights[ownership.WorkerRight(endpoint.Name)]; isCandidate {
				b.candidates = append(b.candidates, endpoint.Name)
			}
		}
	}
	slices.Sort(b.published)
	slices.Sort(b.candidates)
}

// RequestLoan returns the loan to request from its Lender, or false if none is
// needed now. peers are the names of the reachable instances.
func (o *Owner) RequestLoan(peers []string) (residency.Loan, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.budget.RequestLoan(o.fleet.Now(), o.fleet.Self(), peers)
}

// Lend decides on a peer's request for a loan and reports whether it is
// granted.
func (o *Owner) Lend(loan residency.Loan) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return loan.Lender == o.fleet.Self() && o.budget.Lend(o.fleet.Now(), loan)
}

// AcceptLoan adds a loan that a peer has granted.
func (o *Owner) AcceptLoan(loan residency.Loan) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.budget.AcceptLoan(o.fleet.Now(), loan)
}

// LoansToReturn returns the loans to send back to their lenders. Each loan is
// returned once only.
func (o *Owner) LoansToReturn() []residency.Loan {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.budget.LoansToReturn(o.fleet.Now())
}

// ReclaimLoan takes back a loan that the borrower has returned.
func (o *Owner) ReclaimLoan(loan residency.Loan) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.budget.ReclaimLoan(o.fleet.Now(), loan)
}
