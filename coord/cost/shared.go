package cost

import (
	"maps"
	"math"
	"time"
)

// Shared holds what peers observed of workers. An estimate is kept, with a decaying
// weight, until the same peer sends another one, so that peers only need to send what is
// new. It is not safe for concurrent use.
type Shared struct{ workers map[string]*sharedWorker }

// sharedWorker holds the estimates of one worker.
type sharedWorker struct {
	// sum is that of all peers as of at.
	sum    Estimate
	at     time.Duration
	byPeer map[string]sentEstimate
}

// sentEstimate is the latest estimate of a peer.
type sentEstimate struct {
	Estimate
	at time.Duration
}

// NewShared returns a Shared that knows nothing.
func NewShared() *Shared { return &Shared{workers: make(map[string]*sharedWorker)} }

// Bounds of an estimate that a peer sends.
const (
	maxSharedPrecision = 4096
	// minSharedPrecision is that below which the rest of an estimate is rounding error.
	minSharedPrecision = 0.01
)

// Set replaces a peer's estimate of a worker.
func (s *Shared) Set(now time.Duration, peer, id string, mean, precision float64) {
	w := s.workers[id]
	if w == nil {
		if precision <= 0 {
			return
		}
		w = &sharedWorker{at: now, byPeer: make(map[string]sentEstimate)}
		s.workers[id] = w
	}
	sent := NewEstimate(min(max(mean, -maxLogFactor), maxLogFactor), min(max(precision, 0), maxSharedPrecision))
	w.sum, w.at = w.except(now, peer).Plus(sent), now
	w.byPeer[peer] = sentEstimate{sent, now}
	if len(w.byPeer) > maxPeers {
		maps.DeleteFunc(w.byPeer, func(_ string, e sentEstimate) bool { return now-e.at > forgetPeerAfter })
	}
}

// Instances that restart may have new addresses. Estimates of those that have not been
// heard for forgetPeerAfter have decayed; they are dropped once there are maxPeers.
const (
	maxPeers        = 256
	forgetPeerAfter = 10 * time.Minute
)

// Sum returns the estimate of all peers.
func (s *Shared) Sum(now time.Duration, id string) Estimate { return s.Except(now, id, "") }

// Except returns the estimate of all peers but one.
func (s *Shared) Except(now time.Duration, id, peer string) Estimate {
	w := s.workers[id]
	if w == nil {
		return Estimate{}
	}
	return w.except(now, peer)
}

// Forget drops what is known of a worker.
func (s *Shared) Forget(id string) { delete(s.workers, id) }

// except returns the estimate of all peers but one.
func (w *sharedWorker) except(now time.Duration, peer string) Estimate {
	sum := w.sum.decayed(now - w.at)
	if old, known := w.byPeer[peer]; known {
		own := old.decayed(now - old.at)
		sum = Estimate{Sum: sum.Sum - own.Sum, Precision: sum.Precision - own.Precision}
	}
	if sum.Precision < minSharedPrecision {
		return Estimate{}
	}
	return sum
}

// decayed returns an estimate with its weight after some time.
func (e Estimate) decayed(age time.Duration) Estimate {
	share := math.Exp2(-float64(max(age, 0)) / float64(ratioHalfLife))
	return Estimate{Sum: e.Sum * share, Precision: e.Precision * share}
}
