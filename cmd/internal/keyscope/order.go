package keyscope

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
)

// order is a keyed call that its caller retries until it is served, at most
// maxSendsPerOrder times.
type order struct {
	key        attempt.Key
	from       string
	nextSendAt time.Duration
	// sendCount counts the sends, and keyCount the keys created for the order.
	sendCount int
	keyCount  int
	// mayHaveRun reports whether a send of the current key had an unknown outcome.
	mayHaveRun bool
}

// newKey returns a new UUIDv7 with the current wall clock time.
func (f *fleet) newKey() attempt.Key {
	f.nextID++
	var key attempt.Key
	binary.BigEndian.PutUint64(key[:8], uint64((wallClockStart+f.now).Milliseconds())<<16)
	binary.BigEndian.PutUint64(key[8:], f.nextID)
	key[6] = 0x70
	key[8] = 0x80
	return key
}

// sendDue adds the new orders of a step and sends all that are due.
func (f *fleet) sendDue() {
	for range ordersPerStep {
		f.pending = append(f.pending, order{from: dataCentres[f.random.IntN(len(dataCentres))], nextSendAt: f.now})
	}
	var remaining []order
	for _, o := range f.pending {
		if o.nextSendAt <= f.now && f.sendOnce(&o) {
			continue
		}
		remaining = append(remaining, o)
	}
	f.pending = remaining
}

// sendOnce sends an order once and reports whether it has ended. While every send
// so far was not run, the order gets a new key; once one had an unknown outcome,
// the order keeps its key.
func (f *fleet) sendOnce(o *order) (ended bool) {
	if !o.mayHaveRun {
		o.key = f.newKey()
		o.keyCount++
	}
	o.sendCount++
	o.nextSendAt = f.now + sendInterval
	outcome := f.send(o)
	o.mayHaveRun = o.mayHaveRun || outcome == attempt.Unknown
	if outcome != attempt.Served && o.sendCount < maxSendsPerOrder {
		return false
	}
	if outcome == attempt.NotRun && o.mayHaveRun {
		outcome = attempt.Unknown
	}
	f.outcomes[outcome]++
	return true
}

// send simulates one send and returns the outcome reported to the caller.
func (f *fleet) send(o *order) attempt.Outcome {
	entry, found := f.chooseEntry(o.from)
	if !found {
		return attempt.NotRun
	}
	r := f.rights[shardID{f.scope.ownerGroup(o), o.key.Shard()}]
	f.renewOrClaim(r)
	switch {
	case entry.frozen, r.holder.frozen && !f.partitioned(entry, r.holder):
		return attempt.Unknown
	case r.holder.dead || !f.canReach(entry, r.holder):
		return attempt.NotRun
	}
	return f.handleAtOwner(r, o.key)
}

// chooseEntry returns a random live instance of a data centre, as a load balancer
// would, or of any data centre if none is left there.
func (f *fleet) chooseEntry(dataCentre string) (*instance, bool) {
	eligible := func(i *instance) bool { return !i.dead && i.dataCentre == dataCentre }
	if !slices.ContainsFunc(f.instances, eligible) {
		eligible = func(i *instance) bool { return !i.dead }
	}
	var entries []*instance
	for _, i := range f.instances {
		if eligible(i) {
			entries = append(entries, i)
		}
	}
	if len(entries) == 0 {
		return nil, false
	}
	return entries[f.random.IntN(len(entries))], true
}

// handleAtOwner passes a send to the record of the key's owner. One in
// responsesPerLoss responses is lost on the way back, which leaves the outcome
// unknown to the caller.
func (f *fleet) handleAtOwner(r *right, key attempt.Key) attempt.Outcome {
	f.nextID++
	id, now := f.nextID, f.now-r.holder.startedAt
	for _, action := range r.holder.record.Step(now, attempt.Arrive{
		Send:      id,
		Key:       key,
		Wall:      wallClockStart + f.now,
		Held:      f.now < r.expiresAt,
		HeldSince: r.heldSince - r.holder.startedAt,
	}) {
		switch a := action.(type) {
		case attempt.Refuse:
			return a.Outcome
		case attempt.Run:
			f.runsByKey[key]++
			r.holder.record.Step(now, attempt.Finished{Send: id, Outcome: attempt.Served})
		}
	}
	if f.random.IntN(responsesPerLoss) == 0 {
		return attempt.Unknown
	}
	return attempt.Served
}
