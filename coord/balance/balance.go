// Package balance chooses the worker for a request: filters drop the workers
// that can't take it, scorers estimate what each other one would cost it in
// time, and the picker takes the cheapest.
package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Residency tells where an adapter is as seen by a worker.
type Residency uint8

// The residencies, the worst first.
const (
	Absent Residency = iota
	Loading
	Resident
)

// Candidate is what is known of one worker when a request comes.
type Candidate struct {
	ID string
	// Usable workers are not draining and hold the model that is asked for.
	Usable bool
	// Avoid marks workers that this request was sent to before.
	Avoid bool
	// Suspect workers failed lately; see Outlier.
	Suspect bool
	// BatchSize is the number of requests that run at once.
	BatchSize int
	// Running counts the requests in progress from all instances, as far as known.
	Running int
	// WaitingTokens are the prompt tokens of those that have not begun to answer.
	WaitingTokens int
	// CacheTokens are the tokens of all requests in progress, CacheCapacity the
	// worker's room for them; 0 for plain services.
	CacheTokens, CacheCapacity int
	Residency                  Residency
	// AdapterRunning counts the requests in progress for the adapter that is asked
	// for, from all instances.
	AdapterRunning int
	// FreeSlots and IdleSlots count the adapter slots that are empty and those
	// whose adapter has no request.
	FreeSlots, IdleSlots int
	// Distance is the time for a message to the worker and back.
	Distance time.Duration
	// InScope workers are ordered by the instances that this one is in touch with;
	// an adapter's home is one of them.
	InScope bool
	// Orderable workers have an instance that gives them orders now.
	Orderable bool
}

// Request is what the choice depends on.
type Request struct {
	// Adapter is empty for requests to the base model or a plain service.
	Adapter string
	Tokens  int
	Rank    int
	// Demand is the number of requests for the adapter lately, over all instances
	// as far as this one can guess from its own.
	Demand float64
}

// Config weighs the parts of the estimate.
type Config struct {
	// TokensPerMS is how many prompt tokens a worker reads in a millisecond.
	// Source: the operators' sheets.
	TokensPerMS float64
	// LoadingCost is the expected rest of a load that is under way.
	LoadingCost time.Duration
	// HomeCost is the cost of an absent adapter at its home, the first worker in
	// rendezvous order, which probably keeps a copy in host memory.
	HomeCost time.Duration
	// SpreadCost is added for each place further down that order, and divided by
	// the requests that share the load: a popular adapter is spread over several
	// workers when its home is busy, a rare one waits for its home. Lower spreads
	// sooner, and spends slots and loads from the store.
	SpreadCost time.Duration
	// CopyLoad is the number of requests in progress for an adapter that one worker
	// takes at ease: a more popular adapter has several homes, one more for each.
	CopyLoad float64
	// MaxSpreadCost bounds the cost of any place.
	MaxSpreadCost time.Duration
	// EvictionWait is how long an adapter waits where all slots are in use.
	EvictionWait time.Duration
	// StepCost is what each running request adds to the time of a full answer.
	StepCost time.Duration
	// FullCost is added where the batch or the cache is full.
	FullCost time.Duration
	// SuspectCost is added for workers that failed lately.
	SuspectCost time.Duration
}

// DefaultConfig returns the weights for engines as the operators' sheets
// describe them.
func DefaultConfig() Config {
	return Config{
		TokensPerMS:   25,
		LoadingCost:   100 * time.Millisecond,
		HomeCost:      80 * time.Millisecond,
		SpreadCost:    10 * time.Second, // a rare adapter is loaded elsewhere only when its home is lost
		CopyLoad:      40,               // more than half of a batch
		MaxSpreadCost: 20 * time.Second,
		EvictionWait:  400 * time.Millisecond,
		StepCost:      2 * time.Millisecond,
		FullCost:      600 * time.Millisecond,
		SuspectCost:   2 * time.Second,
	}
}

// Choice is the result of a pick.
type Choice struct {
	Candidate *Candidate
	// Estimate is the expected time until the answer begins.
	Estimate time.Duration
}

// Pick returns the cheapest usable candidate, or false where there is none.
func (c Config) Pick(r Request, candidates []Candidate) (Choice, bool) {
	places := c.placesOf(r, candidates)
	var best Choice
	for i := range candidates {
		candidate := &candidates[i]
		if !eligible(r, candidate) {
			continue
		}
		cost := c.cost(r, candidate, places[i])
		if best.Candidate == nil || cost < best.Estimate {
			best = Choice{Candidate: candidate, Estimate: cost}
		}
	}
	return best, best.Candidate != nil
}

// eligible filters workers that can't take the request.
func eligible(r Request, c *Candidate) bool {
	if !c.Usable || c.Avoid {
		return false
	}
	return r.Adapter == "" || c.Residency != Absent || c.Orderable
}

// cost estimates the time until the answer begins.
func (c Config) cost(r Request, w *Candidate, place int) time.Duration {
	total := w.Distance + time.Duration(w.Running)*c.StepCost
	if w.CacheCapacity > 0 {
		total += time.Duration(float64(w.WaitingTokens+r.Tokens) / c.TokensPerMS * float64(time.Millisecond))
	}
	if w.BatchSize > 0 && w.Running >= w.BatchSize {
		total += c.FullCost * time.Duration(1+(w.Running-w.BatchSize)*4/w.BatchSize)
	}
	if w.CacheCapacity > 0 && w.CacheTokens+r.Tokens > w.CacheCapacity {
		total += c.FullCost
	}
	if w.Suspect {
		total += c.SuspectCost
	}
	return total + c.loadCost(r, w, place)
}

func (c Config) loadCost(r Request, w *Candidate, place int) time.Duration {
	switch {
	case r.Adapter == "" || w.Residency == Resident:
		return 0
	case w.Residency == Loading:
		return c.LoadingCost
	}
	spread := time.Duration(float64(c.SpreadCost) * float64(place) / (1 + r.Demand))
	cost := c.HomeCost + min(spread, c.MaxSpreadCost)
	if w.FreeSlots+w.IdleSlots == 0 {
		cost += c.EvictionWait
	}
	return cost
}

// placesOf gives each candidate's place in the adapter's rendezvous order over
// the usable ones in scope: 0 for its homes.
func (c Config) placesOf(r Request, candidates []Candidate) []int {
	places := make([]int, len(candidates))
	if r.Adapter == "" {
		return places
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
	homes := 1 + int(float64(running)/c.CopyLoad)
	for i := range places {
		places[i] = max(0, len(order)-homes+1)
	}
	for place, s := range order {
		places[s.candidate] = max(0, place-homes+1)
	}
	return places
}
