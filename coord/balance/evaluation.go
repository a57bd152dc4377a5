package balance

import "time"

// Term identifies a term of what Pick compares: the estimate of the time until a response
// begins, and how much longer the response takes.
type Term uint8

// Terms of a score. A new one needs an entry here and in termNames, and its value in
// Config.terms.
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
	// TermResponse is how much longer than at a typical worker the response takes, as far
	// as it counts; negative at a faster one.
	TermResponse
	termCount
)

var termNames = [termCount]string{
	TermRoundTrip: "roundTrip", TermSteps: "steps", TermWaitingPrompts: "waitingPrompts", TermPrompt: "prompt",
	TermInterference: "interference", TermFullBatch: "fullBatch", TermFullCache: "fullCache", TermSuspect: "suspect",
	TermHeldOffFromPeers: "heldOffFromPeers", TermLoad: "load", TermSpread: "spread", TermEviction: "eviction", TermResponse: "response",
}

// String returns the name of the term.
func (t Term) String() string { return termNames[t] }

// Terms holds the terms of a score, indexed by Term.
type Terms [termCount]time.Duration

// Sum returns the score.
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
	case isEligible(r, c):
		return Eligible
	case !c.Usable && c.unusable != Eligible:
		return c.unusable
	case !c.Usable:
		return Unusable
	case c.Avoid:
		return Avoided
	case c.HoldOff > 0:
		return HeldOff
	}
	return NotOrderable
}

// Evaluation is how Pick judges a candidate.
type Evaluation struct {
	// Choice is what Pick or PickSoonest returns if it chooses the candidate. It is also
	// set for excluded candidates, like Terms and Score.
	Choice
	// Exclusion is Eligible for the candidates among which Pick chooses.
	Exclusion Exclusion
	// Score is what Pick compares, with the random term if the request has a seed.
	Score time.Duration
	// Terms of the score without the random one.
	Terms Terms
	// Position is that behind the adapter's preferred workers, 0 for these.
	Position int
}

// Evaluate returns how Pick judges each candidate, in the order of candidates. It costs
// more than Pick, which does not tell the terms apart.
func (c Config) Evaluate(r Request, candidates []Candidate) []Evaluation {
	positions := c.rendezvousPositions(r, candidates)
	evaluations := make([]Evaluation, len(candidates))
	for i := range candidates {
		candidate := &candidates[i]
		e := Evaluation{Choice: c.choice(r, candidate, positions[i]), Exclusion: exclusion(r, candidate), Position: positions[i]}
		e.Direct = isDirect(r, candidate)
		e.Score = e.Estimate
		if candidate.isLearned() {
			e.Score += c.learnedTerms(r, candidate, e.Estimate)
		}
		e.Terms = c.terms(r, candidate, positions[i])
		evaluations[i] = e
	}
	return evaluations
}

// terms returns the terms of a score without the random one. Their sum differs from the
// score by rounding.
func (c Config) terms(r Request, w *Candidate, position int) Terms {
	t := Terms{TermRoundTrip: w.RTT, TermSteps: scaled(w, w.StepFactor, c.stepWork(w))}
	if w.CacheCapacity > 0 {
		prompt := c.prefillTime(max(r.Tokens-w.KeptTokens, 0))
		t[TermWaitingPrompts] = scaled(w, w.PromptFactor, c.prefillTime(w.WaitingTokens))
		t[TermPrompt] = scaled(w, w.PromptFactor, prompt)
		t[TermInterference] = scaled(w, w.PromptFactor, time.Duration(c.InterferenceShare*float64(w.Running)*float64(prompt)))
	}
	c.addScarcityTerms(&t, r, w)
	c.addLoadTerms(&t, r, w, position)
	if w.Suspect {
		t[TermSuspect] = c.SuspectCost
	}
	if w.isLearned() {
		r.Seed = 0
		t[TermResponse] = c.learnedTerms(r, w, 0)
	}
	return t
}

// scaled returns the time that work takes at the worker.
func scaled(w *Candidate, factor float64, work time.Duration) time.Duration {
	return atPace(w, time.Duration(orOne(factor)*float64(work)))
}

// addScarcityTerms adds the terms of scarcityCost.
func (c Config) addScarcityTerms(t *Terms, r Request, w *Candidate) {
	if w.BatchSize > 0 && w.Running >= w.BatchSize {
		t[TermFullBatch] = c.slotWait(r, w) * time.Duration(1+(w.Running-w.BatchSize)*4/w.BatchSize)
	}
	if w.CacheCapacity > 0 && w.CacheTokens+r.Tokens > w.CacheCapacity {
		t[TermFullCache] = c.slotWait(r, w)
	}
	if w.HeldOffFromPeers {
		t[TermHeldOffFromPeers] = c.FullCost
	}
	if r.Adapter != "" && w.Residency == Absent && w.FreeSlots+w.IdleSlots == 0 {
		t[TermEviction] = c.EvictionWait
	}
}

// addLoadTerms adds the terms of loadCost.
func (c Config) addLoadTerms(t *Terms, r Request, w *Candidate, position int) {
	total := c.loadCost(r, w, position)
	if r.Adapter != "" && w.Residency == Absent {
		t[TermSpread] = min(time.Duration(float64(c.SpreadCost)*float64(position)/(1+r.Demand)), c.MaxSpreadCost)
	}
	t[TermLoad] = total - t[TermSpread]
}
