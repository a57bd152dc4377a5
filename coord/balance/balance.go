// Package balance chooses the worker for a request. It filters out the workers that
// can't serve the request, estimates for each other one the time until its response
// begins, and picks the one with the lowest estimate.
//
// An adapter's preferred workers come first in its rendezvous order, so that all
// instances send its requests to the same few workers without coordination.
package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Residency is the state of an adapter at a worker.
type Residency uint8

// Residencies, from the worst to the best.
const (
	Absent Residency = iota
	// Loading means that the load is in progress.
	Loading
	// Resident means that the adapter is loaded.
	Resident
)

// Candidate is the known state of one worker at the arrival of a request.
type Candidate struct {
	ID string
	// Usable workers are not draining and hold the requested model. MarkUnusable
	// unsets it and records why.
	Usable   bool
	unusable Exclusion
	// Avoid excludes workers that this request was already sent to.
	Avoid bool
	// Suspect workers failed recently; see Health.
	Suspect bool
	// HoldOff is how long the worker wants no request from this instance, which it
	// turned away; 0 if it may be sent one.
	HoldOff time.Duration
	// HeldOffFromPeers is set while the worker wants no request from some other
	// instances.
	HeldOffFromPeers bool
	// Pace is the expected time that work takes relative to the usual time; 0 counts
	// as 1.
	Pace float64
	// BatchSize is the number of requests that the worker runs at once.
	BatchSize int
	// Running is the known number of requests in progress from all instances.
	Running int
	// WaitingTokens is the number of prompt tokens of the requests whose response
	// has not begun.
	WaitingTokens int
	// CacheTokens is the number of tokens of all requests in progress, and
	// CacheCapacity the number that fit into the worker's KV cache. Both are 0 for
	// plain services.
	CacheTokens, CacheCapacity int
	Residency                  Residency
	// AdapterRunning is the number of requests in progress for the requested
	// adapter, from all instances.
	AdapterRunning int
	// FreeSlots is the number of empty adapter slots, IdleSlots the number of slots
	// whose adapter has no request in progress.
	FreeSlots, IdleSlots int
	// RTT is the network round-trip time to the worker.
	RTT time.Duration
	// InScope workers get their load and unload orders from instances that this one
	// exchanges state with. Only they can be preferred workers of an adapter.
	InScope bool
	// Orderable workers have an instance that sends them orders at present, so that
	// an absent adapter can be loaded.
	Orderable bool
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	// Adapter is empty for requests to the base model or a plain service.
	Adapter string
	// Tokens is the number of prompt tokens.
	Tokens int
	Rank   int
	// Demand is the recent number of requests for the adapter at all instances, as
	// estimated from this instance's own.
	Demand float64
}

// Config holds the costs from which Pick estimates the time until a response
// begins.
type Config struct {
	// TokensPerMS is the number of prompt tokens that a worker processes per
	// millisecond, as the operators specify it.
	TokensPerMS float64
	// LoadingCost is the expected remaining time of a load in progress.
	LoadingCost time.Duration
	// PreferredCost is the time to load an absent adapter at a preferred worker, one of the
	// first in rendezvous order, which probably has a copy in host memory.
	PreferredCost time.Duration
	// SpreadCost is added for each position after the preferred workers in rendezvous
	// order, and divided by the number of requests that share the load. Thus a
	// popular adapter spreads to more workers when its preferred one is busy, and a
	// rare one waits for it. A lower cost spreads sooner, at the expense of slots and
	// of loads from the weight store.
	SpreadCost time.Duration
	// RequestsPerCopy is the number of requests in progress for an adapter that one worker
	// serves without congestion. An adapter gets one more preferred worker for each
	// RequestsPerCopy requests in progress.
	RequestsPerCopy float64
	// MaxSpreadCost is the upper limit of the total spread cost.
	MaxSpreadCost time.Duration
	// EvictionWait is the expected time until a slot is freed if all are in use.
	EvictionWait time.Duration
	// StepCost is the time that each running request adds to a complete response.
	StepCost time.Duration
	// InterferenceShare is the fraction of the time for reading a prompt that is added
	// for each request in progress at the worker, whose events pause meanwhile. A
	// higher one keeps long prompts away from busy workers, at the expense of more
	// copies of adapters.
	InterferenceShare float64
	// FullCost is added if the batch is full, and again if the cache is full. For the
	// batch it grows with the number of requests beyond the batch size.
	FullCost time.Duration
	// SuspectCost is added for suspect workers.
	SuspectCost time.Duration
}

// DefaultConfig returns the costs for engines as the operators specify them.
func DefaultConfig() Config {
	return Config{
		TokensPerMS:       25,
		LoadingCost:       100 * time.Millisecond,
		PreferredCost:     80 * time.Millisecond,
		SpreadCost:        10 * time.Second, // a rare adapter is loaded elsewhere only if its preferred worker is lost
		RequestsPerCopy:   40,               // more than half of a batch
		MaxSpreadCost:     20 * time.Second,
		EvictionWait:      400 * time.Millisecond,
		StepCost:          2 * time.Millisecond,
		InterferenceShare: 0.3,
		FullCost:          600 * time.Millisecond,
		SuspectCost:       2 * time.Second,
	}
}

// Choice is the result of a pick.
type Choice struct {
	Candidate *Candidate
	// Estimate is the expected time until the response begins.
	Estimate time.Duration
}

// Pick returns the eligible candidate with the lowest estimate, or false if none is
// eligible. The choice points into candidates.
func (c Config) Pick(r Request, candidates []Candidate) (Choice, bool) {
	positions := c.rendezvousPositions(r, candidates)
	var best Choice
	var terms Terms
	for i := range candidates {
		candidate := &candidates[i]
		if exclusion(r, candidate) != Eligible {
			continue
		}
		c.setTerms(&terms, r, candidate, positions[i])
		if estimate := terms.Sum(); best.Candidate == nil || estimate < best.Estimate {
			best = Choice{Candidate: candidate, Estimate: estimate}
		}
	}
	return best, best.Candidate != nil
}

// ShortestHoldOff returns how long it takes until the first candidate that could serve
// the request otherwise may be sent one; false if none is only held off.
func ShortestHoldOff(candidates []Candidate) (time.Duration, bool) {
	shortest, found := time.Duration(0), false
	for i := range candidates {
		c := &candidates[i]
		if !c.Usable || c.Avoid || c.HoldOff <= 0 {
			continue
		}
		if !found || c.HoldOff < shortest {
			shortest, found = c.HoldOff, true
		}
	}
	return shortest, found
}

// setTerms sets the terms of the expected time until the response begins. It takes pointers
// because it runs for each worker and request.
func (c *Config) setTerms(terms *Terms, r Request, w *Candidate, position int) {
	*terms = Terms{TermRoundTrip: w.RTT, TermSteps: w.atPace(time.Duration(w.Running) * c.StepCost)}
	if w.CacheCapacity > 0 {
		prompt := c.prefillTime(r.Tokens)
		terms[TermWaitingPrompts] = w.atPace(c.prefillTime(w.WaitingTokens))
		terms[TermPrompt] = w.atPace(prompt)
		terms[TermInterference] = w.atPace(time.Duration(c.InterferenceShare * float64(w.Running) * float64(prompt)))
	}
	if w.BatchSize > 0 && w.Running >= w.BatchSize {
		terms[TermFullBatch] = c.FullCost * time.Duration(1+(w.Running-w.BatchSize)*4/w.BatchSize)
	}
	if w.CacheCapacity > 0 && w.CacheTokens+r.Tokens > w.CacheCapacity {
		terms[TermFullCache] = c.FullCost
	}
	if w.Suspect {
		terms[TermSuspect] = c.SuspectCost
	}
	if w.HeldOffFromPeers {
		terms[TermHeldOffFromPeers] = c.FullCost
	}
	c.addLoadTerms(terms, r, w, position)
}

// atPace returns the time that work takes at the worker's pace.
func (w *Candidate) atPace(work time.Duration) time.Duration {
	if w.Pace > 0 {
		return time.Duration(w.Pace * float64(work))
	}
	return work
}

// prefillTime returns the time that reading prompt tokens takes at the usual pace.
func (c *Config) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / c.TokensPerMS * float64(time.Millisecond))
}

// addLoadTerms adds the terms of the expected wait for the adapter.
func (c *Config) addLoadTerms(terms *Terms, r Request, w *Candidate, position int) {
	switch {
	case r.Adapter == "" || w.Residency == Resident:
		return
	case w.Residency == Loading:
		terms[TermLoad] = c.LoadingCost
		return
	}
	terms[TermLoad] = c.PreferredCost
	terms[TermSpread] = min(time.Duration(float64(c.SpreadCost)*float64(position)/(1+r.Demand)), c.MaxSpreadCost)
	if w.FreeSlots+w.IdleSlots == 0 {
		terms[TermEviction] = c.EvictionWait
	}
}

// rendezvousPositions returns for each candidate its position behind the preferred
// workers in the adapter's rendezvous order over the usable candidates in scope: 0
// for the preferred workers, and the position after the last for all others.
func (c Config) rendezvousPositions(r Request, candidates []Candidate) []int {
	positions := make([]int, len(candidates))
	if r.Adapter == "" {
		return positions
	}
	type scored struct {
		candidate int
		score     uint64
	}
	order, running := make([]scored, 0, len(candidates)), 0
	for i := range candidates {
		running += candidates[i].AdapterRunning
		if candidates[i].Usable && candidates[i].InScope {
			order = append(order, scored{i, xxhash.Sum64String(r.Adapter + "\x00" + candidates[i].ID)})
		}
	}
	slices.SortFunc(order, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	preferred := 1 + int(float64(running)/c.RequestsPerCopy)
	for i := range positions {
		positions[i] = max(0, len(order)-preferred+1)
	}
	for position, s := range order {
		positions[s.candidate] = max(0, position-preferred+1)
	}
	return positions
}
