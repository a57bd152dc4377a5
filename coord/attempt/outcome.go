package attempt

// Outcome is the result of a request as reported to its caller.
type Outcome string

// The outcomes.
const (
	// Served means that the request ran and its complete response follows.
	Served Outcome = "served"
	// NotRun means that the request did not run. It is reported only when no byte
	// of the request can have reached an endpoint that would run it.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Failure describes how an attempt failed.
type Failure struct {
	// Sent is set if any byte of the request may have reached the endpoint.
	Sent bool
	// Refused is set if the endpoint responded that it did not run the request.
	Refused bool
}

// Outcome returns the outcome of the failed attempt, either NotRun or Unknown.
func (f Failure) Outcome() Outcome {
	if f.Sent && !f.Refused {
		return Unknown
	}
	return NotRun
}

// MayRetry reports whether a further attempt is safe: either the request is
// idempotent, or this attempt did not run it.
func (f Failure) MayRetry(idempotent bool) bool {
	return idempotent || f.Outcome() == NotRun
}
