// Package slots decides which orders one worker gets: it brings the base model
// back after a restart, loads the adapters that requests wait for, and evicts
// others to make room. It never counts on more slots than the worker has, since
// a worker that is told to load more fails.
package slots

import (
	"cmp"
	"maps"
	"math"
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
	// CheckEvery is the interval between questions whether a load has ended.
	CheckEvery time.Duration
	// WarmCopies is how many adapters a worker keeps in host memory.
	WarmCopies int
	// IdleGrace is how long an adapter must be unused before it may be evicted.
	IdleGrace time.Duration
	// FreshGrace is how long a loaded adapter is kept for those who waited for it,
	// longer than news of its use takes between instances.
	FreshGrace time.Duration
	// UseHalfLife is the time in which past use counts half for what to evict.
	UseHalfLife time.Duration
	// MaxWaiting bounds the wants of the same or a more urgent rank that wait for
	// a slot when another comes.
	MaxWaiting int
	// ReportLag is how much older than its arrival a worker's report may be.
	ReportLag time.Duration
	// MaxDraining bounds the adapters in use that get no new requests.
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
		CheckEvery:       30 * time.Millisecond, // about a warm load
		WarmCopies:       30,
		IdleGrace:        60 * time.Millisecond,
		FreshGrace:       350 * time.Millisecond, // a beat between instances and a margin
		UseHalfLife:      4 * time.Second,
		MaxWaiting:       12,          // about what the slots of a worker turn over within a goal
		ReportLag:        time.Second, // the sheets say some hundred ms
		MaxDraining:      2,
	}
}

type phase uint8

const (
	loading phase = iota
	ready
	// draining slots take no new requests and are evicted when idle: an engine
	// that evicts an adapter in use takes no other order until its runs end.
	draining
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
	// use is the decayed time in use, in request seconds, as of usedAt.
	use    float64
	usedAt time.Duration
	// checking is set while the load order is out once more; its answer tells
	// whether the adapter is held.
	checking bool
}

type want struct {
	// ahead is the number of wants that waited before it.
	ahead int
	// count is the number of requests that asked beside the first.
	count int
	rank  int
	since time.Duration
	until time.Duration
}

// Order is one order to the worker.
type Order struct {
	Unload  bool
	Model   string
	Adapter string // empty for the model itself
	// FromStore is set where a model has no copy at the worker.
	FromStore bool
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
	// Unreachable orders did not reach the worker.
	Unreachable
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
	// evicted is when adapters were evicted; an older report still lists them.
	evicted map[string]time.Duration
	wants   map[string]*want
	warm    []string
	// modelCopied tells that the model can be loaded without the weight store.
	modelCopied bool
	synced      bool
	current     *Order
	// retryAt holds orders back after a rejection.
	retryAt time.Duration
	transit int
	// turnover is the decayed mean time in which one waiting want gets a slot.
	turnover time.Duration
}

// NewPlanner returns the planner of a worker of which nothing is known. Loading
// the model takes modelTime.
func NewPlanner(config Config, model string, modelTime time.Duration) *Planner {
	return &Planner{config: config, model: model, modelTime: modelTime, slots: make(map[string]*slot), evicted: make(map[string]time.Duration), wants: make(map[string]*want)}
}

// Held is what a worker reports.
type Held struct {
	HasModel bool
	// ModelCopied tells that the worker has a copy of the model's weights, on disk
	// or in host memory.
	ModelCopied bool
	Adapters    []string
	Pending     []string
	Busy        bool
}

// Reported takes a report that arrived at now. The first one is taken as it is;
// later ones may be older than the last orders and correct only what has stood
// for longer than the lag.
func (p *Planner) Reported(now time.Duration, held Held) {
	p.modelCopied = held.ModelCopied
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
		if p.slots[a] == nil && now-p.evicted[a] > p.config.ReportLag {
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
	p.keep(now, adapter)
	w := p.wants[adapter]
	if w == nil {
		p.wants[adapter] = &want{rank: rank, since: now, until: until, ahead: p.ahead(rank)}
		return
	}
	w.count++
	w.rank, w.until = min(w.rank, rank), max(w.until, until)
}

// keep takes a wanted adapter out of draining.
func (p *Planner) keep(now time.Duration, adapter string) {
	if s := p.slots[adapter]; s != nil && s.phase == draining {
		s.phase, s.since = ready, now
	}
}

// Missing notes that the worker denied to hold an adapter that was thought
// ready. The load is ordered again, which changes nothing where it is held.
func (p *Planner) Missing(now time.Duration, adapter string) {
	if s := p.slots[adapter]; s != nil && s.phase == ready {
		s.phase, s.since, s.readyAt = loading, now, now
	}
}

// Use sets the number of requests in progress for each adapter.
func (p *Planner) Use(now time.Duration, running map[string]int) {
	for adapter, s := range p.slots {
		n := running[adapter]
		if n > 0 || s.running > 0 {
			s.lastUsed = now
		}
		s.use = p.decayed(now, s) + float64(n)*(now-s.usedAt).Seconds()
		s.running, s.usedAt = n, now
	}
}

// decayed is the past use of a slot as it counts now.
func (p *Planner) decayed(now time.Duration, s *slot) float64 {
	return s.use * math.Exp2(-float64(now-s.usedAt)/float64(p.config.UseHalfLife))
}

// Accepts tells whether a want of a rank would wait for few others, and be loaded
// within the time that it has.
func (p *Planner) Accepts(adapter string, rank int, wait time.Duration) bool {
	if p.slots[adapter] != nil || p.wants[adapter] != nil {
		return true
	}
	ahead := p.ahead(rank)
	if p.loadTime(adapter)+time.Duration(ahead)*p.turnover > wait {
		return false
	}
	return ahead < p.config.MaxWaiting
}

// ahead counts the wants of a rank or a more urgent one that wait for a slot.
func (p *Planner) ahead(rank int) int {
	count := 0
	for waiting, w := range p.wants {
		if p.slots[waiting] == nil && w.rank <= rank {
			count++
		}
	}
	return count
}

// turnoverWeight is the weight of the newest sample in the turnover.
const turnoverWeight = 0.2

// sampleTurnover notes how long a want waited for its slot.
func (p *Planner) sampleTurnover(now time.Duration, w *want) {
	sample := float64(now-w.since) / float64(w.ahead+1)
	p.turnover += time.Duration(turnoverWeight * (sample - float64(p.turnover)))
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
func (p *Planner) Ready(adapter string) bool {
	s := p.slots[adapter]
	return s != nil && s.phase == ready
}

// Slot is the public state of one slot.
type Slot struct {
	Adapter string
	Ready   bool
}

// Slots lists the adapters that are held or on their way, by name.
func (p *Planner) Slots() []Slot {
	var all []Slot
	for _, adapter := range slices.Sorted(maps.Keys(p.slots)) {
		if s := p.slots[adapter]; s.phase == loading || s.phase == ready {
			all = append(all, Slot{Adapter: adapter, Ready: p.Ready(adapter)})
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
		if s.phase == loading || s.phase == unloading {
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

// advance drops wants that are met or expired.
func (p *Planner) advance(now time.Duration) {
	maps.DeleteFunc(p.evicted, func(_ string, at time.Duration) bool { return now-at > p.config.ReportLag })
	for adapter, w := range p.wants {
		if now >= w.until && p.slots[adapter] == nil {
			p.sampleTurnover(now, w)
		}
	}
	maps.DeleteFunc(p.wants, func(adapter string, w *want) bool { return now >= w.until || p.Ready(adapter) })
}

func (p *Planner) choose(now time.Duration) (Order, bool) {
	if !p.hasModel {
		if now < p.modelUntil {
			return Order{}, false
		}
		return Order{Model: p.model, FromStore: !p.modelCopied}, true
	}
	if p.evicting() {
		return p.checkEviction(now)
	}
	if adapter := p.due(now); adapter != "" {
		return Order{Model: p.model, Adapter: adapter}, true
	}
	for _, adapter := range p.waiting() {
		if p.slots[adapter] != nil {
			continue
		}
		return p.makeRoom(now, adapter)
	}
	return Order{}, false
}

// evicting tells whether an eviction waits for its runs, during which the
// worker takes no other order.
func (p *Planner) evicting() bool { return p.count(unloading) > 0 }

// checkEviction repeats the order of an eviction, whose answer tells its end.
func (p *Planner) checkEviction(now time.Duration) (Order, bool) {
	for _, adapter := range slices.Sorted(maps.Keys(p.slots)) {
		if s := p.slots[adapter]; s.phase == unloading && now >= s.readyAt {
			return Order{Unload: true, Model: p.model, Adapter: adapter}, true
		}
	}
	return Order{}, false
}

// due returns an adapter whose load should have ended. Its order is given once
// more, since only the answer to that tells that the adapter is held: reports
// lag, and an eviction of an adapter in transit is answered as done though the
// adapter still comes.
func (p *Planner) due(now time.Duration) string {
	first := ""
	if len(p.slots) > p.config.Capacity {
		return first
	}
	for _, adapter := range slices.Sorted(maps.Keys(p.slots)) {
		s := p.slots[adapter]
		if s.phase == loading && now >= s.readyAt && (first == "" || s.readyAt < p.slots[first].readyAt) {
			first = adapter
		}
	}
	return first
}

// waiting lists the wanted adapters, the most urgent and oldest first.
func (p *Planner) waiting() []string {
	names := slices.Sorted(maps.Keys(p.wants))
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.wants[b].count, p.wants[a].count), cmp.Compare(p.wants[a].rank, p.wants[b].rank), cmp.Compare(p.wants[a].since, p.wants[b].since))
	})
	return names
}

// makeRoom loads an adapter where a slot is free, and else evicts one or
// begins to drain one.
func (p *Planner) makeRoom(now time.Duration, adapter string) (Order, bool) {
	if len(p.slots) < p.config.Capacity {
		if p.count(loading) >= p.config.TransitLimit {
			return Order{}, false
		}
		return Order{Model: p.model, Adapter: adapter}, true
	}
	if victim := p.idle(now); victim != "" {
		return Order{Unload: true, Model: p.model, Adapter: victim}, true
	}
	if p.count(draining) < p.config.MaxDraining {
		p.drain(now)
	}
	return Order{}, false
}

// idle returns the evictable adapter that was used least; those that drain come
// first.
func (p *Planner) idle(now time.Duration) string {
	best := ""
	for _, adapter := range slices.Sorted(maps.Keys(p.slots)) {
		s := p.slots[adapter]
		if !p.evictable(now, adapter, s) {
			continue
		}
		if best == "" || s.phase > p.slots[best].phase ||
			s.phase == p.slots[best].phase && p.decayed(now, s) < p.decayed(now, p.slots[best]) {
			best = adapter
		}
	}
	return best
}

func (p *Planner) evictable(now time.Duration, adapter string, s *slot) bool {
	return (s.phase == ready || s.phase == draining) && p.wants[adapter] == nil && s.running == 0 &&
		now-s.lastUsed >= p.config.IdleGrace && now-s.readyAt >= p.config.FreshGrace
}

// drain stops new requests for the adapter in use that was used least.
func (p *Planner) drain(now time.Duration) {
	best := ""
	for _, adapter := range slices.Sorted(maps.Keys(p.slots)) {
		s := p.slots[adapter]
		if s.phase != ready || p.wants[adapter] != nil || now-s.readyAt < p.config.FreshGrace {
			continue
		}
		if best == "" || p.decayed(now, s) < p.decayed(now, p.slots[best]) {
			best = adapter
		}
	}
	if best != "" {
		p.slots[best].phase, p.slots[best].since = draining, now
	}
}

// begin records an order that is about to be sent.
func (p *Planner) begin(now time.Duration, order Order) {
	switch {
	case order.Adapter == "":
		p.modelUntil = now + p.modelTime
	case order.Unload:
		s := p.slots[order.Adapter]
		s.checking = s.phase == unloading
		s.phase, s.since = unloading, now
	default:
		if s := p.slots[order.Adapter]; s != nil {
			s.checking = true
			return
		}
		if w := p.wants[order.Adapter]; w != nil {
			p.sampleTurnover(now, w)
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

// unreachableWait is how long orders are held back after a worker could not be
// reached; the store tells of a restart within about as long.
const unreachableWait = 400 * time.Millisecond

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
	switch {
	case result == Unreachable:
		p.retryAt = now + unreachableWait
	case result == Rejected && !p.hasChecks(now):
		p.retryAt = now + rejectedWait
	}
}

// hasChecks tells whether a load's end is asked for soon, which a rejection of
// another order must not hold back.
func (p *Planner) hasChecks(now time.Duration) bool {
	for _, s := range p.slots {
		if (s.phase == loading || s.phase == unloading) && s.readyAt < now+rejectedWait {
			return true
		}
	}
	return false
}

func (p *Planner) modelOrdered(now time.Duration, result Result) {
	switch result {
	case Done:
		p.hasModel, p.modelUntil = true, 0
	case Rejected, Unreachable:
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
	first := !s.checking
	s.checking = false
	switch {
	case result == Done:
		delete(p.slots, adapter)
		p.evicted[adapter] = now
	case result.notTaken() && first:
		s.phase, s.since = draining, now
	default:
		s.readyAt = now + p.config.CheckEvery
	}
}

func (p *Planner) loadOrdered(now time.Duration, adapter string, result Result) {
	s := p.slots[adapter]
	if s == nil {
		return
	}
	first := !s.checking
	s.checking = false
	switch {
	case result == Done:
		s.phase, s.since, s.readyAt = ready, now, now
		p.remember(adapter)
	case result.notTaken() && first:
		delete(p.slots, adapter)
	case first:
		s.since, s.readyAt = now, now+p.loadTime(adapter)
	default:
		s.readyAt = now + p.config.CheckEvery
	}
}

// remember notes that the worker has a copy in host memory.
func (p *Planner) remember(adapter string) {
	p.warm = slices.DeleteFunc(p.warm, func(a string) bool { return a == adapter })
	p.warm = append(p.warm, adapter)
	if len(p.warm) > p.config.WarmCopies {
		p.warm = p.warm[1:]
	}
}

// Expecting tells whether a report is waited for: the end of a load of the model
// shows there only.
func (p *Planner) Expecting() bool {
	return !p.hasModel
}

// notTaken tells that the worker does not carry the order out.
func (r Result) notTaken() bool { return r == Rejected || r == Unreachable }

var resultNames = [...]string{"accepted", "done", "rejected", "unreachable", "unknown"}

// String returns the result's name in logs.
func (r Result) String() string { return resultNames[r] }
