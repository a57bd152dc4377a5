// Package balance chooses the worker for a request: filters drop the workers
// that can't take it, scorers estimate what each other one would cost it in
// time, and the picker takes the cheapest.
package balance

import (
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
	// FreeSlots and IdleSlots count the adapter slots that are empty and those
	// whose adapter has no request.
	FreeSlots, IdleSlots int
	// Distance is the time for a message to the worker and back.
	Distance time.Duration
	// Orderable workers have an instance that gives them orders now.
	Orderable bool
}

// Request is what the choice depends on.
type Request struct {
	// Adapter is empty for requests to the base model or a plain service.
	Adapter string
	Tokens  int
	Rank    int
}

// Config weighs the parts of the estimate.
type Config struct {
	// TokensPerMS is how many prompt tokens a worker reads in a millisecond.
	// Source: the operators' sheets.
	TokensPerMS float64
	// LoadingCost is the expected rest of a load that is under way.
	LoadingCost time.Duration
	// HomeLoad is the cost of an absent adapter at its home, the first worker in
	// rendezvous order, which probably keeps a copy in memory; SecondLoad that at
	// the second, and ColdLoad that anywhere else, where the weight store is asked
	// and another adapter's place is taken.
	HomeLoad, SecondLoad, ColdLoad time.Duration
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
		TokensPerMS:  25,
		LoadingCost:  100 * time.Millisecond,
		HomeLoad:     100 * time.Millisecond,
		SecondLoad:   200 * time.Millisecond,
		ColdLoad:     500 * time.Millisecond, // twice the time, for what it displaces
		EvictionWait: 400 * time.Millisecond,
		StepCost:     2 * time.Millisecond,
		FullCost:     600 * time.Millisecond,
		SuspectCost:  2 * time.Second,
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
	homes := homesOf(r.Adapter, candidates)
	var best Choice
	for i := range candidates {
		candidate := &candidates[i]
		if !eligible(r, candidate) {
			continue
		}
		cost := c.cost(r, candidate, homes)
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
func (c Config) cost(r Request, w *Candidate, homes [2]string) time.Duration {
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
	return total + c.loadCost(r, w, homes)
}

func (c Config) loadCost(r Request, w *Candidate, homes [2]string) time.Duration {
	cost := c.ColdLoad
	switch {
	case r.Adapter == "" || w.Residency == Resident:
		return 0
	case w.Residency == Loading:
		return c.LoadingCost
	case w.ID == homes[0]:
		cost = c.HomeLoad
	case w.ID == homes[1]:
		cost = c.SecondLoad
	}
	if w.FreeSlots+w.IdleSlots == 0 {
		cost += c.EvictionWait
	}
	return cost
}

// homesOf are the first two usable workers in rendezvous order for an adapter.
func homesOf(adapter string, candidates []Candidate) [2]string {
	var homes [2]string
	var scores [2]uint64
	if adapter == "" {
		return homes
	}
	for i := range candidates {
		w := &candidates[i]
		if !w.Usable {
			continue
		}
		score := xxhash.Sum64String(adapter + "\x00" + w.ID)
		switch {
		case homes[0] == "" || score > scores[0]:
			homes[1], scores[1] = homes[0], scores[0]
			homes[0], scores[0] = w.ID, score
		case homes[1] == "" || score > scores[1]:
			homes[1], scores[1] = w.ID, score
		}
	}
	return homes
}
