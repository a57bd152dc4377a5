package attempt

// BudgetConfig bounds the retries that may run a request again.
type BudgetConfig struct {
	// Ratio is the share of extra calls that retries may add. Higher hides more
	// failures and adds more load to a fleet that is failing. Default: 0.1.
	Ratio float64
	// Reserve is the number of retries that may be saved up, and that a budget
	// starts with. Default: 10.
	Reserve float64
}

// DefaultBudgetConfig returns the bounds for one instance.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Ratio: 0.1, Reserve: 10}
}

// Budget bounds retries over all requests of an instance: never more than
// Reserve and Ratio of the calls so far.
type Budget struct {
	config BudgetConfig
	saved  float64
}

// NewBudget returns a full budget.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{config: config, saved: config.Reserve}
}

// Call counts a request's first attempt.
func (b *Budget) Call() {
	b.saved = min(b.saved+b.config.Ratio, b.config.Reserve)
}

// Retry takes one retry from the budget, or reports that none is left.
func (b *Budget) Retry() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
