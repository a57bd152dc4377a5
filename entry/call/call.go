// Package call has the types of a request, its response and its failure as they pass
// through the system: from the ingress to the owner of the worker, to the endpoint and
// back.
package call

import (
	"io"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// MaxDeadline is the longest deadline that a caller may set. After an instance was lost
// without a hand-over, nothing is evicted from its workers for at least as long, since
// its requests may still be running there.
const MaxDeadline = 2 * time.Minute

// Request is a caller's request, as each hop passes it on to the next.
type Request struct {
	// ID identifies the request on all hops.
	ID string
	// Attempt is the number of this attempt at the request, from 1.
	Attempt int
	// Route is the name of the route that matched.
	Route string
	// Table is the stamp of the table by which the request was resolved.
	Table table.Stamp
	// Entry is the instance that received the request from its caller.
	Entry string
	// Worker is the endpoint chosen for this attempt.
	Worker string
	// Method, Path, ContentType (the Content-Type header) and Body are as the caller
	// sent them.
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Adapter is the adapter version that must serve the request; zero on service
	// routes.
	Adapter table.AdapterVersion
	// Rank is the urgency of the request, limited by the ceiling of its route.
	Rank table.Rank
	// Caller is the name of the caller, for fairness between callers.
	Caller string
	// Key is the caller's idempotency key, or empty.
	Key string
	// Home is the home data centre of the key, or empty if the caller did not choose
	// one.
	Home string
	// Idempotent reports that the request may run more than once.
	Idempotent bool
	// Offset is the number of events of the stream that the caller already has; the
	// response of the attempt starts there.
	Offset int
	// Stream reports that the caller requested server-sent events.
	Stream bool
	// Deadline is the time after which the caller no longer waits for the response.
	Deadline time.Time
	// Trace is the traceparent header of the previous hop.
	Trace string
	// Memory counts the bytes of responses that this instance holds whole; nil counts
	// nothing. It is not passed on to other instances.
	Memory Memory
}

// Remaining returns the time until the deadline, at least zero.
func (r *Request) Remaining() time.Duration {
	return max(time.Until(r.Deadline), 0)
}

// Response is the response to a request. Body must be closed.
type Response struct {
	Status int
	// ContentType is the Content-Type header.
	ContentType string
	// Adapter is the adapter@version that ran, or empty on service routes.
	Adapter string
	// Worker is the endpoint that ran the request.
	Worker string
	// Owner is the instance that dispatched the request.
	Owner string
	// Wait is the time that the request waited in the queue of the owner.
	Wait time.Duration
	Body io.ReadCloser

	// whole is the body at the bottom of Body once it was read whole.
	whole *held
}

// Error is the failure of an attempt.
type Error struct {
	// Failure is what is known of the outcome, which decides what the caller is told.
	Failure attempt.Failure
	// Status is the HTTP status for the caller.
	Status int
	// Code is the short, stable name of the cause.
	Code string
	// RetryAfter is the delay suggested to the caller before a retry; zero for none.
	RetryAfter time.Duration
	// Err is the cause; callers see its text.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return e.Code + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
