package keyscope

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
)

// order is a call that its caller sends until it is done.
type order struct {
	key  attempt.Key
	from string
	due  time.Duration
	// sends counts the sends, and minted the keys that the order has had.
	sends  int
	minted int
	// mayHaveRun says that a send of the key was told unknown.
	mayHaveRun bool
}

// mint makes a UUIDv7.
func (f *fleet) mint() attempt.Key {
	f.nextID++
	var key attempt.Key
	binary.BigEndian.PutUint64(key[:8], uint64((wallStart+f.now).Milliseconds())<<16)
	binary.BigEndian.PutUint64(key[8:], f.nextID)
	key[6] = 0x70
	key[8] = 0x80
	return key
}

// attend sends the orders that are due. A caller that was only ever told
// not-run mints a new key; any other sends the same one.
func (f *fleet) attend() {
	for range ordersPerStep {
		f.waiting = append(f.waiting, order{from: dataCentres[f.random.IntN(len(dataCentres))], due: f.now})
	}
	var later []order
	for _, o := range f.waiting {
		if o.due <= f.now && f.sendOne(&o) {
			continue
		}
		later = append(later, o)
	}
	f.waiting = later
}

// sendOne sends an order once and tells whether it is over.
func (f *fleet) sendOne(o *order) (over bool) {
	if !o.mayHaveRun {
		o.key = f.mint()
		o.minted++
	}
	o.sends++
	o.due = f.now + sendInterval
	outcome := f.send(o)
	o.mayHaveRun = o.mayHaveRun || outcome == attempt.Unknown
	if outcome != attempt.Served && o.sends < sendsPerOrder {
		return false
	}
	if outcome == attempt.NotRun && o.mayHaveRun {
		outcome = attempt.Unknown
	}
	f.tally[outcome]++
	return true
}

// send is one send; it returns what the caller is told.
func (f *fleet) send(o *order) attempt.Outcome {
	entry, found := f.entry(o.from)
	if !found {
		return attempt.NotRun
	}
	r := f.rights[shardName{f.scope.group(o), o.key.Shard()}]
	f.renew(r)
	switch {
	case entry.frozen, r.holder.frozen && !f.cut(entry, r.holder):
		return attempt.Unknown
	case r.holder.dead || !f.reaches(entry, r.holder):
		return attempt.NotRun
	}
	return f.serve(r, o.key)
}

// entry returns the instance that the balancer chooses in a data centre, or
// anywhere when none is left there.
func (f *fleet) entry(dataCentre string) (*instance, bool) {
	alive := func(i *instance) bool { return !i.dead && i.dataCentre == dataCentre }
	if !slices.ContainsFunc(f.instances, alive) {
		alive = func(i *instance) bool { return !i.dead }
	}
	var entries []*instance
	for _, i := range f.instances {
		if alive(i) {
			entries = append(entries, i)
		}
	}
	if len(entries) == 0 {
		return nil, false
	}
	return entries[f.random.IntN(len(entries))], true
}

// serve is a send at the key's owner.
func (f *fleet) serve(r *right, key attempt.Key) attempt.Outcome {
	f.nextID++
	id, now := f.nextID, f.now-r.holder.booted
	for _, action := range r.holder.record.Step(now, attempt.Arrive{
		Send:      id,
		Key:       key,
		Wall:      wallStart + f.now,
		Held:      f.now < r.until,
		HeldSince: r.since - r.holder.booted,
	}) {
		switch a := action.(type) {
		case attempt.Refuse:
			return a.Outcome
		case attempt.Run:
			f.runs[key]++
			r.holder.record.Step(now, attempt.Finished{Send: id, Outcome: attempt.Served})
		}
	}
	if f.random.IntN(lostAnswers) == 0 {
		return attempt.Unknown
	}
	return attempt.Served
}
