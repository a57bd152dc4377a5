package replica

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// offer is a manifest and its source: the peer named from, or the platform if
// from is empty.
type offer struct {
	manifest table.Manifest
	stamp    table.Stamp
	from     string
}

// collection is the offer whose chunks are being collected. There is at most one.
type collection struct {
	offer
	assembly *table.Assembly
	// fetch is the latest call for chunks to the peer.
	fetch Call
	// failed reports whether a chunk read failed, so that any offer above the table
	// in force may replace this one.
	failed bool
	// retryAt is when chunks are read from the platform again.
	retryAt time.Duration
}

// wants reports whether a table with that stamp should be collected now or next:
// it is above the table in force, was not rejected, and is above the offers that
// are being collected or waiting. A failed collection doesn't count.
func (r *Replica) wants(stamp table.Stamp) bool {
	if !stamp.Above(r.Stamp()) || r.rejected.has(stamp) {
		return false
	}
	if r.collection == nil || r.collection.failed {
		return true
	}
	return stamp.Above(r.collection.stamp) && (r.nextOffer == nil || stamp.Above(r.nextOffer.stamp))
}

// consider starts to collect the chunks of a manifest, or keeps the manifest until
// the collection in progress has ended. It doesn't replace one in progress, since
// in a burst of changes none would then ever complete.
func (r *Replica) consider(now time.Duration, data []byte, from string) {
	m, err := table.ParseManifest(data)
	if err != nil {
		stamp := table.Stamp{Revision: m.Revision, Digest: table.Digest(data)}
		if !r.rejected.has(stamp) {
			r.reject(stamp, from, err)
		}
		return
	}
	o := offer{manifest: m, stamp: m.Stamp(), from: from}
	switch g := r.collection; {
	case !r.wants(o.stamp):
	case g != nil && !g.failed:
		r.nextOffer = &o
	case g != nil && g.stamp == o.stamp && g.from == o.from:
	default:
		r.collect(now, o)
	}
}

// collect starts to collect the chunks of an offer. It reuses the chunks of the
// table in force and of the collection that it replaces.
func (r *Replica) collect(now time.Duration, o offer) {
	abandoned := r.abandoned
	if r.collection != nil {
		abandoned = r.collection.assembly
	}
	r.abandoned = nil
	r.collection = &collection{offer: o, assembly: table.NewAssembly(o.manifest, r.Current(), abandoned)}
	if o.from != "" {
		r.fetch(now)
	}
}

// collectNext starts on the waiting offer once no collection is in progress or the
// current one has failed.
func (r *Replica) collectNext(now time.Duration) {
	if r.nextOffer == nil || (r.collection != nil && !r.collection.failed) {
		return
	}
	o := *r.nextOffer
	r.nextOffer = nil
	if r.wants(o.stamp) {
		r.collect(now, o)
	}
}

// abandon gives up the current collection, keeps its chunks for the next offer and
// queries a peer at once.
func (r *Replica) abandon(now time.Duration) {
	r.abandoned = r.collection.assembly
	r.collection = nil
	r.nextQuery = now
}
