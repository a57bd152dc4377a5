package attempt

import (
	"container/heap"
	"time"
)

// recordOutcome stores the outcome of a run that ran or may have run.
func (r *Record) recordOutcome(state *keyState, e Finished) {
	state.outcome = Unknown
	if e.Outcome == Served {
		state.outcome = Served
		if len(e.Answer.Body) <= r.config.MaxAnswerBytes {
			answer := e.Answer
			state.answer = &answer
		}
	}
	r.addSettled(state)
}

// addSettled adds a key whose run has ended to the keys that may be evicted, and
// evicts as many as MaxBytes requires.
func (r *Record) addSettled(state *keyState) {
	heap.Push(&r.settled, state)
	r.bytes += state.size()
	for r.bytes > r.config.MaxBytes && len(r.settled) > 0 {
		r.evict()
	}
}

// makeRoom evicts keys until there is room for one more. It returns false if all
// the keys have a run in progress.
func (r *Record) makeRoom() bool {
	for len(r.keys) >= r.config.MaxKeys && len(r.settled) > 0 {
		r.evict()
	}
	return len(r.keys) < r.config.MaxKeys
}

// expire evicts the keys whose retention has ended at the wall time.
func (r *Record) expire(wall time.Duration) {
	for len(r.settled) > 0 && r.settled[0].key.Minted() < wall-r.config.Retention {
		r.evict()
	}
}

// evict removes the settled key with the earliest mint time and raises its
// shard's floor, so that a missing key at or below the floor is never assumed
// not to have run.
func (r *Record) evict() {
	state := heap.Pop(&r.settled).(*keyState)
	delete(r.keys, state.key)
	r.bytes -= state.size()
	s := &r.shards[state.key.Shard()]
	s.floor = max(s.floor, state.key.Minted())
}

// HandOver returns the state of a shard for its next holder. The right of this
// instance began at since, on the clock of now, the monotonic time since the
// instance started. The instance must have given up the right before the call,
// so that no further key runs here.
func (r *Record) HandOver(now time.Duration, shard int, wall, since time.Duration) HandOver {
	handOver := HandOver{Shard: shard, Floor: r.raiseFloor(now, shard, wall, since)}
	for _, state := range r.keys {
		if state.key.Shard() != shard {
			continue
		}
		record := KeyRecord{Key: state.key, Digest: state.digest, Outcome: Unknown}
		if state.outcome == Served {
			record.Outcome = Served
			record.Answer = state.answer
		}
		handOver.Keys = append(handOver.Keys, record)
	}
	return handOver
}

// inherit adds the previous holder's state of a shard.
func (r *Record) inherit(e Inherited) {
	s := &r.shards[e.HandOver.Shard]
	s.floor = max(s.floor, e.HandOver.Floor)
	s.inheritedSince = e.HeldSince
	s.hasInherited = true
	for _, record := range e.HandOver.Keys {
		if _, found := r.keys[record.Key]; found {
			continue
		}
		state := &keyState{key: record.Key, digest: record.Digest, outcome: Unknown}
		if record.Outcome == Served {
			state.outcome, state.answer = Served, record.Answer
		}
		r.keys[record.Key] = state
		r.addSettled(state)
	}
	for len(r.keys) > r.config.MaxKeys && len(r.settled) > 0 {
		r.evict()
	}
}

// size returns the size of the stored response body in bytes.
func (s *keyState) size() int {
	if s.answer == nil {
		return 0
	}
	return len(s.answer.Body)
}

// settledHeap is a heap of keys whose run has ended, earliest mint time first.
type settledHeap []*keyState

// Len implements heap.Interface.
func (h settledHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h settledHeap) Less(i, j int) bool { return h[i].key.Minted() < h[j].key.Minted() }

// Swap implements heap.Interface.
func (h settledHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *settledHeap) Push(x any) { *h = append(*h, x.(*keyState)) }

// Pop implements heap.Interface.
func (h *settledHeap) Pop() any {
	last := len(*h) - 1
	state := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return state
}
