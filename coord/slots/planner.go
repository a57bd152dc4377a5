// Package slots plans the load and unload orders for the adapter slots of one
// worker. It reloads the base model after a restart, loads the adapters that
// requests wait for, and evicts others to free slots. It never orders more
// adapters than the worker has slots, since a worker that is told to load more
// fails.
package slots

import (
	"maps"
	"math"
	"slices"
	"time"
)

// phase is the state of a slot.
type phase uint8

const (
	loading phase = iota
	ready
	// draining slots get no new requests and are evicted once idle. An adapter in
	// use is drained first, because an engine that unloads it rejects every other
	// order until the adapter's requests have ended.
	draining
	unloading
)

// slot is the known state of an adapter that the worker holds or loads.
type slot struct {
	phase phase
	// readyAt is when the load ended or, while the slot loads or unloads, when to
	// check for the end.
	readyAt time.Duration
	// since is the start of the phase.
	since    time.Duration
	lastUsed time.Duration
	running  int
	// useScore is the decayed time in use, in request-seconds, as of scoredAt.
	useScore float64
	scoredAt time.Duration
	// checking is set while the load or unload order is sent again to find out
	// whether it has completed.
	checking bool
}

// want is the demand of one or more requests for an adapter that isn't ready.
type want struct {
	// ahead is the number of wants that were waiting when this one came.
	ahead int
	// extraRequests is the number of requests for the adapter after the first.
	extraRequests int
	priority      Priority
	since         time.Duration
	expiresAt     time.Duration
}

// Priority orders the requests that wait for adapter slots.
type Priority struct {
	// Rank is the rank of the request; 0 is the most urgent of routes.
	Rank int
	// Share orders requests of a rank by the use of their organisation relative to its
	// share, the lowest first; 0 without organisations.
	Share int
}

// ahead reports whether a want of priority p waits before one of priority other, or beside
// it.
func (p Priority) ahead(other Priority) bool {
	return p.Rank < other.Rank || p.Rank == other.Rank && p.Share <= other.Share
}

// Order is a command to a worker: load the model, load an adapter or unload one.
type Order struct {
	Unload bool
	Model  string
	// Adapter is empty for an order to load the model itself.
	Adapter string
	// FromStore is set for a model that has to be loaded from the weight store,
	// because the worker has no copy.
	FromStore bool
}

// Planner plans the orders for one worker and one model. It sends nothing itself:
// Next returns an order and HandleResult takes its result. Times are durations since
// a common start. A Planner is not safe for concurrent use.
type Planner struct {
	config   Config
	model    string
	hasModel bool
	// modelRetryAt is the earliest time of the next order to load the model: the
	// expected end of the load in progress, or the end of the backoff.
	modelRetryAt time.Duration
	modelTime    time.Duration
	slots        map[string]*slot
	// evictedAt holds the times of recent evictions. Reports that are older than
	// the eviction still list the adapter.
	evictedAt map[string]time.Duration
	wants     map[string]*want
	// warm lists the adapters that the worker probably has in host memory, the
	// latest last.
	warm []string
	// hasLocalWeights is set while the model can be loaded without the weight store.
	hasLocalWeights bool
	synced          bool
	// lastOrderAt is when the last order to the worker ended, valid if hasOrdered is
	// set. Reports of a state from before it are not adopted as a whole.
	lastOrderAt time.Duration
	hasOrdered  bool
	// modelSince is when the model was first known to be loaded.
	modelSince time.Duration
	// inFlight is the order whose result is outstanding.
	inFlight *Order
	// retryAt is the end of the backoff after a failed order.
	retryAt time.Duration
	// turnover is the moving average of the time in which one waiting want gets a
	// slot.
	turnover time.Duration
}

// NewPlanner returns the planner of a worker whose state is unknown until its
// first report. Loading the model takes modelTime.
func NewPlanner(config Config, model string, modelTime time.Duration) *Planner {
	return &Planner{config: config, model: model, modelTime: modelTime, slots: make(map[string]*slot), evictedAt: make(map[string]time.Duration), wants: make(map[string]*want)}
}

// WorkerState is the state of a worker according to one of its reports.
type WorkerState struct {
	HasModel bool
	// HasLocalWeights is set if the worker has a copy of the model's weights on disk or
	// in host memory.
	HasLocalWeights bool
	// Adapters are the loaded adapters.
	Adapters []string
	// Pending are the adapters that are being loaded.
	Pending []string
	// Busy is set while an order to load or unload the model is in progress.
	Busy bool
}

// AssumeOrder records that an order of another planner to the same worker may have been
// accepted as late as at.
func (p *Planner) AssumeOrder(at time.Duration) {
	p.lastOrderAt, p.hasOrdered = max(p.lastOrderAt, at), true
}

// ReportsUsableFrom returns the time from which a report must be requested to be
// adopted as a whole: its state is then later than the last order. It is 0 if any
// report will do, or if the worker's state is known already.
func (p *Planner) ReportsUsableFrom() time.Duration {
	if p.synced || !p.hasOrdered {
		return 0
	}
	return p.lastOrderAt + p.config.ReportLag
}

// HandleReport applies a report that was requested at now. The first report is adopted
// as a whole, unless it may be older than the last order. Later ones may be, so they
// correct only state that has not changed for longer than Config.ReportLag.
func (p *Planner) HandleReport(now time.Duration, state WorkerState) {
	if now < p.ReportsUsableFrom() {
		return
	}
	p.hasLocalWeights = state.HasLocalWeights
	if !p.synced {
		p.applyFirstReport(now, state)
		return
	}
	if state.HasModel && !p.hasModel {
		p.setModelLoaded(now)
	}
	if !state.HasModel && p.hasModel && !state.Busy {
		if now-p.modelSince > p.config.ReportLag {
			p.resetAfterRestart()
		}
		return
	}
	listed := make(map[string]bool)
	for _, a := range append(slices.Clone(state.Adapters), state.Pending...) {
		listed[a] = true
		if p.slots[a] == nil && now-p.evictedAt[a] > p.config.ReportLag {
			p.slots[a] = &slot{phase: ready, since: now, readyAt: now, lastUsed: now}
		}
	}
	for adapter, s := range p.slots {
		if !listed[adapter] && now-s.since > p.config.ReportLag && s.phase != loading {
			delete(p.slots, adapter)
		}
	}
}

// applyFirstReport adopts the state of the first report.
func (p *Planner) applyFirstReport(now time.Duration, state WorkerState) {
	p.synced, p.hasModel, p.modelSince = true, state.HasModel, now
	if state.Busy && !state.HasModel {
		p.modelRetryAt = now + p.modelTime
	}
	for _, a := range state.Adapters {
		p.slots[a] = &slot{phase: ready, since: now, readyAt: now, lastUsed: now}
	}
	for _, a := range state.Pending {
		p.slots[a] = &slot{phase: loading, since: now, readyAt: now + p.config.ColdLoad, lastUsed: now}
	}
}

// setModelLoaded records that the worker holds the model.
func (p *Planner) setModelLoaded(now time.Duration) {
	p.hasModel, p.modelSince, p.modelRetryAt = true, now, 0
}

// resetAfterRestart drops the known state of the worker, until a report shows what it
// holds after the last order. A restart also empties its host memory.
func (p *Planner) resetAfterRestart() {
	p.synced, p.hasModel, p.modelRetryAt, p.inFlight = false, false, 0, nil
	clear(p.slots)
	p.warm = nil
}

// Want records that a request of the given priority needs an adapter until a time.
// Of several requests for an adapter, the first priority, the earliest start and
// the latest end apply.
func (p *Planner) Want(now time.Duration, adapter string, priority Priority, until time.Duration) {
	p.cancelDraining(now, adapter)
	w := p.wants[adapter]
	if w == nil {
		p.wants[adapter] = &want{priority: priority, since: now, expiresAt: until, ahead: p.countAhead(priority)}
		return
	}
	w.extraRequests++
	w.expiresAt = max(w.expiresAt, until)
	if priority.ahead(w.priority) {
		w.priority = priority
	}
}

// cancelDraining makes a wanted adapter that drains available again.
func (p *Planner) cancelDraining(now time.Duration, adapter string) {
	if s := p.slots[adapter]; s != nil && s.phase == draining {
		s.phase, s.since = ready, now
	}
}

// MarkMissing records that the worker rejected a request because it doesn't hold an
// adapter that was known as ready. The load is ordered again, which has no effect
// if the adapter is loaded after all.
func (p *Planner) MarkMissing(now time.Duration, adapter string) {
	if s := p.slots[adapter]; s != nil && s.phase == ready {
		s.phase, s.since, s.readyAt = loading, now, now
	}
}

// SetRunning sets the number of requests in progress for each adapter.
func (p *Planner) SetRunning(now time.Duration, running map[string]int) {
	for adapter, s := range p.slots {
		n := running[adapter]
		if n > 0 || s.running > 0 {
			s.lastUsed = now
		}
		s.useScore = p.decayedUse(now, s) + float64(n)*(now-s.scoredAt).Seconds()
		s.running, s.scoredAt = n, now
	}
}

// decayedUse returns the use score of a slot as of now.
func (p *Planner) decayedUse(now time.Duration, s *slot) float64 {
	return s.useScore * math.Exp2(-float64(now-s.scoredAt)/float64(p.config.UseHalfLife))
}

// Accepts reports whether to accept a want of the given priority: fewer than
// Config.MaxWaiting others wait before it, and the adapter is expected to be loaded
// within wait. Adapters that are already held, loading or wanted are accepted.
func (p *Planner) Accepts(adapter string, priority Priority, wait time.Duration) bool {
	if p.slots[adapter] != nil || p.wants[adapter] != nil {
		return true
	}
	ahead := p.countAhead(priority)
	if p.loadTime(adapter)+time.Duration(ahead)*p.turnover > wait {
		return false
	}
	return ahead < p.config.MaxWaiting
}

// countAhead counts the wants of the given priority or before it that wait for a
// slot.
func (p *Planner) countAhead(priority Priority) int {
	count := 0
	for waiting, w := range p.wants {
		if p.slots[waiting] == nil && w.priority.ahead(priority) {
			count++
		}
	}
	return count
}

// turnoverWeight is the weight of the newest sample in the moving average of the
// turnover.
const turnoverWeight = 0.2

// sampleTurnover updates the turnover with the time that a want waited for a slot.
func (p *Planner) sampleTurnover(now time.Duration, w *want) {
	sample := float64(now-w.since) / float64(w.ahead+1)
	p.turnover += time.Duration(turnoverWeight * (sample - float64(p.turnover)))
}

// InTransit returns the number of adapters that are being loaded.
func (p *Planner) InTransit() int { return p.countIn(loading) }

// Usable reports whether the worker holds the model.
func (p *Planner) Usable() bool { return p.synced && p.hasModel }

// Synced reports whether a report of the worker was applied.
func (p *Planner) Synced() bool { return p.synced }

// Ready reports whether an adapter is loaded and not draining.
func (p *Planner) Ready(adapter string) bool {
	s := p.slots[adapter]
	return s != nil && s.phase == ready
}

// Slot is the state of one slot as shared with other instances.
type Slot struct {
	Adapter string
	Ready   bool
}

// Slots lists the adapters that are ready or being loaded, sorted by name.
func (p *Planner) Slots() []Slot {
	var all []Slot
	for _, adapter := range slices.Sorted(maps.Keys(p.slots)) {
		if s := p.slots[adapter]; s.phase == loading || s.phase == ready {
			all = append(all, Slot{Adapter: adapter, Ready: p.Ready(adapter)})
		}
	}
	return all
}

// Warm reports whether the worker probably has a copy of the adapter in host
// memory.
func (p *Planner) Warm(adapter string) bool { return slices.Contains(p.warm, adapter) }

// NextEvent returns the time after now of the next expiry, check or end of a
// backoff, or 0 if there is none.
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
		earlier(w.expiresAt)
	}
	earlier(p.retryAt)
	earlier(p.modelRetryAt)
	return next
}

// countIn counts the slots in a phase.
func (p *Planner) countIn(in phase) int {
	n := 0
	for _, s := range p.slots {
		if s.phase == in {
			n++
		}
	}
	return n
}

// Next returns the order to send now, if any. It returns no further order until
// HandleResult has taken the result of the last one.
func (p *Planner) Next(now time.Duration) (Order, bool) {
	p.dropExpired(now)
	if !p.synced || p.inFlight != nil || now < p.retryAt {
		return Order{}, false
	}
	order, ok := p.chooseOrder(now)
	if ok {
		p.inFlight = &order
		p.recordOrder(now, order)
	}
	return order, ok
}

// dropExpired drops wants that are fulfilled or expired, and evictions that are
// older than any report may be.
func (p *Planner) dropExpired(now time.Duration) {
	maps.DeleteFunc(p.evictedAt, func(_ string, at time.Duration) bool { return now-at > p.config.ReportLag })
	for adapter, w := range p.wants {
		if now >= w.expiresAt && p.slots[adapter] == nil {
			p.sampleTurnover(now, w)
		}
	}
	maps.DeleteFunc(p.wants, func(adapter string, w *want) bool { return now >= w.expiresAt || p.Ready(adapter) })
}

// chooseOrder returns the next order: the model first, then the check of an
// eviction or a load, then the load of a wanted adapter or the eviction for it.
func (p *Planner) chooseOrder(now time.Duration) (Order, bool) {
	if !p.hasModel {
		if now < p.modelRetryAt {
			return Order{}, false
		}
		return Order{Model: p.model, FromStore: !p.hasLocalWeights}, true
	}
	if p.isEvicting() {
		return p.checkEviction(now)
	}
	if adapter := p.loadToCheck(now); adapter != "" {
		return Order{Model: p.model, Adapter: adapter}, true
	}
	for _, adapter := range p.wantsByPriority(now) {
		if p.slots[adapter] != nil || p.isHeldBack(adapter) {
			continue
		}
		return p.loadOrEvict(now, adapter)
	}
	return Order{}, false
}

// isEvicting reports whether an eviction is in progress. The worker rejects every
// other order until the requests of the evicted adapter have ended.
func (p *Planner) isEvicting() bool { return p.countIn(unloading) > 0 }

// checkEviction sends an unload order again, since only its response shows whether
// the eviction has completed.
func (p *Planner) checkEviction(now time.Duration) (Order, bool) {
	for _, adapter := range slices.Sorted(maps.Keys(p.slots)) {
		if s := p.slots[adapter]; s.phase == unloading && now >= s.readyAt {
			return Order{Unload: true, Model: p.model, Adapter: adapter}, true
		}
	}
	return Order{}, false
}

// loadToCheck returns the adapter whose load has been due for a check for the longest
// time, or "". The load order is sent again, since only its response shows
// that the adapter is loaded: reports lag, and the worker responds with done to an
// unload of an adapter in transit but loads it nevertheless.
func (p *Planner) loadToCheck(now time.Duration) string {
	earliest := ""
	if len(p.slots) > p.config.Capacity {
		return earliest
	}
	for _, adapter := range slices.Sorted(maps.Keys(p.slots)) {
		s := p.slots[adapter]
		if s.phase == loading && now >= s.readyAt && (earliest == "" || s.readyAt < p.slots[earliest].readyAt) {
			earliest = adapter
		}
	}
	return earliest
}

// AwaitsReport reports whether the next report is needed soon: only a report shows
// what the worker holds at first, and that the model is loaded.
func (p *Planner) AwaitsReport() bool {
	return !p.synced || !p.hasModel
}
