package slots

import "time"

// StoreShare is a token bucket that limits the rate at which one instance starts
// loads of models from the weight store to its share of the limit for all
// instances. It is not safe for concurrent use.
type StoreShare struct {
	tokens    float64
	updatedAt time.Duration
}

// sharedFraction is the fraction of the store's rate that is divided among the
// instances. The rest covers the one load that each instance may start at once on
// top of its rate.
const sharedFraction = 0.5

// NewStoreShare returns a share that allows one load immediately.
func NewStoreShare(now time.Duration) *StoreShare { return &StoreShare{tokens: 1, updatedAt: now} }

// Take reports whether a load may start now, and counts it if so. The limit of
// perSecond loads is divided among members instances.
func (s *StoreShare) Take(now time.Duration, perSecond float64, members int) bool {
	rate := sharedFraction * perSecond / float64(max(members, 1))
	s.tokens = min(1, s.tokens+rate*(now-s.updatedAt).Seconds())
	s.updatedAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}
