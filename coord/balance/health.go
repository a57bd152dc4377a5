package balance

import "time"

// Health tells from the results of own attempts whether a worker fails more
// than others do.
type Health struct {
	// share is the decayed share of failures.
	share     float64
	inARow    int
	lastFault time.Duration
}

// Bounds of Health. A plain service may fail a seventh of its requests by
// itself, so a suspect must fail clearly more.
const (
	// healthWeight is the weight of the newest result in the share.
	healthWeight = 0.15
	// suspectShare is the share of failures from which a worker is suspect.
	suspectShare = 0.35
	// suspectInARow is the number of failures in a row that make one suspect.
	suspectInARow = 3
	// suspectFor is how long after the last failure a worker stays suspect;
	// afterwards requests try it again.
	suspectFor = 3 * time.Second
)

// Observe takes the result of an attempt.
func (h *Health) Observe(now time.Duration, ok bool) {
	fault := 0.0
	if ok {
		h.inARow = 0
	} else {
		fault = 1
		h.inARow++
		h.lastFault = now
	}
	h.share += healthWeight * (fault - h.share)
}

// Suspect tells whether requests should go elsewhere.
func (h *Health) Suspect(now time.Duration) bool {
	if now-h.lastFault > suspectFor {
		return false
	}
	return h.inARow >= suspectInARow || h.share >= suspectShare
}
