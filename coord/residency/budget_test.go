package residency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// message is a request or a response between two budgets.
type message struct {
	kind string // "ask", "lent" or "return"
	loan Loan
}

// loadInTransit is a load that the weight store is serving.
type loadInTransit struct {
	instance int
	permit   Permit
	endsAt   time.Duration
}

// fleetModel models the budgets of a fleet, the messages between them and the
// weight store, which checks its limits.
type fleetModel struct {
	config        BudgetConfig
	limits        StoreLimits
	budgets       []*Budget
	messages      []message
	inTransit     []loadInTransit
	now           time.Duration
	tokens        float64
	refilledAt    time.Duration
	borrowedLoads int
}

// newFleetModel divides the limits among instances that own the workers in rotation.
func newFleetModel(config BudgetConfig, instances, workers int) *fleetModel {
	// With loads of up to 5 s, both limits are reached.
	limits := StoreLimits{LoadsPerSecond: 4, Transit: 8}
	m := &fleetModel{config: config, limits: limits, tokens: float64(limits.Transit)}
	var published []string
	owner := make(map[string]int)
	for i := range workers {
		name := fmt.Sprint("w", i)
		published = append(published, name)
		owner[name] = i % instances
	}
	for i := range instances {
		b := NewBudget(config)
		b.SetShare(0, m.limits.ShareOf(published, func(worker string) bool { return owner[worker] == i }))
		m.budgets = append(m.budgets, b)
	}
	return m
}

// run applies random events and returns an error when the store's limits are
// exceeded. Messages are lost, delayed and duplicated, and instances pause.
func (m *fleetModel) run(events int, draw func(n int) int) error {
	for range events {
		m.advanceTime(draw)
		instance := draw(len(m.budgets))
		switch draw(3) {
		case 0:
			m.sendMessages(instance)
		case 1:
			m.deliver(draw)
		case 2:
			if err := m.tryLoad(min(instance, draw(len(m.budgets))), draw); err != nil {
				return err
			}
		}
	}
	return nil
}

// advanceTime advances the time by up to 60 ms, or now and then by a pause of up to
// 6 s, and ends the loads that are due.
func (m *fleetModel) advanceTime(draw func(n int) int) {
	step := draw(60)
	if draw(100) == 0 {
		step = draw(6000)
	}
	m.now += time.Duration(step) * time.Millisecond
	m.finishLoads()
}

// finishLoads ends the loads whose time is up.
func (m *fleetModel) finishLoads() {
	kept := m.inTransit[:0]
	for _, t := range m.inTransit {
		if m.now < t.endsAt {
			kept = append(kept, t)
			continue
		}
		m.budgets[t.instance].Release(m.now, t.permit)
	}
	m.inTransit = kept
}

// sendMessages sends the instance's returns and its request for a loan, if any.
func (m *fleetModel) sendMessages(instance int) {
	var peers []string
	for i := range m.budgets {
		if i != instance {
			peers = append(peers, fmt.Sprint(i))
		}
	}
	for _, loan := range m.budgets[instance].LoansToReturn(m.now) {
		m.messages = append(m.messages, message{"return", loan})
	}
	if loan, found := m.budgets[instance].RequestLoan(m.now, fmt.Sprint(instance), peers); found {
		m.messages = append(m.messages, message{"ask", loan})
	}
}

// deliver picks a random message, and delivers or loses it. It may keep a copy to
// deliver again.
func (m *fleetModel) deliver(draw func(n int) int) {
	if len(m.messages) == 0 {
		return
	}
	i := draw(len(m.messages))
	received := m.messages[i]
	if draw(4) != 0 {
		m.messages = append(m.messages[:i], m.messages[i+1:]...)
	}
	if draw(5) == 0 {
		return
	}
	var lender, borrower int
	_, _ = fmt.Sscan(received.loan.Lender, &lender)
	_, _ = fmt.Sscan(received.loan.Borrower, &borrower)
	switch received.kind {
	case "ask":
		if m.budgets[lender].Lend(m.now, received.loan) {
			m.messages = append(m.messages, message{"lent", received.loan})
		}
	case "lent":
		m.budgets[borrower].AcceptLoan(m.now, received.loan)
	case "return":
		m.budgets[lender].ReclaimLoan(m.now, received.loan)
	}
}

// tryLoad has a worker request a permit and begin a load, which ends before the
// load timeout.
func (m *fleetModel) tryLoad(instance int, draw func(n int) int) error {
	load := LoadDemand{Rank: table.Ranks[draw(len(table.Ranks))], Waiting: 1 + draw(5)}
	permit, granted := m.budgets[instance].Acquire(m.now, fmt.Sprint("of", instance, "-", draw(2)), load)
	if !granted {
		return nil
	}
	if permit != (Permit{}) {
		m.borrowedLoads++
	}
	duration := 250 * time.Millisecond
	if draw(4) != 0 {
		duration = m.config.LoadTimeout - time.Millisecond
	}
	m.inTransit = append(m.inTransit, loadInTransit{instance: instance, permit: permit, endsAt: m.now + duration})
	m.tokens = min(m.tokens+(m.now-m.refilledAt).Seconds()*m.limits.LoadsPerSecond, float64(m.limits.Transit)) - 1
	m.refilledAt = m.now
	if m.tokens < -1e-6 {
		return fmt.Errorf("at %s: load exceeds the store's rate", m.now)
	}
	if len(m.inTransit) > m.limits.Transit {
		return fmt.Errorf("at %s: %d loads in transit", m.now, len(m.inTransit))
	}
	return nil
}

// testBudgetConfig returns settings with a short load timeout, so that loans expire
// during a test.
func testBudgetConfig() BudgetConfig {
	config := DefaultBudgetConfig()
	config.LoadTimeout = 5 * time.Second
	return config
}

// TestBudgetsNeverExceedStoreLimits checks that the loads of all instances together
// stay within the store's limits whatever messages are lost, delayed or duplicated.
func TestBudgetsNeverExceedStoreLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 7).Draw(t, "instances")
		workers := rapid.IntRange(1, 14).Draw(t, "workers")
		m := newFleetModel(testBudgetConfig(), instances, workers)
		seed := rapid.Uint64().Draw(t, "seed")
		require.NoError(t, m.run(2000, rand.New(rand.NewPCG(seed, 0)).IntN))
	})
}

func TestBudgetsBorrowFromPeers(t *testing.T) {
	m := newFleetModel(testBudgetConfig(), 6, 9)
	require.NoError(t, m.run(5000, rand.New(rand.NewPCG(1, 0)).IntN))
	assert.Positive(t, m.borrowedLoads, "seed 1")
}

// TestModelDetectsLoanReclaimedEarly checks that the model notices lenders that take
// a loan back while the borrower's load may still be in progress.
func TestModelDetectsLoanReclaimedEarly(t *testing.T) {
	for seed := range uint64(50) {
		m := newFleetModel(testBudgetConfig(), 6, 9)
		for _, b := range m.budgets {
			b.config.LoadTimeout = 0 // the lender does not wait for the borrower's load
		}
		if m.run(5000, rand.New(rand.NewPCG(seed, 0)).IntN) != nil {
			return
		}
	}
	assert.Fail(t, "fault not detected with seeds 0 to 49")
}

// TestModelDetectsLenderThatKeepsItsPermits checks that the model notices lenders
// whose loans expire at once, so that lender and borrower use the same permit.
func TestModelDetectsLenderThatKeepsItsPermits(t *testing.T) {
	for seed := range uint64(50) {
		m := newFleetModel(testBudgetConfig(), 6, 9)
		for _, b := range m.budgets {
			b.config.LoadTimeout = -b.config.LoanTTL - b.config.Margin // the loan expires at once
		}
		if m.run(5000, rand.New(rand.NewPCG(seed, 0)).IntN) != nil {
			return
		}
	}
	assert.Fail(t, "fault not detected with seeds 0 to 49")
}
