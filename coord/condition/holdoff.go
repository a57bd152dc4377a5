package condition

import "time"

// holdOffSpread is the largest fraction by which a hold-off is extended at random, so
// that the instances that a worker turned away together do not return together.
const holdOffSpread = 0.25

// maxHoldOff bounds the time that a worker may ask for, so that one faulty value
// does not exclude it for good.
const maxHoldOff = 10 * time.Minute

// probeTimeout is how long a probe keeps other requests back, if it is not answered:
// about the time until an engine with a free slot answers.
const probeTimeout = time.Second

// HoldOff keeps requests away from a worker that asked for it when it turned one
// away. After the requested time a single request probes the worker; the others
// follow once it was not turned away. The zero value is ready for use. It is not safe
// for concurrent use.
type HoldOff struct {
	until time.Duration
	// probing is set from the end of the requested time until a response that is not
	// a refusal with a time. probedAt is when the last probe was sent.
	probing  bool
	probedAt time.Duration
}

// TurnedAway records that the worker wants no request for a time. spread, from 0 to
// 1, is drawn at random by the caller.
func (h *HoldOff) TurnedAway(now, wanted time.Duration, spread float64) {
	wanted = min(wanted, maxHoldOff)
	until := now + wanted + time.Duration(holdOffSpread*spread*float64(wanted))
	*h = HoldOff{until: max(h.until, until), probing: true}
}

// Sent records that a request is sent to the worker.
func (h *HoldOff) Sent(now time.Duration) {
	if h.probing {
		h.probedAt = now
	}
}

// Answered records a response that does not ask to stay away.
func (h *HoldOff) Answered(now time.Duration) {
	if h.probing && now >= h.until {
		*h = HoldOff{}
	}
}

// Remaining returns how long no request may be sent to the worker; 0 if one may.
func (h *HoldOff) Remaining(now time.Duration) time.Duration {
	switch {
	case now < h.until:
		return h.until - now
	case h.probing && h.probedAt >= h.until:
		return max(0, h.probedAt+probeTimeout-now)
	}
	return 0
}
