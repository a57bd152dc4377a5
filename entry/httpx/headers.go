// Package httpx holds the HTTP code that the hops of a request share: header
// names, the error body, a client with progress timeouts, interim responses,
// and the detection of disconnected callers.
package httpx

// Headers of the callers' protocol.
const (
	IdempotencyKey = "Idempotency-Key"
	// HomeHeader names the data centre whose instances own the idempotency key.
	// All requests with the same key must name the same data centre, or none.
	HomeHeader     = "Bulrushwick-Home"
	RankHeader     = "Bulrushwick-Rank"
	DeadlineHeader = "Bulrushwick-Deadline-Ms"
	CallerHeader   = "Bulrushwick-Caller"
	Traceparent    = "traceparent"
	Outcome        = "Bulrushwick-Outcome"
	Adapter        = "Bulrushwick-Adapter"
	Revision       = "Bulrushwick-Revision"
	RequestID      = "Bulrushwick-Request-Id"
	Instance       = "Bulrushwick-Instance"
	WaitMs         = "Bulrushwick-Wait-Ms"
	OwnerHeader    = "Bulrushwick-Owner"
)

// Headers that only travel between instances and to endpoints.
const (
	WorkerHeader = "Bulrushwick-Worker"
	TableHeader  = "Bulrushwick-Table"
	RouteHeader  = "Bulrushwick-Route"
	PathHeader   = "Bulrushwick-Path"
	MethodHeader = "Bulrushwick-Method"
	AttemptID    = "Bulrushwick-Attempt"
	LastEventID  = "Last-Event-ID"
	Fence        = "Bulrushwick-Fence"
)
