package balance

import "time"

// Term identifies a term of the estimate of the time until a response begins.
type Term uint8

// Terms of an estimate. A new one needs an entry here and in termNames, and its value in
// Config.setTerms.
const (
	// TermRoundTrip is the network round-trip time.
	TermRoundTrip Term = iota
	// TermSteps is the delay by the requests in progress.
	TermSteps
	// TermWaitingPrompts and TermPrompt are the times for reading the prompts that wait
	// at the worker, and the request's own.
	TermWaitingPrompts
	TermPrompt
	// TermInterference is the cost of the pauses that reading the prompt causes for the
	// requests in progress.
	TermInterference
	// TermFullBatch and TermFullCache are the waits for a place in the batch and in the
	// KV cache.
	TermFullBatch
	TermFullCache
	// TermSuspect and TermHeldOffFromPeers make other workers preferred.
	TermSuspect
	TermHeldOffFromPeers
	// TermLoad is the time of a load, TermSpread the cost of a load at a worker that is
	// not a preferred one, and TermEviction the wait for an adapter slot.
	TermLoad
	TermSpread
	TermEviction
	termCount
)

var termNames = [termCount]string{
	TermRoundTrip: "roundTrip", TermSteps: "steps", TermWaitingPrompts: "waitingPrompts", TermPrompt: "prompt",
	TermInterference: "interference", TermFullBatch: "fullBatch", TermFullCache: "fullCache", TermSuspect: "suspect",
	TermHeldOffFromPeers: "heldOffFromPeers", TermLoad: "load", TermSpread: "spread", TermEviction: "eviction",
}

// String returns the name of the term.
func (t Term) String() string { return termNames[t] }

// Terms holds the terms of an estimate, indexed by Term.
type Terms [termCount]time.Duration

// Sum returns the estimate.
func (t *Terms) Sum() time.Duration {
	sum := time.Duration(0)
	for _, value := range t {
		sum += value
	}
	return sum
}

// Exclusion is why a worker can't serve a request.
type Exclusion uint8

// Exclusions.
const (
	Eligible Exclusion = iota
	// Unusable workers can't be used for a reason that is not known.
	Unusable
	Draining
	// ModelMissing workers do not hold the requested model.
	ModelMissing
	// ConnectionsUsed workers have as many requests from this instance as it may have
	// connections to them.
	ConnectionsUsed
	// Avoided workers were tried for this request.
	Avoided
	// HeldOff workers asked this instance for a pause.
	HeldOff
	// NotOrderable workers do not hold the adapter, and no instance can have it loaded.
	NotOrderable
	exclusionCount
)

var exclusionNames = [exclusionCount]string{
	Eligible: "", Unusable: "unusable", Draining: "draining", ModelMissing: "model missing", ConnectionsUsed: "connections used",
	Avoided: "tried before", HeldOff: "asked for a pause", NotOrderable: "adapter missing and no instance orders the worker",
}

// String returns the reason, which is empty for Eligible.
func (e Exclusion) String() string { return exclusionNames[e] }

// MarkUnusable excludes the candidate. The first reason is kept.
func (w *Candidate) MarkUnusable(why Exclusion) {
	w.Usable = false
	if w.unusable == Eligible {
		w.unusable = why
	}
}

// exclusion returns why a worker can't serve the request, or Eligible.
func exclusion(r Request, c *Candidate) Exclusion {
	switch {
	case !c.Usable && c.unusable != Eligible:
		return c.unusable
	case !c.Usable:
		return Unusable
	case c.Avoid:
		return Avoided
	case c.HoldOff > 0:
		return HeldOff
	case r.Adapter != "" && c.Residency == Absent && !c.Orderable:
		return NotOrderable
	}
	return Eligible
}

// Evaluation is how Pick judges a candidate.
type Evaluation struct {
	Candidate *Candidate
	// Exclusion is Eligible for the candidates among which Pick chooses.
	Exclusion Exclusion
	// Terms of the estimate. They are also set for excluded candidates.
	Terms Terms
	// Position is that behind the adapter's preferred workers, 0 for these.
	Position int
}

// Evaluate returns how Pick judges each candidate, in the order of candidates.
func (c Config) Evaluate(r Request, candidates []Candidate) []Evaluation {
	positions := c.rendezvousPositions(r, candidates)
	evaluations := make([]Evaluation, len(candidates))
	for i := range candidates {
		candidate := &candidates[i]
		evaluations[i] = Evaluation{
			Candidate: candidate, Exclusion: exclusion(r, candidate), Position: positions[i],
		}
		c.setTerms(&evaluations[i].Terms, r, candidate, positions[i])
	}
	return evaluations
}
