package attempt

import (
	"container/heap"
	"time"
)

// settle keeps the outcome of a run that may not be repeated.
func (r *Record) settle(state *keyState, e Finished) {
	state.outcome = Unknown
	if e.Outcome == Served {
		state.outcome = Served
		if len(e.Answer.Body) <= r.config.MaxAnswerBytes {
			answer := e.Answer
			state.answer = &answer
		}
	}
	r.keep(state)
}

// keep makes a settled key subject to the bounds.
func (r *Record) keep(state *keyState) {
	heap.Push(&r.settled, state)
	r.bytes += state.size()
	for r.bytes > r.config.MaxBytes && len(r.settled) > 0 {
		r.evict()
	}
}

// makeRoom keeps the number of keys below its bound. It reports false where
// every place holds a run in progress.
func (r *Record) makeRoom() bool {
	for len(r.keys) >= r.config.MaxKeys && len(r.settled) > 0 {
		r.evict()
	}
	return len(r.keys) < r.config.MaxKeys
}

// expire evicts the keys that are past the retention at wall.
func (r *Record) expire(wall time.Duration) {
	for len(r.settled) > 0 && r.settled[0].key.Minted() < wall-r.config.Retention {
		r.evict()
	}
}

// evict forgets the key that was minted first and raises its shard's floor, so
// that an absent key at or below the floor is never taken for one that has not
// run.
func (r *Record) evict() {
	state := heap.Pop(&r.settled).(*keyState)
	delete(r.keys, state.key)
	r.bytes -= state.size()
	s := &r.shards[state.key.Shard()]
	s.floor = max(s.floor, state.key.Minted())
}

// HandOver returns at now what the next holder of a shard needs from this one,
// whose right began at since. The instance must have given up the right before,
// so that no further key runs here.
func (r *Record) HandOver(now time.Duration, shard int, wall, since time.Duration) HandOver {
	out := HandOver{Shard: shard, Floor: r.raiseFloor(now, shard, wall, since)}
	for _, state := range r.keys {
		if state.key.Shard() != shard {
			continue
		}
		kept := KeyRecord{Key: state.key, Digest: state.digest, Outcome: Unknown}
		if state.outcome == Served {
			kept.Outcome = Served
			kept.Answer = state.answer
		}
		out.Keys = append(out.Keys, kept)
	}
	return out
}

// inherit takes the direct predecessor's knowledge of a shard.
func (r *Record) inherit(e Inherited) {
	s := &r.shards[e.HandOver.Shard]
	s.floor = max(s.floor, e.HandOver.Floor)
	s.inherited = e.Since
	s.hasInherited = true
	for _, kept := range e.HandOver.Keys {
		if _, found := r.keys[kept.Key]; found {
			continue
		}
		state := &keyState{key: kept.Key, digest: kept.Digest, outcome: Unknown}
		if kept.Outcome == Served {
			state.outcome, state.answer = Served, kept.Answer
		}
		r.keys[kept.Key] = state
		r.keep(state)
	}
	for len(r.keys) > r.config.MaxKeys && len(r.settled) > 0 {
		r.evict()
	}
}

// size is the bytes of the answer that the key holds.
func (s *keyState) size() int {
	if s.answer == nil {
		return 0
	}
	return len(s.answer.Body)
}

// oldestFirst is a heap of settled keys by the time of minting.
type oldestFirst []*keyState

// Len implements heap.Interface.
func (o oldestFirst) Len() int { return len(o) }

// Less implements heap.Interface.
func (o oldestFirst) Less(i, j int) bool { return o[i].key.Minted() < o[j].key.Minted() }

// Swap implements heap.Interface.
func (o oldestFirst) Swap(i, j int) { o[i], o[j] = o[j], o[i] }

// Push implements heap.Interface.
func (o *oldestFirst) Push(x any) { *o = append(*o, x.(*keyState)) }

// Pop implements heap.Interface.
func (o *oldestFirst) Pop() any {
	last := len(*o) - 1
	state := (*o)[last]
	(*o)[last] = nil
	*o = (*o)[:last]
	return state
}
