// Package slots decides which orders one worker gets: it brings the base model
// back after a restart, loads the adapters that requests wait for, and evicts
// others to make room. It never counts on more slots than the worker has, since
// a worker that is told to load more fails.
package slots

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Config describes a worker's room and the times of its loads.
type Config struct {
	// Capacity is the number of adapters that the worker holds, those in transit
	// included.
	Capacity int
	// TransitLimit is the number of adapters in transit to one worker. Source:
	// the engines refuse a fifth.
	TransitLimit int
	// ColdLoad is the time to fetch an adapter from the weight store while few
	// loads are in transit.
	ColdLoad time.Duration
	// FullSpeedTransit is the number of loads over all workers beyond which each
	// takes proportionally longer.
	FullSpeedTransit int
	// WarmLoad is the time to load an adapter that the worker held lately.
	WarmLoad time.Duration
	// WarmCopies is how many adapters a worker keeps in host memory.
	WarmCopies int
	// IdleGrace is how long an adapter must be unused before it may be evicted,
	// longer than news of its use takes between instances.
	IdleGrace time.Duration
	// ReportLag is how much older than its arrival a worker's report may be.
	ReportLag time.Duration
	// MaxDraining bounds the adapters that are evicted while in use.
	MaxDraining int
}

// DefaultConfig returns the times of the operators' sheets for the given room.
func DefaultConfig(capacity int) Config {
	return Config{
		Capacity:         capacity,
		TransitLimit:     4,
		ColdLoad:         250 * time.Millisecond,
		FullSpeedTransit: 8,
		WarmLoad:         25 * time.Millisecond, // the sheets: a tenth of a cold load
		WarmCopies:       30,
		IdleGrace:        300 * time.Millisecond, // one beat between instances
		ReportLag:        time.Second,            // the sheets say some hundred ms
		MaxDraining:      2,
	}
}

type phase uint8

const (
	loading phase = iota
	ready
	unloading
)

type slot struct {
	phase phase
	// readyAt is when a load is expected to end, or ended.
	readyAt time.Duration
	// since is when the phase began.
	since    time.Duration
	lastUsed time.Duration
	running  int
	uses     int
	// verify asks for the load order once more.
	verify bool
}

type want struct {
	rank  int
	since time.Duration
	until time.Duration
}

// Order is one order to the worker.
type Order struct {
	Unload  bool
	Model   string
	Adapter string // empty for the model itself
}

// Result is what became of an order.
type Result uint8

// The results of orders.
const (
	// Accepted orders are being carried out.
	Accepted Result = iota
	// Done orders hold already.
	Done
	// Rejected orders were not accepted.
	Rejected
	// Unknown orders got no answer and may have been accepted.
	Unknown
)

// Planner decides for one worker. Adapters are named within one model. It is
// not safe for concurrent use.
type Planner struct {
	config   Config
	model    string
	hasModel bool
	// modelUntil is the expected end of a load of the model that is under way.
	modelUntil time.Duration
	modelTime  time.Duration
	slots      map[string]*slot
	wants      map[string]*want
	warm       []string
	synced     bool
	current    *Order
	// retryAt holds orders back after a rejection.
	retryAt time.Duration
	transit int
}

// NewPlanner returns the planner of a worker of which nothing is known. Loading
// the model takes modelTime.
func NewPlanner(config Config, model string, modelTime time.Duration) *Planner {
	return &Planner{config: config, model: model, modelTime: modelTime, slots: make(map[string]*slot), wants: make(map[string]*want)}
}

// Held is what a worker reports.
type Held struct {
	HasModel bool
	Adapters []string
	Pending  []string
	Busy     bool
}

// Reported takes a report that arrived at now. The first one is taken as it is;
// later ones may be older than the last orders and correct only what has stood
// for longer than the lag.
func (p *Planner) Reported(now time.Duration, held Held) {
	if !p.synced {
		p.sync(now, held)
		return
	}
	if held.HasModel && !p.hasModel {
		p.hasModel, p.modelUntil = true, 0
	}
	if !held.HasModel && p.hasModel && !held.Busy {
		p.restart()
		return
	}
	listed := make(map[string]bool)
	for _, a := range append(slices.Clone(held.Adapters), held.Pending...) {
		listed[a] = true
		if p.slots[a] == nil {
			p.slots[a] = &slot{phase: ready, since: now, readyAt: now, lastUsed: now}
		}
	}
	for adapter, s := range p.slots {
		if !listed[adapter] && now-s.since > p.config.ReportLag && s.phase != loading {
			delete(p.slots, adapter)
		}
	}
}

func (p *Planner) sync(now time.Duration, held Held) {
	p.synced, p.hasModel = true, held.HasModel
	if held.Busy && !held.HasModel {
		p.modelUntil = now + p.modelTime
	}
	for _, a := range held.Adapters {
		p.slots[a] = &slot{phase: ready, since: now, readyAt: now, lastUsed: now}
	}
	for _, a := range held.Pending {
		p.slots[a] = &slot{phase: loading, since: now, readyAt: now + p.config.ColdLoad, lastUsed: now}
	}
}

// restart forgets what the worker held; its host memory is empty as well.
func (p *Planner) restart() {
	p.hasModel, p.modelUntil, p.current = false, 0, nil
	clear(p.slots)
	p.warm = nil
}

// Want asks for an adapter until a time. The more urgent rank and the earlier
// request count.
func (p *Planner) Want(now time.Duration, adapter string, rank int, until time.Duration) {
	w := p.wants[adapter]
	if w == nil {
		p.wants[adapter] = &want{rank: rank, since: now, until: until}
		return
	}
	w.rank, w.until = min(w.rank, rank), max(w.until, until)
}

// Missing notes that the worker denied to hold an adapter that was thought
// ready. The load is ordered again, which changes nothing where it is held.
func (p *Planner) Missing(now time.Duration, adapter string) {
	s := p.slots[adapter]
	if s == nil || s.phase != ready {
		return
	}
	if now-s.readyAt < 4*p.config.WarmLoad {
		s.phase, s.readyAt = loading, now+p.config.WarmLoad
		return
	}
	s.verify = true
}

// Use sets the number of requests in progress for each adapter.
func (p *Planner) Use(now time.Duration, running map[string]int) {
	for adapter, s := range p.slots {
		n := running[adapter]
		if n > 0 || s.running > 0 {
			s.lastUsed = now
		}
		s.running = n
	}
}

// Transit sets the number of adapters in transit to all other workers.
func (p *Planner) Transit(others int) { p.transit = others }

// InTransit counts the adapters on their way to this worker.
func (p *Planner) InTransit() int { return p.count(loading) }

// Usable tells whether the worker holds the model.
func (p *Planner) Usable() bool { return p.synced && p.hasModel }

// Synced tells whether a report was taken since the start.
func (p *Planner) Synced() bool { return p.synced }

// Ready tells whether an adapter is loaded.
func (p *Planner) Ready(now time.Duration, adapter string) bool {
	s := p.slots[adapter]
	return s != nil && s.phase != unloading && now >= s.readyAt && !s.verify
}

// Slot is the public state of one slot.
type Slot struct {
	Adapter string
	Ready   bool
}

// Slots lists the adapters that are held or on their way, by name.
func (p *Planner) Slots(now time.Duration) []Slot {
	var all []Slot
	for _, adapter := range slices.Sorted(maps.Keys(p.slots)) {
		if s := p.slots[adapter]; s.phase != unloading {
			all = append(all, Slot{Adapter: adapter, Ready: p.Ready(now, adapter)})
		}
	}
	return all
}

// Warm tells whether the worker probably keeps a copy in host memory.
func (p *Planner) Warm(adapter string) bool { return slices.Contains(p.warm, adapter) }

// NextEvent is when the state changes by itself next; 0 for never.
func (p *Planner) NextEvent(now time.Duration) time.Duration {
	next := time.Duration(0)
	earlier := func(at time.Duration) {
		if at > now && (next == 0 || at < next) {
			next = at
		}
	}
	for _, s := range p.slots {
		if s.phase == loading {
			earlier(s.readyAt)
		}
	}
	for _, w := range p.wants {
		earlier(w.until)
	}
	earlier(p.retryAt)
	earlier(p.modelUntil)
	return next
}

func (p *Planner) count(in phase) int {
	n := 0
	for _, s := range p.slots {
		if s.phase == in {
			n++
		}
	}
	return n
}

// Next returns the order to send now, if any. Every returned order must be
// followed by Ordered before the next call returns another.
func (p *Planner) Next(now time.Duration) (Order, bool) {
	p.advance(now)
	if !p.synced || p.current != nil || now < p.retryAt {
		return Order{}, false
	}
	order, ok := p.choose(now)
	if ok {
		p.current = &order
		p.begin(now, order)
	}
	return order, ok
}

// advance ends loads and drops wants that are met or expired.
func (p *Planner) advance(now time.Duration) {
	for adapter, s := range p.slots {
		if s.phase == loading && now >= s.readyAt && (p.current == nil || p.current.Adapter != adapter) {
			s.phase, s.since = ready, now
		}
	}
	maps.DeleteFunc(p.wants, func(adapter string, w *want) bool { return now >= w.until || p.Ready(now, adapter) })
}

func (p *Planner) choose(now time.Duration) (Order, bool) {
	if !p.hasModel {
		if now < p.modelUntil {
			return Order{}, false
		}
		return Order{Model: p.model}, true
	}
	for _, adapter := range slices.Sorted(maps.Keys(p.slots)) {
		if p.slots[adapter].verify {
			return Order{Model: p.model, Adapter: adapter}, true
		}
	}
	for _, adapter := range p.waiting() {
		if p.slots[adapter] != nil {
			continue
		}
		return p.makeRoom(now, adapter)
	}
	return Order{}, false
}

// waiting lists the wanted adapters, the most urgent and oldest first.
func (p *Planner) waiting() []string {
	names := slices.Sorted(maps.Keys(p.wants))
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.wants[a].rank, p.wants[b].rank), cmp.Compare(p.wants[a].since, p.wants[b].since))
	})
	return names
}

// makeRoom loads an adapter where a slot is free, and else evicts one.
func (p *Planner) makeRoom(now time.Duration, adapter string) (Order, bool) {
	if len(p.slots) < p.config.Capacity {
		if p.count(loading) >= p.config.TransitLimit {
			return Order{}, false
		}
		return Order{Model: p.model, Adapter: adapter}, true
	}
	victim := p.victim(now)
	if victim == "" {
		return Order{}, false
	}
	return Order{Unload: true, Model: p.model, Adapter: victim}, true
}

// victim picks the slot to free: the one unused for longest, or where all are
// in use the one with the fewest requests.
func (p *Planner) victim(now time.Duration) string {
	best, bestBusy := "", true
	var bestSlot *slot
	for _, adapter := range slices.Sorted(maps.Keys(p.slots)) {
		s := p.slots[adapter]
		if s.phase != ready || p.wants[adapter] != nil {
			continue
		}
		busy := s.running > 0 || now-s.lastUsed < p.config.IdleGrace
		better := bestSlot == nil || bestBusy && !busy ||
			busy == bestBusy && (!busy && s.lastUsed < bestSlot.lastUsed || busy && s.running < bestSlot.running)
		if better {
			best, bestBusy, bestSlot = adapter, busy, s
		}
	}
	if bestBusy && p.count(unloading) >= p.config.MaxDraining {
		return ""
	}
	return best
}

// begin records an order that is about to be sent.
func (p *Planner) begin(now time.Duration, order Order) {
	switch {
	case order.Adapter == "":
		p.modelUntil = now + p.modelTime
	case order.Unload:
		s := p.slots[order.Adapter]
		s.phase, s.since = unloading, now
	default:
		if s := p.slots[order.Adapter]; s != nil {
			s.verify = false
			return
		}
		p.slots[order.Adapter] = &slot{phase: loading, since: now, readyAt: now + p.loadTime(order.Adapter), lastUsed: now}
	}
}

func (p *Planner) loadTime(adapter string) time.Duration {
	if p.Warm(adapter) {
		return p.config.WarmLoad
	}
	total := p.transit + p.count(loading) + 1
	slowdown := max(1, float64(total)/float64(p.config.FullSpeedTransit))
	return time.Duration(float64(p.config.ColdLoad) * slowdown)
}

// rejectedWait is how long orders are held back after one was rejected.
const rejectedWait = 60 * time.Millisecond

// Ordered takes the result of the last order.
func (p *Planner) Ordered(now time.Duration, result Result) {
	order := p.current
	p.current = nil
	if order == nil {
		return
	}
	switch {
	case order.Adapter == "":
		p.modelOrdered(now, result)
	case order.Unload:
		p.unloadOrdered(now, order.Adapter, result)
	default:
		p.loadOrdered(now, order.Adapter, result)
	}
	if result == Rejected {
		p.retryAt = now + rejectedWait
	}
}

func (p *Planner) modelOrdered(now time.Duration, result Result) {
	switch result {
	case Done:
		p.hasModel, p.modelUntil = true, 0
	case Rejected:
		p.modelUntil = now + rejectedWait
	case Accepted, Unknown:
		// The report tells when the model is there.
	}
}

func (p *Planner) unloadOrdered(now time.Duration, adapter string, result Result) {
	s := p.slots[adapter]
	if s == nil {
		return
	}
	switch result {
	case Done:
		delete(p.slots, adapter)
	case Rejected:
		s.phase, s.since = ready, now
	case Accepted, Unknown:
		// The slot counts until a report lacks the adapter.
	}
}

func (p *Planner) loadOrdered(now time.Duration, adapter string, result Result) {
	s := p.slots[adapter]
	if s == nil {
		return
	}
	switch result {
	case Done:
		s.phase, s.since, s.readyAt = ready, now, now
	case Rejected:
		if s.phase == loading {
			delete(p.slots, adapter)
		}
		return
	case Accepted:
		took := p.loadTime(adapter)
		s.phase, s.since, s.readyAt = loading, now, now+took
	case Unknown:
		s.readyAt = max(s.readyAt, now+p.config.ColdLoad)
	}
	p.remember(adapter)
}

// remember notes that the worker has a copy in host memory.
func (p *Planner) remember(adapter string) {
	p.warm = slices.DeleteFunc(p.warm, func(a string) bool { return a == adapter })
	p.warm = append(p.warm, adapter)
	if len(p.warm) > p.config.WarmCopies {
		p.warm = p.warm[1:]
	}
}

// Expecting tells whether a report is waited for: the end of an eviction or of
// a load of the model shows there only.
func (p *Planner) Expecting() bool {
	return !p.hasModel || p.count(unloading) > 0
}

var resultNames = [...]string{"accepted", "done", "rejected", "unknown"}

// String returns the result's name in logs.
func (r Result) String() string { return resultNames[r] }
