package attempt

import "time"

// arrive decides on a send. A send that joins a run is answered when the run
// ends.
func (r *Record) arrive(now time.Duration, e Arrive) []RecordAction {
	if known, found := r.keys[e.Key]; found {
		return r.handleKnownKey(known, e)
	}
	if !e.Held {
		return refuse(e.Send, NotRun, NotHolder)
	}
	floor := r.raiseFloor(now, e.Key.Shard(), e.Wall, e.HeldSince)
	minted := e.Key.Minted()
	switch {
	case minted <= max(floor, e.Floor):
		return refuse(e.Send, Unknown, BelowFloor)
	case minted > e.Wall+r.config.FutureLimit:
		return refuse(e.Send, NotRun, FromFuture)
	case minted < e.Wall-r.config.Retention:
		return refuse(e.Send, NotRun, Expired)
	case !r.makeRoom():
		return refuse(e.Send, NotRun, Full)
	}
	if minted <= r.shards[e.Key.Shard()].floor { // makeRoom may have raised the floor
		return refuse(e.Send, Unknown, BelowFloor)
	}
	state := &keyState{key: e.Key, digest: e.Digest}
	r.keys[e.Key] = state
	r.running[e.Send] = state
	return []RecordAction{Run{Send: e.Send}}
}

// handleKnownKey decides on a send whose key is in the record.
func (r *Record) handleKnownKey(known *keyState, e Arrive) []RecordAction {
	switch {
	case known.digest != e.Digest:
		return refuse(e.Send, NotRun, Reused)
	case known.outcome == Unknown:
		return refuse(e.Send, Unknown, RunUnknown)
	case known.outcome == Served:
		return replyFromRecord(e.Send, known)
	case len(known.joined) >= r.config.MaxJoined:
		return refuse(e.Send, Unknown, InProgress)
	}
	known.joined = append(known.joined, e.Send)
	r.joined[e.Send] = known
	return nil
}

// raiseFloor raises the floor of a shard for the right that began at since and
// returns it. A key that a previous holder may have run was minted at most
// FutureLimit ahead of that holder's clock, which may itself be ClockSkew ahead
// of this one. A step of the wall clock can only raise the floor.
func (r *Record) raiseFloor(now time.Duration, shard int, wall, since time.Duration) time.Duration {
	s := &r.shards[shard]
	if s.hasInherited && s.inheritedSince == since {
		return s.floor
	}
	began := wall - (now - since)
	s.floor = max(s.floor, began+r.config.FutureLimit+r.config.ClockSkew)
	return s.floor
}

// finish records the end of a run and answers the sends that joined it.
func (r *Record) finish(e Finished) []RecordAction {
	state, found := r.running[e.Send]
	if !found {
		return nil
	}
	delete(r.running, e.Send)
	joined := state.joined
	state.joined = nil
	for _, send := range joined {
		delete(r.joined, send)
	}
	if e.Outcome == NotRun {
		delete(r.keys, state.key)
		return refuseAll(joined, NotRun, RunNotRun)
	}
	r.recordOutcome(state, e)
	if e.Outcome != Served {
		return refuseAll(joined, Unknown, RunUnknown)
	}
	return replyAll(joined, e.Answer)
}

// abandon removes a send that joined a run; the run continues.
func (r *Record) abandon(send uint64) {
	state, found := r.joined[send]
	if !found {
		return
	}
	delete(r.joined, send)
	for i, other := range state.joined {
		if other == send {
			state.joined = append(state.joined[:i], state.joined[i+1:]...)
			return
		}
	}
}

func refuse(send uint64, outcome Outcome, reason Reason) []RecordAction {
	return []RecordAction{Refuse{Send: send, Outcome: outcome, Reason: reason}}
}

func refuseAll(sends []uint64, outcome Outcome, reason Reason) []RecordAction {
	actions := make([]RecordAction, 0, len(sends))
	for _, send := range sends {
		actions = append(actions, Refuse{Send: send, Outcome: outcome, Reason: reason})
	}
	return actions
}

// replyFromRecord answers a send whose key was served, with the stored response
// if there is one.
func replyFromRecord(send uint64, state *keyState) []RecordAction {
	if state.answer == nil {
		return refuse(send, Unknown, AnswerDropped)
	}
	return []RecordAction{Reply{Send: send, Answer: *state.answer}}
}

func replyAll(sends []uint64, answer Answer) []RecordAction {
	actions := make([]RecordAction, 0, len(sends))
	for _, send := range sends {
		actions = append(actions, Reply{Send: send, Answer: answer})
	}
	return actions
}
