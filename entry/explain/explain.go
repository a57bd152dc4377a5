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
	// Admission is what admission judges; nil if no worker can take the request.
	Admission *Admission `json:"admission,omitempty"`
	// ExpectedTokens is the expected length of the response; 0 if it is not estimated.
	ExpectedTokens int `json:"expectedTokens,omitempty"`
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
	// Decision is one of the constants below.
	Decision string `json:"decision"`
	// RetryAfter is set if the request would be refused.
	RetryAfter Milliseconds `json:"retryAfterMs,omitempty"`
}

// Decisions by quota.
const (
	QuotaAdmitted = "admitted"
	QuotaRefused  = "refused"
	// QuotaUnknown means that it can't be known without taking quota: the instance holds
	// too little, and another one or its reserve decides.
	QuotaUnknown     = "not known without taking quota"
	QuotaNotEnforced = "not enforced"
)

// Admission is what the decisions under scarcity depend on, at the worker chosen for the
// request.
type Admission struct {
	Worker string `json:"worker"`
	// Wait is the expected time until the response begins, which is compared with Left;
	// Contention is the part of it that other requests cause.
	Wait       Milliseconds `json:"waitMs"`
	Contention Milliseconds `json:"contentionMs"`
	Left       Milliseconds `json:"leftMs"`
	// Target is the target for the time until the response begins, and TargetLeft what
	// remains of it.
	Target     Milliseconds `json:"targetMs"`
	TargetLeft Milliseconds `json:"targetLeftMs"`
	// Work is how long the request is expected to occupy a worker.
	Work Milliseconds `json:"workMs"`
	// ShareRatio is the use of the organisation relative to its share, and ShareClass its
	// order among requests of its rank that wait for an adapter slot. They are nil
	// where requests have no organisations.
	ShareRatio *float64 `json:"shareRatio,omitempty"`
	ShareClass *int     `json:"shareClass,omitempty"`
	AboveShare bool     `json:"aboveShare,omitempty"`
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
	// Estimate is the sum of Terms, which hold those that are not 0, up to rounding.
	Estimate Milliseconds `json:"estimateMs"`
	Terms    []Term       `json:"terms"`
	// Wait is the part of the estimate that admission judges.
	Wait Milliseconds `json:"waitMs"`
	// OlderEra is set if the worker's entry was not seen yet since the store returned from
	// an older copy.
	OlderEra bool `json:"olderEra,omitempty"`
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
	// PromptFactor, StepFactor and LoadFactor are learned times relative to the typical
	// worker of the service; 0 if nothing is learned.
	PromptFactor float64 `json:"promptFactor,omitempty"`
	StepFactor   float64 `json:"stepFactor,omitempty"`
	LoadFactor   float64 `json:"loadFactor,omitempty"`
	// KeptTokens is the part of the prompt that the worker has processed before, and
	// RemainingTokens what the requests in progress are expected to make.
	KeptTokens      int  `json:"keptTokens,omitempty"`
	RemainingTokens int  `json:"remainingTokens,omitempty"`
	Suspect         bool `json:"suspect,omitempty"`
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
