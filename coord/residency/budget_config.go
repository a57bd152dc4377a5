package residency

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// StoreLimits holds the weight store's limits for the whole fleet.
type StoreLimits struct {
	// LoadsPerSecond is the sustained rate at which loads may begin. Default: 2.
	LoadsPerSecond float64
	// Transit is the maximum number of loads in transit at once, and also the
	// number that may begin together after an idle period. Default: 8.
	Transit int
}

// DefaultStoreLimits returns the limits with their defaults.
func DefaultStoreLimits() StoreLimits {
	return StoreLimits{LoadsPerSecond: 2, Transit: 8}
}

// Share is the part of the store's limits that one instance may use.
type Share struct {
	// LoadsPerSecond is the sustained rate at which loads may begin.
	LoadsPerSecond float64
	// Transit is the maximum number of loads in transit at once.
	Transit int
}

// ShareOf returns the share of an instance that owns some of the published workers.
// Every worker counts for an equal part of the rate. The places in transit are
// divided evenly among the workers; the remainder goes to the first in rendezvous
// order, one each. The share depends on the published workers and the ownership
// only, not on which instances are reachable, so the shares of all instances
// never exceed the limits, even when the network is partitioned.
func (l StoreLimits) ShareOf(published []string, owned func(worker string) bool) Share {
	var share Share
	if len(published) == 0 {
		return share
	}
	for position, worker := range ownership.Rank("store-transit", published) {
		if !owned(worker) {
			continue
		}
		share.LoadsPerSecond += l.LoadsPerSecond / float64(len(published))
		share.Transit += l.transitAt(position, len(published))
	}
	return share
}

// transitAt returns the loads in transit that belong to the worker at a position
// of the rendezvous order.
func (l StoreLimits) transitAt(position, workers int) int {
	transit := l.Transit / workers
	if position < l.Transit%workers {
		transit++
	}
	return transit
}

// BudgetConfig holds the settings of a Budget.
type BudgetConfig struct {
	// Reserve is the number of tokens, by rank, that a load leaves in the bucket
	// for more urgent ones. Higher shortens the wait of urgent loads after an idle
	// period and leaves the other ranks smaller bursts. Default: 0, 0.5 and 1.
	Reserve [table.RankCount]float64
	// ClaimTTL is how long a refused load defers less urgent ones. It should be
	// longer than the time to send one request to every peer. Default: 600 ms.
	ClaimTTL time.Duration
	// LoanRequestInterval is the age from which a claim leads to a request for a
	// loan, and the interval between two requests. Shorter finds unused permits
	// sooner and costs more calls. Default: 100 ms.
	LoanRequestInterval time.Duration
	// LoanTTL is the time, from the borrower's request, within which a load must
	// begin on a loan. Longer suits slow links, and blocks the lender's permit for
	// longer when the response is lost. Default: 2 s.
	LoanTTL time.Duration
	// FirstLoan is the number after which this instance numbers the loans that it
	// requests. It must exceed every number that earlier processes of the same
	// instance have used; the start time of the process will do. Default: 0.
	FirstLoan uint64
	// LoadTimeout is the maximum duration of a load. Default: 30 s.
	LoadTimeout time.Duration
	// Margin is the additional time before the lender takes back a loan that was
	// not returned. It allows for clocks that run at different speeds. Default: 1 s.
	Margin time.Duration
}

// DefaultBudgetConfig returns the settings with their defaults.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{
		Reserve:             [table.RankCount]float64{0, 0.5, 1},
		ClaimTTL:            600 * time.Millisecond,
		LoanRequestInterval: 100 * time.Millisecond,
		LoanTTL:             2 * time.Second,
		LoadTimeout:         30 * time.Second,
		Margin:              time.Second,
	}
}
