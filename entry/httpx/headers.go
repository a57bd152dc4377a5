// Package httpx holds the HTTP forms that the hops share: header names, the
// error body and clients whose connections notice silence.
package httpx

// Headers of the callers' protocol.
const (
	IdempotencyKey = "Idempotency-Key"
	// HomeHeader names the data centre whose instances own the idempotency key;
	// every send of one key must name the same, or none.
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
