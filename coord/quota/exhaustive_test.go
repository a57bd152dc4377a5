package quota

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

var historyDepth = flag.Int("depth", 4, "number of events in each history of TestEveryShortHistory")

// tick is the resolution of time in the checks: a quarter of a grant's lifetime.
var tick = checkConfig.Lifetime() / 4

// checkConfig has a bound that leaves little beyond what the rules of this package use:
// any rule that is loosened by more than a few tokens breaks it.
var (
	checkConfig = Config{Window: 4 * time.Second, Overage: 0.5, Slack: 640, Clusters: 1, MetersPerCluster: 2}
	checkLimit  = Limit{Rate: 400, Burst: 40, Largest: 1}
)

// takeoverGap is the time between two holders of a meter's right.
const takeoverGap = 500 * time.Millisecond

// model is the instances and meters of one organisation without a network. A fault
// loosens a rule, so that the checks are seen to find it.
type model struct {
	fault     fault
	now       time.Duration
	limit     Limit
	loweredAt time.Duration // 0 if it was not
	// meters are those with rights, and after them the reserve meters of the seeds, which
	// are the first instances.
	meters    []modelMeter
	instances []modelInstance
	// grants and returns are messages that are delayed.
	grants  []delayedGrant
	returns []grant
	spent   []spending
	problem string
}

type fault uint8

const (
	noFault fault = iota
	longGrants
	fullTakeover
	unlimitedReturns
	wholeReserve
	restoredLife
	fullSeedAfterRestart
)

type modelMeter struct {
	meter *Meter
	from  time.Duration // when it may be asked
}

type modelInstance struct {
	pool    *Pool
	reserve *Reserve
	held    []Ticket // of requests that have not started
}

type delayedGrant struct {
	instance int
	grant    grant // expires is when it was requested
}

type spending struct {
	at     time.Duration
	amount int64
}

func newModel(f fault, instances int) *model {
	const started = time.Hour
	m := &model{fault: f, now: started, limit: checkLimit}
	for range checkConfig.MetersPerCluster {
		m.meters = append(m.meters, modelMeter{meter: NewMeter(checkConfig, started-checkConfig.Window)})
	}
	for range min(Seeds, instances) {
		m.meters = append(m.meters, modelMeter{meter: NewReserveMeter(checkConfig, 0)})
	}
	for range instances {
		m.instances = append(m.instances, modelInstance{m.newPool(), NewReserve(started - checkConfig.Window), nil})
	}
	return m
}

func (m *model) newPool() *Pool {
	pool := NewPool(checkConfig)
	if m.fault == longGrants {
		pool.lifetime *= 2
	}
	return pool
}

// clone returns a copy that shares nothing that changes.
func (m *model) clone() *model {
	c := *m
	c.meters = slices.Clone(m.meters)
	for i := range c.meters {
		buckets := make(map[string]*bucket, 1)
		for name, b := range c.meters[i].meter.buckets {
			copied := *b
			buckets[name] = &copied
		}
		copied := *c.meters[i].meter
		copied.buckets = buckets
		c.meters[i].meter = &copied
	}
	c.instances = slices.Clone(m.instances)
	for i := range c.instances {
		pool, reserve := *c.instances[i].pool, *c.instances[i].reserve
		pool.grants, pool.unused = slices.Clone(pool.grants), slices.Clone(pool.unused)
		c.instances[i] = modelInstance{&pool, &reserve, slices.Clone(c.instances[i].held)}
	}
	c.grants, c.returns, c.spent = slices.Clone(m.grants), slices.Clone(m.returns), slices.Clone(m.spent)
	return &c
}

const everything = 1 << 30

// ask has a meter grant all it can, or as much as amount.
func (m *model) ask(meter int, amount, returned int64) int64 {
	if m.now < m.meters[meter].from {
		return 0
	}
	mm := m.meters[meter].meter
	share := checkConfig.SeedShare(m.limit)
	if meter < checkConfig.MetersPerCluster {
		share = checkConfig.ShareOf(m.limit, meter)
	}
	if b := mm.buckets["o"]; b != nil && m.fault == unlimitedReturns {
		share.Returns, b.returns = everything, everything
	}
	return mm.Take(m.now, "o", share, Ask{Amount: amount, Returned: returned}).Granted
}

// take has an instance take all that the meters can grant.
func (m *model) take(i int) {
	for meter := range m.meters {
		m.instances[i].pool.Add(m.now, meter, m.ask(meter, everything, 0))
	}
}

// takeDelayed is take with responses that arrive later.
func (m *model) takeDelayed(i int) {
	for meter := range m.meters {
		m.grants = append(m.grants, delayedGrant{i, grant{meter, m.ask(meter, everything, 0), m.now}})
	}
}

// deliver delivers all delayed messages.
func (m *model) deliver() {
	for _, g := range m.grants {
		m.instances[g.instance].pool.Add(g.grant.expires, g.grant.meter, g.grant.amount)
	}
	for _, r := range m.returns {
		m.ask(r.meter, 0, r.amount)
	}
	m.grants, m.returns = nil, nil
}

// admit has an instance admit requests for all its tokens, which don't start yet.
func (m *model) admit(i int) {
	n := &m.instances[i]
	if ticket, ok := n.pool.Spend(m.now, n.pool.Available(m.now)); ok && ticket.Amount() > 0 {
		n.held = append(n.held, ticket)
	}
}

// start starts the requests that an instance has admitted, if their tokens last.
func (m *model) start(i int) {
	n := &m.instances[i]
	for _, t := range n.held {
		if m.now < t.Expires() {
			m.spend(t.Amount())
		} else {
			n.pool.Restore(m.now, t)
		}
	}
	n.held = nil
}

// cancel ends the requests that an instance has admitted without starting them.
func (m *model) cancel(i int) {
	n := &m.instances[i]
	for _, t := range n.held {
		if m.fault == restoredLife {
			t.grant.expires = m.now + checkConfig.Lifetime()
			t.more = slices.Clone(t.more)
			for i := range t.more {
				t.more[i].expires = t.grant.expires
			}
		}
		n.pool.Restore(m.now, t)
	}
	n.held = nil
}

// giveBack returns the expired tokens of an instance, at once or later.
func (m *model) giveBack(i int, later bool) {
	for meter := range m.meters {
		unused := m.instances[i].pool.Unused(m.now, meter)
		if later {
			m.returns = append(m.returns, grant{meter: meter, amount: unused})
		} else {
			m.ask(meter, 0, unused)
		}
	}
}

// flood has an instance take and spend all that it can for a number of ticks.
func (m *model) flood(i, ticks int) {
	for range ticks {
		m.take(i)
		m.admit(i)
		m.start(i)
		m.now += tick
	}
}

// useReserve has an instance spend its reserve.
func (m *model) useReserve(i int) {
	instances := len(m.instances)
	if m.fault == wholeReserve {
		instances = 1
	}
	for {
		ticket, ok := m.instances[i].reserve.Spend(m.now, checkConfig, m.limit, instances, 1)
		if !ok {
			return
		}
		m.spend(ticket.Amount())
	}
}

// restart loses all state of an instance, and of its reserve meter if it is a seed.
func (m *model) restart(i int) {
	m.instances[i] = modelInstance{m.newPool(), NewReserve(m.now), nil}
	if i >= Seeds {
		return
	}
	startedAt := m.now
	if m.fault == fullSeedAfterRestart {
		startedAt = 0
	}
	m.meters[checkConfig.MetersPerCluster+i].meter = NewReserveMeter(checkConfig, startedAt)
}

// takeOver has the right of a meter pass on.
func (m *model) takeOver(meter int) {
	if m.now < m.meters[meter].from {
		return
	}
	filledFrom := m.now
	if m.fault == fullTakeover {
		filledFrom = 0
	}
	m.meters[meter] = modelMeter{NewMeter(checkConfig, filledFrom), m.now + takeoverGap}
}

// lower halves the limit.
func (m *model) lower() {
	if m.loweredAt == 0 {
		m.limit.Rate, m.limit.Burst, m.loweredAt = m.limit.Rate/2, m.limit.Burst/2, m.now
	}
}

// spend counts tokens of requests that start, and checks the bound on the window that
// ends now. A lowered limit counts one window after it was lowered.
func (m *model) spend(amount int64) {
	m.spent = append(m.spent, spending{m.now, amount})
	bound := checkConfig.Bound(checkLimit)
	if m.loweredAt > 0 && m.now >= m.loweredAt+2*checkConfig.Window {
		bound = checkConfig.Bound(m.limit)
	}
	sum := int64(0)
	for _, s := range slices.Backward(m.spent) {
		if m.now-s.at > checkConfig.Window {
			break
		}
		sum += s.amount
	}
	if float64(sum) > bound && m.problem == "" {
		m.problem = fmt.Sprintf("%d tokens in a window, of %.0f", sum, bound)
	}
}

// event is an event of a history. instance is the one it strikes, -1 for none.
type event struct {
	name     string
	instance int
	apply    func(*model)
}

func (e event) String() string {
	if e.instance < 0 {
		return e.name
	}
	return fmt.Sprint(e.name, " ", e.instance)
}

// events returns every event that a history over instances and two meters is made of.
// Loss of a message is a delay that never ends; a partition is a series of losses.
func events(instances int) []event {
	all := []event{
		{"pause of a tick", -1, func(m *model) { m.now += tick }},
		{"pause just within a lifetime", -1, func(m *model) { m.now += checkConfig.Lifetime() - tick }},
		{"pause of a window", -1, func(m *model) { m.now += checkConfig.Window }},
		{"delivery of delayed messages", -1, (*model).deliver},
		{"takeover of meter 0", -1, func(m *model) { m.takeOver(0) }},
		{"takeover of both meters", -1, func(m *model) { m.takeOver(0); m.takeOver(1) }},
		{"lowered limit", -1, (*model).lower},
		{"reserves of all", -1, func(m *model) {
			for i := range m.instances {
				m.useReserve(i)
			}
		}},
	}
	for i := range instances {
		all = append(all,
			event{"take", i, func(m *model) { m.take(i) }},
			event{"take with delayed responses", i, func(m *model) { m.takeDelayed(i) }},
			event{"admit", i, func(m *model) { m.admit(i) }},
			event{"start", i, func(m *model) { m.admit(i); m.start(i) }},
			event{"cancel", i, func(m *model) { m.cancel(i) }},
			event{"return", i, func(m *model) { m.giveBack(i, false) }},
			event{"return late", i, func(m *model) { m.giveBack(i, true) }},
			event{"flood of a lifetime", i, func(m *model) { m.flood(i, 4) }},
			event{"flood of a window", i, func(m *model) { m.flood(i, int(checkConfig.Window/tick)) }},
			event{"restart", i, func(m *model) { m.restart(i) }},
		)
	}
	return all
}

// explore applies every history of depth more events and returns the first that breaks
// the bound, or "". Instances are alike, so that a history may strike one only after
// those before it.
func explore(m *model, all []event, depth, struck int, path []string, count *atomic.Int64) string {
	if m.problem != "" {
		return strings.Join(path, ", ") + ": " + m.problem
	}
	if depth == 0 {
		count.Add(1)
		return ""
	}
	for _, e := range all {
		if e.instance > struck {
			continue
		}
		next := m.clone()
		e.apply(next)
		if found := explore(next, all, depth-1, max(struck, e.instance+1), append(path, e.String()), count); found != "" {
			return found
		}
	}
	return ""
}

// TestEveryShortHistory plays every sequence of grants, spending, delays, losses, late
// returns, restarts, also of seeds, takeovers and a lowered limit of three instances up to a depth. It
// guards against more spending within a window than the bound allows.
func TestEveryShortHistory(t *testing.T) {
	const instances = 3
	all := events(instances)
	var count atomic.Int64
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for _, first := range all {
		if first.instance > 0 {
			continue
		}
		group.Go(func() error {
			m := newModel(noFault, instances)
			first.apply(m)
			if found := explore(m, all, *historyDepth-1, first.instance+1, []string{first.String()}, &count); found != "" {
				return fmt.Errorf("%s", found)
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
	t.Logf("%d histories of %d events", count.Load(), *historyDepth)
}

// TestChecksFindLooseRules guards against a model that cannot reach the bound: each rule
// of this package, if it is loosened, breaks the bound in a history that keeps it
// otherwise.
func TestChecksFindLooseRules(t *testing.T) {
	const lifetime = "pause just within a lifetime, "
	const restarts = "take 0, start 0, restart 0, restart 1, restart 2, "
	const takeover = "takeover of both meters, flood of a lifetime 0, take 0, "
	for _, c := range []struct {
		fault     fault
		instances int
		history   string
	}{
		{longGrants, 3, "take 0, " + lifetime + lifetime + "pause of a tick, flood of a window 0, take 0, start 0"},
		{fullTakeover, 3, "take 0, " + takeover + takeover + takeover + "flood of a window 0"},
		{unlimitedReturns, 3, "take 0, " + lifetime + "pause of a tick, return late 0, pause of a window, flood of a lifetime 0, delivery of delayed messages, flood of a window 0"},
		{wholeReserve, 30, "take 0, " + lifetime + "reserves of all, flood of a window 0, reserves of all"},
		{fullSeedAfterRestart, 3, restarts + restarts + restarts + restarts + "flood of a window 0"},
		{restoredLife, 3, "take 0, admit 0, " + lifetime + "cancel 0, admit 0, " + lifetime + "cancel 0, " + lifetime + "flood of a window 0"},
	} {
		byName := make(map[string]event)
		for _, e := range events(c.instances) {
			byName[e.String()] = e
		}
		sound, loose := newModel(noFault, c.instances), newModel(c.fault, c.instances)
		for name := range strings.SplitSeq(c.history, ", ") {
			require.Contains(t, byName, name)
			byName[name].apply(sound)
			byName[name].apply(loose)
		}
		require.Empty(t, sound.problem, c.history)
		require.NotEmpty(t, loose.problem, "fault %d: %s", c.fault, c.history)
	}
}
