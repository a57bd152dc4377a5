// Package call holds the typed messages of one request's way through the
// system: from ingress to the owner of its worker, to the endpoint and back.
package call

import (
	"io"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// MaxDeadline is the longest deadline a caller may ask for. After an instance was
// lost without a hand-over, its workers evict nothing for as long.
const MaxDeadline = 2 * time.Minute

// Request is one caller's request as the hops pass it on.
type Request struct {
	// ID identifies the request over all hops.
	ID string
	// Attempt numbers the attempts of the request, from 1.
	Attempt int
	// Route is the name of the route that matched.
	Route string
	// Table is the stamp of the table that resolved the request.
	Table table.Stamp
	// Entry is the instance that received the request from its caller.
	Entry string
	// Worker is the endpoint chosen for this attempt.
	Worker string
	// Method, Path, Content and Body are the caller's own.
	Method  string
	Path    string
	Content string
	Body    []byte
	// Adapter must serve the request; zero on service routes.
	Adapter table.AdapterVersion
	// Rank is the urgency after the route's ceiling.
	Rank table.Rank
	// Caller names who sent it, for fairness.
	Caller string
	// Key is the caller's idempotency key, or empty.
	Key string
	// Home names the key's home data centre, or is empty where the caller left
	// it to the system.
	Home string
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Offset is the number of events of the stream that the caller holds; an
	// attempt's answer starts there.
	Offset int
	// Stream says that the caller asked for server-sent events.
	Stream bool
	// Deadline is when the answer is worthless.
	Deadline time.Time
	// Trace is the traceparent header of the hop before.
	Trace string
}

// Remaining returns what is left of the deadline, at least zero.
func (r *Request) Remaining() time.Duration {
	return max(time.Until(r.Deadline), 0)
}

// Answer is the answer to a request; Body must be closed.
type Answer struct {
	Status  int
	Content string
	// Adapter is the adapter@version that ran, or empty on service routes.
	Adapter string
	// Worker is the endpoint that ran the request.
	Worker string
	// Owner is the instance that dispatched the request.
	Owner string
	// Wait is how long the request waited at the owner.
	Wait time.Duration
	Body io.ReadCloser
}

// Error is a failed attempt with what is known of it.
type Error struct {
	// Failure tells what may be said to the caller.
	Failure attempt.Failure
	// Status is the HTTP status for the caller.
	Status int
	// Code is a short, stable name of the cause.
	Code string
	// RetryAfter is a hint for the caller; zero for none.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string { return e.Code + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
