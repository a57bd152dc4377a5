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

// message is a call or an answer between two budgets.
type message struct {
	kind string // ask, lent or return
	loan Loan
}

// transfer is a load in the model of the store.
type transfer struct {
	instance int
	right    Right
	until    time.Duration
}

// storeModel is a fleet of budgets and the store that counts their loads.
type storeModel struct {
	config   BudgetConfig
	limits   StoreLimits
	budgets  []*Budget
	messages []message
	transfer []transfer
	now      time.Duration
	tokens   float64
	filled   time.Duration
	loans    int
}

// newStoreModel shares the limits among instances that own workers in turn.
func newStoreModel(config BudgetConfig, instances, workers int) *storeModel {
	limits := StoreLimits{LoadsPerSecond: 4, Transit: 8} // both bind, with loads of up to 5 s
	m := &storeModel{config: config, limits: limits, tokens: float64(limits.Transit)}
	var published []string
	owner := make(map[string]int)
	for i := range workers {
		name := fmt.Sprint("w", i)
		published = append(published, name)
		owner[name] = i % instances
	}
	for i := range instances {
		b := NewBudget(config)
		b.SetShare(0, m.limits.Of(published, func(worker string) bool { return owner[worker] == i }))
		m.budgets = append(m.budgets, b)
	}
	return m
}

// play draws events and returns the first time that the store's limits are
// exceeded. Messages are lost, late and repeated, and instances stand still.
func (m *storeModel) play(events int, draw func(n int) int) error {
	for range events {
		m.pass(draw)
		at := draw(len(m.budgets))
		switch draw(3) {
		case 0:
			m.exchange(at)
		case 1:
			m.deliver(draw)
		case 2:
			if err := m.begin(min(at, draw(len(m.budgets))), draw); err != nil {
				return err
			}
		}
	}
	return nil
}

// pass lets time pass, now and then as long as a pause.
func (m *storeModel) pass(draw func(n int) int) {
	step := draw(60)
	if draw(100) == 0 {
		step = draw(6000)
	}
	m.now += time.Duration(step) * time.Millisecond
	m.end()
}

// end finishes the loads whose time has come.
func (m *storeModel) end() {
	kept := m.transfer[:0]
	for _, t := range m.transfer {
		if m.now < t.until {
			kept = append(kept, t)
			continue
		}
		m.budgets[t.instance].Done(m.now, t.right)
	}
	m.transfer = kept
}

func (m *storeModel) exchange(at int) {
	var peers []string
	for i := range m.budgets {
		if i != at {
			peers = append(peers, fmt.Sprint(i))
		}
	}
	for _, loan := range m.budgets[at].Returns(m.now) {
		m.messages = append(m.messages, message{"return", loan})
	}
	if loan, wanted := m.budgets[at].Ask(m.now, fmt.Sprint(at), peers); wanted {
		m.messages = append(m.messages, message{"ask", loan})
	}
}

// deliver takes any message, and loses or keeps it for another time.
func (m *storeModel) deliver(draw func(n int) int) {
	if len(m.messages) == 0 {
		return
	}
	i := draw(len(m.messages))
	taken := m.messages[i]
	if draw(4) != 0 {
		m.messages = append(m.messages[:i], m.messages[i+1:]...)
	}
	if draw(5) == 0 {
		return
	}
	var lender, borrower int
	_, _ = fmt.Sscan(taken.loan.Lender, &lender)
	_, _ = fmt.Sscan(taken.loan.Borrower, &borrower)
	switch taken.kind {
	case "ask":
		if m.budgets[lender].Lend(m.now, taken.loan) {
			m.messages = append(m.messages, message{"lent", taken.loan})
		}
	case "lent":
		m.budgets[borrower].Lent(m.now, taken.loan)
	case "return":
		m.budgets[lender].Returned(m.now, taken.loan)
	}
}

// begin has a worker try to load; the load lasts at most the load timeout.
func (m *storeModel) begin(at int, draw func(n int) int) error {
	want := Want{Rank: table.Ranks[draw(len(table.Ranks))], Waiting: 1 + draw(5)}
	right, granted := m.budgets[at].Take(m.now, fmt.Sprint("of", at, "-", draw(2)), want)
	if !granted {
		return nil
	}
	if right != (Right{}) {
		m.loans++
	}
	lasts := 250 * time.Millisecond
	if draw(4) != 0 {
		lasts = m.config.LoadTimeout - time.Millisecond
	}
	m.transfer = append(m.transfer, transfer{instance: at, right: right, until: m.now + lasts})
	m.tokens = min(m.tokens+(m.now-m.filled).Seconds()*m.limits.LoadsPerSecond, float64(m.limits.Transit)) - 1
	m.filled = m.now
	if m.tokens < -1e-6 {
		return fmt.Errorf("at %s: a load beyond the store's rate", m.now)
	}
	if len(m.transfer) > m.limits.Transit {
		return fmt.Errorf("at %s: %d loads in transit", m.now, len(m.transfer))
	}
	return nil
}

// testBudgetConfig has a short load timeout, so that loans run out in a test.
func testBudgetConfig() BudgetConfig {
	config := DefaultBudgetConfig()
	config.LoadTimeout = 5 * time.Second
	return config
}

func TestBudgetsNeverExceedTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 7).Draw(t, "instances")
		workers := rapid.IntRange(1, 14).Draw(t, "workers")
		m := newStoreModel(testBudgetConfig(), instances, workers)
		seed := rapid.Uint64().Draw(t, "seed")
		require.NoError(t, m.play(2000, rand.New(rand.NewPCG(seed, 0)).IntN))
	})
}

func TestBudgetsBorrow(t *testing.T) {
	m := newStoreModel(testBudgetConfig(), 6, 9)
	require.NoError(t, m.play(5000, rand.New(rand.NewPCG(1, 0)).IntN))
	assert.Positive(t, m.loans, "seed 1")
}

func TestTheModelFindsALenderThatTakesBackTooSoon(t *testing.T) {
	for seed := range uint64(50) {
		m := newStoreModel(testBudgetConfig(), 6, 9)
		for _, b := range m.budgets {
			b.config.LoadTimeout = 0 // the lender forgets that a load lasts
		}
		if m.play(5000, rand.New(rand.NewPCG(seed, 0)).IntN) != nil {
			return
		}
	}
	assert.Fail(t, "not found with seeds 0 to 49")
}

func TestTheModelFindsALenderThatGivesNothingUp(t *testing.T) {
	for seed := range uint64(50) {
		m := newStoreModel(testBudgetConfig(), 6, 9)
		for _, b := range m.budgets {
			b.config.LoadTimeout = -b.config.LoanTerm - b.config.Margin // taken back at once
		}
		if m.play(5000, rand.New(rand.NewPCG(seed, 0)).IntN) != nil {
			return
		}
	}
	assert.Fail(t, "not found with seeds 0 to 49")
}
