// Package slots decides which orders one worker gets: it brings the base model
// back after a restart, loads the adapters that requests wait for, and evicts
// others to make room. It never counts on more slots than the worker has, since
// a worker that is told to load more fails.
package slots

import (
	"maps"
	"math"
	"slices"
	"time"
)

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

// Expecting tells whether a report is waited for: the end of a load of the model
// shows there only.
func (p *Planner) Expecting() bool {
	return !p.hasModel
}
