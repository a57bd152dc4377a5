// Package explain is the interface between an instance that dispatches directly and the
// command that asks it where a request would be sent now, and why.
package explain

import (
	"math"
	"time"
)

// Explanation is what an instance would do with a request now.
type Explanation struct {
	Instance string `json:"instance"`
	// ConfigVersion is that of the configuration in force; 0 if there is none.
	ConfigVersion uint64 `json:"configVersion"`
	// Route and Service are empty if the request would be refused before they are known.
	Route   string `json:"route,omitempty"`
	Service string `json:"service,omitempty"`
	// Targets are the services among which the request ID decides, if there are several.
	Targets      []Target      `json:"targets,omitempty"`
	Organisation *Organisation `json:"organisation,omitempty"`
	// Rank is the priority of the request; 0 is the most urgent.
	Rank int `json:"rank"`
	// Left is the time until the deadline of a request that arrives now.
	Left Milliseconds `json:"leftMs"`
	// Refusal is the response that the instance would send without asking a worker; nil
	// if it would send the request to Worker.
	Refusal *Refusal `json:"refusal,omitempty"`
	Worker  string   `json:"worker,omitempty"`
	// Load is set if the adapter has to be loaded first.
	Load *Load `json:"load,omitempty"`
	// Demand is the recent number of requests for the adapter at all instances.
	Demand float64 `json:"demand"`
	// Candidates are the workers of the service, the lowest estimate first and those that
	// can't serve the request last.
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Target is a service of a route with its weight.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Organisation is what an instance knows of the organisation of a request.
type Organisation struct {
	Name  string `json:"name"`
	Quota *Quota `json:"quota,omitempty"`
}

// Quota is the limit of an organisation. It is nil if there is none.
type Quota struct {
	// Unit is "tokens" or "requests".
	Unit     string  `json:"unit"`
	RatePerS float64 `json:"ratePerS"`
	Burst    float64 `json:"burst"`
	// Cost is what the request counts.
	Cost float64 `json:"cost"`
	// Held is what the instance can spend without asking others; nil if it does not
	// enforce quotas.
	Held *int64 `json:"held,omitempty"`
}

// Refusal is a response of the instance's own.
type Refusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	// RetryAfter is 0 if the response has none. Where callers are spread at random, it
	// is one value of the range.
	RetryAfter Milliseconds `json:"retryAfterMs,omitempty"`
}

// Load is a load that a request waits for.
type Load struct {
	// OrderedBy is the control address of the instance that orders the worker; empty if
	// there is none, so that the load would fail.
	OrderedBy string `json:"orderedBy"`
	// MaxWait is how long the request waits for it at most.
	MaxWait Milliseconds `json:"maxWaitMs"`
}

// Candidate is how a worker is judged.
type Candidate struct {
	Worker     string `json:"worker"`
	DataCentre string `json:"dataCentre"`
	// Excluded is why the worker can't be sent the request; empty if it can.
	Excluded string `json:"excluded,omitempty"`
	// Estimate is the sum of Terms, which hold those that are not 0.
	Estimate Milliseconds `json:"estimateMs"`
	Terms    []Term       `json:"terms"`
	// HoldOff is how long the worker asked for no request.
	HoldOff   Milliseconds `json:"holdOffMs,omitempty"`
	Residency string       `json:"residency,omitempty"`
	// Position is that behind the preferred workers of the adapter, 0 for these.
	Position      int     `json:"position"`
	Running       int     `json:"running"`
	BatchSize     int     `json:"batchSize"`
	WaitingTokens int     `json:"waitingTokens"`
	CacheTokens   int     `json:"cacheTokens"`
	CacheCapacity int     `json:"cacheCapacity"`
	FreeSlots     int     `json:"freeSlots"`
	IdleSlots     int     `json:"idleSlots"`
	Pace          float64 `json:"pace"`
	Suspect       bool    `json:"suspect,omitempty"`
}

// Term is a term of an estimate.
type Term struct {
	Name string       `json:"name"`
	Time Milliseconds `json:"ms"`
}

// Milliseconds is a duration in milliseconds.
type Milliseconds float64

// ToMilliseconds converts a duration, and rounds it to microseconds.
func ToMilliseconds(d time.Duration) Milliseconds {
	return Milliseconds(math.Round(float64(d)/float64(time.Microsecond)) / 1000)
}

// Duration converts m to a duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}
