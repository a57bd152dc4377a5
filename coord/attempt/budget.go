package attempt

// BudgetConfig limits the retries that may run a request a second time.
type BudgetConfig struct {
	// Ratio is the number of retries allowed per request. A higher ratio hides
	// more failures and adds more load to a fleet that is failing. Default: 0.1.
	Ratio float64
	// Reserve is the number of retries that a budget starts with and the most
	// that it accumulates. Default: 10.
	Reserve float64
}

// DefaultBudgetConfig returns the default limits for one instance.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Ratio: 0.1, Reserve: 10}
}

// Budget is a token bucket that limits the retries of all requests of an
// instance: at most Reserve plus Ratio times the number of requests so far. It
// is not safe for concurrent use.
type Budget struct {
	config BudgetConfig
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{config: config, tokens: config.Reserve}
}

// Deposit credits the budget for the first attempt of a request.
func (b *Budget) Deposit() {
	b.tokens = min(b.tokens+b.config.Ratio, b.config.Reserve)
}

// TryWithdraw takes one retry from the budget and reports whether one was
// available.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
