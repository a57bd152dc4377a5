package direct

import (
	"sync"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/balance"
	"github.com/bulrushwick/bulrushwick/coord/retry"
)

// retryBudgetSafety is the fraction of the operators' bound that is used. The
// rest is kept because the shares are recomputed only some time after an
// instance joins or leaves.
const retryBudgetSafety = 0.7

// demand counts callers' requests: by service for the retry budgets, by adapter for
// placement. It is safe for concurrent use.
type demand struct {
	settings Settings
	mu       sync.Mutex
	// budgets holds the retry budgets by service.
	budgets  map[string]*retry.Budget
	adapters *balance.Demand
}

func newDemand(s Settings) *demand {
	return &demand{settings: s, budgets: make(map[string]*retry.Budget), adapters: balance.NewDemand()}
}

// countRequest adds a caller's request to the service's retry budget, and
// returns this instance's recent number of requests for the adapter.
func (d *demand) countRequest(at time.Duration, service, adapter string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(service).Request(at)
	if adapter == "" {
		return 0
	}
	return d.adapters.Add(at, adapter)
}

// recentRequests returns what countRequest would return for the adapter.
func (d *demand) recentRequests(at time.Duration, adapter string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if adapter == "" {
		return 0
	}
	return d.adapters.Count(at, adapter)
}

// takeRetry takes one retry from the service's budget, and reports whether one
// was left. The budget is shared by the given number of instances.
func (d *demand) takeRetry(at time.Duration, service string, instances int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(service).Take(at, instances)
}

// retriesLeft returns the number of retries that are left over all services.
func (d *demand) retriesLeft(at time.Duration, instances int) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	left := 0.0
	for _, b := range d.budgets {
		left += b.Remaining(at, instances)
	}
	return left
}

// budget returns the retry budget of a service. d.mu must be held.
func (d *demand) budget(service string) *retry.Budget {
	b := d.budgets[service]
	if b == nil {
		b = retry.NewBudget(retry.Config{
			Ratio: d.settings.RepeatRatio, Slack: d.settings.RepeatSlack,
			Window: d.settings.RepeatWindow.Std(), Safety: retryBudgetSafety,
		})
		d.budgets[service] = b
	}
	return b
}
