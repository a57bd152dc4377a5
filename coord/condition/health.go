package condition

import "time"

// Health detects a failing worker from the results of this instance's own attempts.
// The zero value is ready for use. It is not safe for concurrent use.
type Health struct {
	// failureRate is the exponential moving average of failures, from 0 to 1.
	failureRate         float64
	consecutiveFailures int
	lastFailure         time.Duration
}

// Limits of Health. A plain service may fail a seventh of its requests in normal
// operation, so the threshold for a suspect is clearly above that.
const (
	// failureRateWeight is the weight of the newest result in the failure rate.
	failureRateWeight = 0.15
	// suspectFailureRate is the failure rate from which a worker is suspect.
	suspectFailureRate = 0.35
	// suspectConsecutive is the number of consecutive failures from which a worker is
	// suspect.
	suspectConsecutive = 3
	// suspectDuration is the time after the last failure during which a worker stays
	// suspect. Afterwards requests are sent to it again.
	suspectDuration = 3 * time.Second
)

// Observe records the result of an attempt.
func (h *Health) Observe(now time.Duration, ok bool) {
	failure := 0.0
	if ok {
		h.consecutiveFailures = 0
	} else {
		failure = 1
		h.consecutiveFailures++
		h.lastFailure = now
	}
	h.failureRate += failureRateWeight * (failure - h.failureRate)
}

// Suspect reports whether requests should go to other workers if possible.
func (h *Health) Suspect(now time.Duration) bool {
	if now-h.lastFailure > suspectDuration {
		return false
	}
	return h.consecutiveFailures >= suspectConsecutive || h.failureRate >= suspectFailureRate
}
