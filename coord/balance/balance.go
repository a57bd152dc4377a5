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
	// Usable workers are not draining and hold the requested model.
	Usable bool
	// unusable is why a worker is not usable, for explanations; see MarkUnusable.
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
	// PromptFactor, StepFactor and LoadFactor are the learned times of prompts, steps
	// and loads relative to the typical worker of the service; 0 counts as 1.
	PromptFactor, StepFactor, LoadFactor float64
	// KeptTokens is the number of tokens at the start of the request's prompt that the
	// worker has processed before.
	KeptTokens int
	// RemainingTokens is the expected number of output tokens of the requests in
	// progress; 0 if it is unknown.
	RemainingTokens int
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
	// OutputTokens is the expected number of tokens of the response, and TokenTime the
	// mean time per token at the service; 0 if they are unknown.
	OutputTokens int
	TokenTime    time.Duration
	// Seed selects the random terms of the estimates of workers with learned factors.
	Seed uint64
	Rank int
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
	// SuspectCost is added for suspect workers. It is a preference for other workers and
	// no part of the expected wait.
	SuspectCost time.Duration
	// ResponseShare is the fraction of the expected time of the response after its
	// beginning that is added, as far as it differs from that at a typical worker.
	ResponseShare float64
	// RandomShare is the largest fraction that is added at random to the estimate of a
	// worker with a learned factor. Instances that see the same state
	// would all send their requests to one fast worker without it.
	RandomShare float64
	// MinSlotWait and MaxSlotWait, as multiples of FullCost, bound the wait for a place
	// in a full batch or cache that is computed from the remaining tokens.
	MinSlotWait, MaxSlotWait float64
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
		ResponseShare:     0.1,
		RandomShare:       0.1,
		MinSlotWait:       0.5,
		MaxSlotWait:       3,
	}
}

// Choice is the result of a pick.
type Choice struct {
	Candidate *Candidate
	// Estimate is the expected time until the response begins, with the costs that only
	// make other workers preferred.
	Estimate time.Duration
	// Wait is the expected time until the response begins, without SuspectCost: a request
	// to a suspect worker does not wait for the suspicion to end.
	Wait time.Duration
	// Contention is the part of the wait that other requests cause.
	Contention time.Duration
	// Direct is set if it holds no wait for an adapter or for a place in the batch or
	// the cache.
	Direct bool
}

// Pick returns the eligible candidate with the lowest estimate, or false if none is
// eligible. Learned figures add terms that only serve to compare workers. The choice
// points into candidates.
func (c Config) Pick(r Request, candidates []Candidate) (Choice, bool) {
	positions := c.rendezvousPositions(r, candidates)
	var best Choice
	var bestScore time.Duration
	for i := range candidates {
		candidate := &candidates[i]
		if !isEligible(r, candidate) {
			continue
		}
		choice := c.choice(r, candidate, positions[i])
		score := choice.Estimate
		if candidate.isLearned() {
			score += c.learnedTerms(r, candidate, choice.Estimate)
		}
		if best.Candidate == nil || score < bestScore {
			best, bestScore = choice, score
		}
	}
	best.Direct = best.Candidate != nil && isDirect(r, best.Candidate)
	return best, best.Candidate != nil
}

// isDirect returns Choice.Direct.
func isDirect(r Request, w *Candidate) bool {
	isFull := w.BatchSize > 0 && w.Running >= w.BatchSize || w.CacheTokens+r.Tokens > w.CacheCapacity
	return w.CacheCapacity > 0 && !isFull && (r.Adapter == "" || w.Residency == Resident)
}

// PickSoonest returns the eligible candidate with the shortest wait, whether it is suspect
// or not; false if none is eligible. It is for requests that would come too late at the
// candidate that Pick prefers.
func (c Config) PickSoonest(r Request, candidates []Candidate) (Choice, bool) {
	positions := c.rendezvousPositions(r, candidates)
	var best Choice
	for i := range candidates {
		candidate := &candidates[i]
		if !isEligible(r, candidate) {
			continue
		}
		choice := c.choice(r, candidate, positions[i])
		if best.Candidate == nil || choice.Wait < best.Wait {
			best = choice
		}
	}
	best.Direct = best.Candidate != nil && isDirect(r, best.Candidate)
	return best, best.Candidate != nil
}

// PickLeastContended returns the eligible candidate at which other requests delay this one
// least, of several the one with the shortest wait; false if none is eligible. It is for
// requests that may not add to the queue of the candidate that Pick prefers: whether an
// adapter is preferred at the worker does not count.
func (c Config) PickLeastContended(r Request, candidates []Candidate) (Choice, bool) {
	var best Choice
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Suspect || !isEligible(r, candidate) {
			continue
		}
		choice := c.choice(r, candidate, 0)
		if best.Candidate == nil || choice.Contention < best.Contention || choice.Contention == best.Contention && choice.Wait < best.Wait {
			best = choice
		}
	}
	best.Direct = best.Candidate != nil && isDirect(r, best.Candidate)
	return best, best.Candidate != nil
}

// choice returns the choice of a candidate.
func (c Config) choice(r Request, candidate *Candidate, position int) Choice {
	wait := c.wait(r, candidate, position)
	choice := Choice{Candidate: candidate, Estimate: wait, Wait: wait, Contention: c.contention(r, candidate)}
	if candidate.Suspect {
		choice.Estimate += c.SuspectCost
	}
	return choice
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

// isEligible reports whether a worker can serve the request.
func isEligible(r Request, c *Candidate) bool {
	if !c.Usable || c.Avoid || c.HoldOff > 0 {
		return false
	}
	return r.Adapter == "" || c.Residency != Absent || c.Orderable
}

// wait returns the expected time until the response begins.
func (c Config) wait(r Request, w *Candidate, position int) time.Duration {
	work := time.Duration(orOne(w.StepFactor) * float64(c.stepWork(w)))
	if w.CacheCapacity > 0 {
		work += time.Duration(orOne(w.PromptFactor) * float64(c.promptWork(r, w)))
	}
	return w.RTT + atPace(w, work) + c.scarcityCost(r, w) + c.loadCost(r, w, position)
}

// contention returns the part of the wait that other requests at the worker cause. That
// running requests slow each other is no sign of scarcity while the batch has room.
func (c Config) contention(r Request, w *Candidate) time.Duration {
	work := time.Duration(0)
	if w.BatchSize <= 0 {
		work += time.Duration(orOne(w.StepFactor) * float64(c.stepWork(w)))
	}
	if w.CacheCapacity > 0 {
		work += time.Duration(orOne(w.PromptFactor) * float64(c.prefillTime(w.WaitingTokens)))
	}
	return atPace(w, work) + c.scarcityCost(r, w)
}

// scarcityCost returns the wait for room at the worker, for what other requests hold of it.
func (c Config) scarcityCost(r Request, w *Candidate) time.Duration {
	total := time.Duration(0)
	if w.BatchSize > 0 && w.Running >= w.BatchSize {
		total += c.slotWait(r, w) * time.Duration(1+(w.Running-w.BatchSize)*4/w.BatchSize)
	}
	if w.CacheCapacity > 0 && w.CacheTokens+r.Tokens > w.CacheCapacity {
		total += c.slotWait(r, w)
	}
	if w.HeldOffFromPeers {
		total += c.FullCost
	}
	if r.Adapter != "" && w.Residency == Absent && w.FreeSlots+w.IdleSlots == 0 {
		total += c.EvictionWait
	}
	return total
}

// atPace returns the time that work takes at a worker's pace.
func atPace(w *Candidate, work time.Duration) time.Duration {
	if w.Pace > 0 {
		return time.Duration(w.Pace * float64(work))
	}
	return work
}

// orOne returns a factor, or 1 for 0.
func orOne(factor float64) float64 {
	if factor == 0 {
		return 1
	}
	return factor
}

// isLearned reports whether prompts or steps take a different time at the worker than
// at a typical one.
func (w *Candidate) isLearned() bool { return orOne(w.PromptFactor) != 1 || orOne(w.StepFactor) != 1 }

// stepWork returns the delay by the requests in progress.
func (c Config) stepWork(w *Candidate) time.Duration { return time.Duration(w.Running) * c.StepCost }

// promptWork returns the time for reading the waiting prompts and the request's own, and
// for the pauses that the latter causes.
func (c Config) promptWork(r Request, w *Candidate) time.Duration {
	own := max(r.Tokens-w.KeptTokens, 0)
	return c.prefillTime(w.WaitingTokens+own) + time.Duration(c.InterferenceShare*float64(w.Running)*float64(c.prefillTime(own)))
}

// learnedTerms returns the terms of workers that differ from a typical one: how much
// longer the response takes there, and a random one.
func (c Config) learnedTerms(r Request, w *Candidate, estimate time.Duration) time.Duration {
	response := c.ResponseShare * float64(r.OutputTokens) * float64(r.TokenTime) * (orOne(w.StepFactor) - 1)
	random := 0.0
	if r.Seed != 0 {
		random = c.RandomShare * float64(estimate) * unitRandom(r.Seed, w.ID)
	}
	return time.Duration(response + random)
}

// unitRandom returns a number from 0 to 1 that depends on the seed and the worker.
func unitRandom(seed uint64, id string) float64 {
	x := seed
	for i := range len(id) {
		x = (x ^ uint64(id[i])) * 0x9e3779b97f4a7c15
		x ^= x >> 29
	}
	return float64(x>>11) / (1 << 53)
}

// slotWait returns the wait for a place in a full batch or cache: the mean time until
// one of the running requests ends, if their remaining tokens are known.
func (c Config) slotWait(r Request, w *Candidate) time.Duration {
	if w.RemainingTokens <= 0 || r.TokenTime <= 0 || w.Running <= 0 {
		return c.FullCost
	}
	perRequest := float64(w.RemainingTokens) / float64(w.Running) * float64(r.TokenTime) * orOne(w.StepFactor)
	wait := c.FullCost.Seconds() * perRequest / fullCostRemainder.Seconds()
	longest := c.MaxSlotWait
	if !w.isLearned() {
		longest = 1 // a worker like the others must not refuse what it took without figures
	}
	return time.Duration(min(max(wait, c.MinSlotWait*c.FullCost.Seconds()), longest*c.FullCost.Seconds()) * float64(time.Second))
}

// fullCostRemainder is the mean remaining time of the requests in a batch for which
// FullCost was set.
const fullCostRemainder = 2 * time.Second

// prefillTime returns the time that reading prompt tokens takes at the usual pace.
func (c Config) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / c.TokensPerMS * float64(time.Millisecond))
}

// loadCost returns the expected wait for the adapter, without that for a slot.
func (c Config) loadCost(r Request, w *Candidate, position int) time.Duration {
	switch {
	case r.Adapter == "" || w.Residency == Resident:
		return 0
	case w.Residency == Loading:
		return time.Duration(orOne(w.LoadFactor) * float64(c.LoadingCost))
	}
	spread := time.Duration(float64(c.SpreadCost) * float64(position) / (1 + r.Demand))
	return time.Duration(orOne(w.LoadFactor)*float64(c.PreferredCost)) + min(spread, c.MaxSpreadCost)
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
