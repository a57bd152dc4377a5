package replica

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// offer is a manifest that is worth reading and where it came from: a peer, or
// the platform where from is empty.
type offer struct {
	manifest table.Manifest
	stamp    table.Stamp
	from     string
}

// gathering is the one offer whose chunks are being read.
type gathering struct {
	offer
	assembly *table.Assembly
	// fetch is the call that awaits chunks of a peer.
	fetch Call
	// failed says that a read failed, so that any newer offer may take its place.
	failed  bool
	retryAt time.Duration
}

// wants tells whether a table with that stamp is worth reading.
func (r *Replica) wants(stamp table.Stamp) bool {
	if !stamp.Above(r.Stamp()) || r.rejected.has(stamp) {
		return false
	}
	if r.gathering == nil || r.gathering.failed {
		return true
	}
	return stamp.Above(r.gathering.stamp) && (r.next == nil || stamp.Above(r.next.stamp))
}

// consider begins to gather a manifest, or keeps it for when the one that is
// being gathered is done: a burst of changes must not put off every one of them.
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
	switch g := r.gathering; {
	case !r.wants(o.stamp):
	case g != nil && !g.failed:
		r.next = &o
	case g != nil && g.stamp == o.stamp && g.from == o.from:
	default:
		r.gather(now, o)
	}
}

func (r *Replica) gather(now time.Duration, o offer) {
	earlier := r.abandoned
	if r.gathering != nil {
		earlier = r.gathering.assembly
	}
	r.abandoned = nil
	r.gathering = &gathering{offer: o, assembly: table.NewAssembly(o.manifest, r.Current(), earlier)}
	if o.from != "" {
		r.fetch(now)
	}
}

// gatherNext goes on to the offer that was kept, once nothing better is at hand.
func (r *Replica) gatherNext(now time.Duration) {
	if r.next == nil || (r.gathering != nil && !r.gathering.failed) {
		return
	}
	o := *r.next
	r.next = nil
	if r.wants(o.stamp) {
		r.gather(now, o)
	}
}

// abandon gives up what is gathered and keeps its chunks for the next offer.
func (r *Replica) abandon(now time.Duration) {
	r.abandoned = r.gathering.assembly
	r.gathering = nil
	r.nextAsk = now
}
