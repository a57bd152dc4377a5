package slots

import "time"

// StoreShare bounds the loads of models from the weight store that one instance
// begins, as its part of what all instances together may. It is not safe for
// concurrent use.
type StoreShare struct {
	tokens float64
	at     time.Duration
}

// shareSafety is the part of the store's rate that is shared out. Each instance
// may begin one load at once besides, so the rest covers those.
const shareSafety = 0.5

// NewStoreShare returns a share that allows one load at once.
func NewStoreShare(now time.Duration) *StoreShare { return &StoreShare{tokens: 1, at: now} }

// Take begins a load where the share of perSecond among members allows it.
func (s *StoreShare) Take(now time.Duration, perSecond float64, members int) bool {
	rate := shareSafety * perSecond / float64(max(members, 1))
	s.tokens = min(1, s.tokens+rate*(now-s.at).Seconds())
	s.at = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}
