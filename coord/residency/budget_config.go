package residency

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// StoreLimits is what the weight store allows the whole fleet.
type StoreLimits struct {
	// LoadsPerSecond is the rate. Default: 2.
	LoadsPerSecond float64
	// Transit is the number of loads that may be in transit at once, and that may
	// begin at once after a quiet time. Default: 8.
	Transit int
}

// DefaultStoreLimits returns the defaults.
func DefaultStoreLimits() StoreLimits {
	return StoreLimits{LoadsPerSecond: 2, Transit: 8}
}

// Share is the part of the store's limits that one instance may use.
type Share struct {
	// LoadsPerSecond is the rate.
	LoadsPerSecond float64
	// Transit is the number of loads in transit.
	Transit int
}

// Of returns the share of an instance that owns some of the published pool's
// workers: of the rate, their number over the number of all; of the transit, one
// for each owned worker among the first by rendezvous order. It depends on the
// published pool alone and not on who can be reached, so the shares of all
// instances never exceed the limits, whatever is cut off.
func (l StoreLimits) Of(published []string, owned func(worker string) bool) Share {
	var share Share
	if len(published) == 0 {
		return share
	}
	for place, worker := range ownership.Order("store-transit", published) {
		if !owned(worker) {
			continue
		}
		share.LoadsPerSecond += l.LoadsPerSecond / float64(len(published))
		share.Transit += l.transitAt(place, len(published))
	}
	return share
}

// transitAt returns the transits that go with the worker at a place of the order.
func (l StoreLimits) transitAt(place, workers int) int {
	transit := l.Transit / workers
	if place < l.Transit%workers {
		transit++
	}
	return transit
}

// BudgetConfig holds the settings of a Budget.
type BudgetConfig struct {
	// Reserve is the number of loads that a load of a rank leaves in the bucket for
	// more urgent ones. More shortens the urgent rank's wait after a quiet moment
	// and leaves fewer loads for bursts of the others. Default: 0, 0.5 and 1.
	Reserve [table.RankCount]float64
	// ClaimTerm is how long a refused claim holds back less urgent ones. It should
	// outlast the time to ask every peer once. Default: 600 ms.
	ClaimTerm time.Duration
	// AskAfter is how long a claim stands before a peer is asked for a loan, and
	// the time between two such calls. Shorter finds unused rights sooner and costs
	// more calls. Default: 100 ms.
	AskAfter time.Duration
	// LoanTerm is the time from asking within which a loan must be used. Longer
	// suits slow links and holds the lender's right longer when the answer is lost.
	// Default: 2 s.
	LoanTerm time.Duration
	// FirstLoan numbers the loans from here on. A process passes a number above all
	// that former processes of its name have used, such as the time of its start.
	// Default: 0.
	FirstLoan uint64
	// LoadTimeout is the longest time that a load may take. Default: 30 s.
	LoadTimeout time.Duration
	// Margin is added by the lender before it takes an unreturned loan back; it
	// covers clocks that run at different speeds. Default: 1 s.
	Margin time.Duration
}

// DefaultBudgetConfig returns the defaults.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{
		Reserve:     [table.RankCount]float64{0, 0.5, 1},
		ClaimTerm:   600 * time.Millisecond,
		AskAfter:    100 * time.Millisecond,
		LoanTerm:    2 * time.Second,
		LoadTimeout: 30 * time.Second,
		Margin:      time.Second,
	}
}
