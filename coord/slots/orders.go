package slots

import (
	"slices"
	"time"
)

// Result is the outcome of an order.
type Result uint8

// Outcomes of orders.
const (
	// Accepted means that the worker has started to execute the order.
	Accepted Result = iota
	// Done means that the worker already is in the state that the order asks for.
	Done
	// Rejected means that the worker refused the order.
	Rejected
	// Unreachable means that the order did not reach the worker.
	Unreachable
	// Unknown means that no response came: the worker may have accepted the order.
	Unknown
)

// isNotExecuted reports whether the worker certainly does not execute the order.
func (r Result) isNotExecuted() bool { return r == Rejected || r == Unreachable }

var resultNames = [...]string{"accepted", "done", "rejected", "unreachable", "unknown"}

// String returns the name of the result in logs.
func (r Result) String() string { return resultNames[r] }

// recordOrder updates the state for an order that is about to be sent.
func (p *Planner) recordOrder(now time.Duration, order Order) {
	switch {
	case order.Adapter == "":
		p.modelRetryAt = now + p.modelTime
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

// loadTime estimates the duration of a load of an adapter.
func (p *Planner) loadTime(adapter string) time.Duration {
	if p.Warm(adapter) {
		return p.config.WarmLoad
	}
	return p.config.ColdLoad
}

// rejectedBackoff is the delay before the next order after one was rejected.
const rejectedBackoff = 60 * time.Millisecond

// unreachableBackoff is the delay before the next order after a worker could not
// be reached. The metadata store reports a restart within about that time.
const unreachableBackoff = 400 * time.Millisecond

// HandleResult records the result of the order that Next returned last.
func (p *Planner) HandleResult(now time.Duration, result Result) {
	order := p.inFlight
	p.inFlight = nil
	p.AssumeOrder(now)
	if order == nil {
		return
	}
	switch {
	case order.Adapter == "":
		p.handleModelResult(now, result)
	case order.Unload:
		p.handleUnloadResult(now, order.Adapter, result)
	default:
		p.handleLoadResult(now, order.Adapter, result)
	}
	switch {
	case result == Unreachable:
		p.retryAt = now + unreachableBackoff
	case result == Rejected && !p.hasImminentCheck(now):
		p.retryAt = now + rejectedBackoff
	}
}

// hasImminentCheck reports whether a load or an eviction is to be checked within
// rejectedBackoff. The rejection of another order must not delay that check.
func (p *Planner) hasImminentCheck(now time.Duration) bool {
	for _, s := range p.slots {
		if (s.phase == loading || s.phase == unloading) && s.readyAt < now+rejectedBackoff {
			return true
		}
	}
	return false
}

// handleModelResult records the result of a load of the model.
func (p *Planner) handleModelResult(now time.Duration, result Result) {
	switch result {
	case Done:
		p.setModelLoaded(now)
	case Rejected, Unreachable:
		p.modelRetryAt = now + rejectedBackoff
	case Accepted, Unknown:
		// A report shows when the model is loaded.
	}
}

// handleUnloadResult records the result of an unload order: of the first one, or
// of one that was sent again as a check.
func (p *Planner) handleUnloadResult(now time.Duration, adapter string, result Result) {
	s := p.slots[adapter]
	if s == nil {
		return
	}
	isFirst := !s.checking
	s.checking = false
	switch {
	case result == Done:
		delete(p.slots, adapter)
		p.evictedAt[adapter] = now
	case result.isNotExecuted() && isFirst:
		s.phase, s.since = draining, now
	default:
		s.readyAt = now + p.config.CheckEvery
	}
}

// handleLoadResult records the result of a load order: of the first one, or of
// one that was sent again as a check.
func (p *Planner) handleLoadResult(now time.Duration, adapter string, result Result) {
	s := p.slots[adapter]
	if s == nil {
		return
	}
	isFirst := !s.checking
	s.checking = false
	switch {
	case result == Done:
		s.phase, s.since, s.readyAt = ready, now, now
		p.addWarm(adapter)
	case result.isNotExecuted() && isFirst:
		delete(p.slots, adapter)
	case isFirst:
		s.since, s.readyAt = now, now+p.loadTime(adapter)
	default:
		s.readyAt = now + p.config.CheckEvery
	}
}

// addWarm records that the worker has a copy of the adapter in host memory, and
// drops the oldest beyond WarmCopies.
func (p *Planner) addWarm(adapter string) {
	p.warm = slices.DeleteFunc(p.warm, func(a string) bool { return a == adapter })
	p.warm = append(p.warm, adapter)
	if len(p.warm) > p.config.WarmCopies {
		p.warm = p.warm[1:]
	}
}
