package attempt

// Outcome is what a caller is told of its request.
type Outcome string

// The outcomes.
const (
	// Served says that the request ran and the complete answer follows.
	Served Outcome = "served"
	// NotRun says that the request did not run. It is only told when no byte of
	// the request can have reached an endpoint that would run it.
	NotRun Outcome = "not-run"
	// Unknown says that the request may have run.
	Unknown Outcome = "unknown"
)

// Failure says how an attempt failed.
type Failure struct {
	// Sent says that a byte of the request may have reached the endpoint.
	Sent bool
	// Refused says that the endpoint answered that it did not run the request.
	Refused bool
}

// Outcome returns what may be told of a request whose last attempt failed so.
func (f Failure) Outcome() Outcome {
	if f.Sent && !f.Refused {
		return Unknown
	}
	return NotRun
}

// MayRetry tells whether a further attempt can't run the request twice, or may.
func (f Failure) MayRetry(idempotent bool) bool {
	return idempotent || f.Outcome() == NotRun
}
