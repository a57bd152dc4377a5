package keys

import (
	"sync"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
)

// Rights tells which rights this instance holds.
type Rights interface {
	Held(r ownership.Right) (ownership.Grant, bool)
}

// settleTerm is how long an instance must have been the owner, without a
// pause, before it takes its right to have begun.
const settleTerm = 3 * time.Second

// pauseLimit is the longest time between two observations that is not taken
// for a pause of the process.
const pauseLimit = time.Second

// settled delays rights whose grants carry no fencing number, since they don't
// tell when they began: such a right begins a settleTerm after the instance was
// first seen to hold it, and begins anew after a pause.
type settled struct {
	rights     Rights
	now        func() time.Duration
	dataCentre string

	mu       sync.Mutex
	observed time.Duration
	first    [attempt.Shards]time.Duration
	holding  [attempt.Shards]bool
}

// observe looks at every right; it must be called more often than pauseLimit.
func (s *settled) observe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	paused := now-s.observed > pauseLimit
	s.observed = now
	for shard := range attempt.Shards {
		_, held := s.rights.Held(ownership.KeyRight(s.dataCentre, shard))
		if held && (paused || !s.holding[shard]) {
			s.first[shard] = now
		}
		s.holding[shard] = held
	}
}

// held returns since when the right to a shard is held.
func (s *settled) held(shard int) (since time.Duration, held bool) {
	grant, granted := s.rights.Held(ownership.KeyRight(s.dataCentre, shard))
	if granted && grant.Fence > 0 {
		return grant.Since, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !granted || !s.holding[shard] || now-s.observed > pauseLimit {
		return 0, false
	}
	since = max(grant.Since, s.first[shard]+settleTerm)
	return since, now >= since
}

// pending tells whether a right that is granted has not settled yet, or settled
// less than margin ago.
func (s *settled) pending(margin time.Duration) bool {
	now := s.now()
	for shard := range attempt.Shards {
		if _, granted := s.rights.Held(ownership.KeyRight(s.dataCentre, shard)); !granted {
			continue
		}
		if since, held := s.held(shard); !held || now < since+margin {
			return true
		}
	}
	return false
}
