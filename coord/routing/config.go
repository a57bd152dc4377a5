// Package routing finds the route and the service of a request by its host and path
// in the newest known configuration.
package routing

import "time"

// Kind states whether a request may run more than once.
type Kind uint8

// Kinds of requests.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again after any failure.
	Idempotent
	// Stream requests get a stream of events as response. They run at most once
	// unless their route is Resumable.
	Stream
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "non-idempotent"
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is the share relative to the weights of the route's other targets.
	Weight int
}

// Route sends the requests for a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until the response is complete.
	Timeout time.Duration
	// TargetLatency is the target for the time to the first byte; later responses
	// count less than fully.
	TargetLatency time.Duration
	// GapTarget is the target for the longest pause between two events of a stream.
	GapTarget time.Duration
	// Rank is the priority class; 0 is the most urgent.
	Rank    int
	Targets []Target
	// MaxWorkers is the number of workers that one request may be sent to.
	MaxWorkers int
	// Resumable is set if a broken stream may be continued at another worker.
	Resumable bool
	// Public routes need no key.
	Public bool
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Model is a base model that the engines of a service may load.
type Model struct {
	Name string
	// SizeMB is the size of the weights, in megabytes.
	SizeMB float64
	// AdapterSizeMB is the size of one of its adapters, in megabytes.
	AdapterSizeMB float64
	// StoreLoad, DiskLoad and MemoryLoad are the times to load the weights from
	// the weight store, the worker's disk and the worker's host memory.
	StoreLoad, DiskLoad, MemoryLoad time.Duration
}

// Engine describes the workers of a service that runs models.
type Engine struct {
	// BatchSize is the number of requests that run at once.
	BatchSize int
	// CacheTokens is the capacity of the KV cache, in tokens.
	CacheTokens int
	Models      []Model
	// WeightsMB is the memory for model weights and adapters together, in megabytes.
	WeightsMB float64
	// AdapterSlots is the number of adapters that a worker holds.
	AdapterSlots int
	// StoreLoadsPerSecond is the rate of loads that the weight store allows for all
	// workers together.
	StoreLoadsPerSecond float64
}

// Model returns the named model.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service is a group of workers that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the HTTP path of the workers' health check.
	HealthPath string
	// MaxConnections is the number of connections that one worker accepts from all
	// instances together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits holds the limits on what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration of all routes and services.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Organisations is empty if requests need no key.
	Organisations []Organisation
}
