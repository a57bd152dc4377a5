package slots

import (
	"slices"
	"time"
)

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

// notTaken tells that the worker does not carry the order out.
func (r Result) notTaken() bool { return r == Rejected || r == Unreachable }

var resultNames = [...]string{"accepted", "done", "rejected", "unreachable", "unknown"}

// String returns the result's name in logs.
func (r Result) String() string { return resultNames[r] }

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
	return p.config.ColdLoad
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
