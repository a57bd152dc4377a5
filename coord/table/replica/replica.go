package replica

import (
	"errors"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Replica is one instance's copy of the register of tables. It is not safe for
// concurrent use.
type Replica struct {
	config   Config
	register table.Register
	actions  []Action
	nextCall Call
	// calls holds the calls in progress.
	calls map[Call]call

	// hasMembers reports whether the member list has been received.
	hasMembers bool
	// localPeers and remotePeers are the peers in the same and in other data
	// centres.
	localPeers  []string
	remotePeers []string

	isReader bool
	watching bool
	// manifestIndex is the manifest's index at the platform; 0 reads without
	// blocking.
	manifestIndex uint64
	// newConnection requests a new connection for the next watch, since the last
	// one timed out.
	newConnection bool
	nextWatch     time.Duration
	watchBackoff  time.Duration

	started bool
	// joined reports whether a table may be installed: the initial queries have
	// ended, timed out, or there are no peers.
	joined       bool
	joinDeadline time.Duration
	nextQuery    time.Duration
	queryCount   int

	announced announcement

	// collection is the offer whose chunks are being collected, or nil.
	collection *collection
	// nextOffer is the newest offer that waits until collection has ended.
	nextOffer *offer
	// abandoned keeps the chunks of the last assembly that was given up.
	abandoned *table.Assembly
	rejected  rejections
}

// New returns a replica without a table.
func New(config Config) *Replica {
	return &Replica{config: config, calls: make(map[Call]call)}
}

// Current returns the table in force, or nil before the first one is installed.
func (r *Replica) Current() *table.Table { return r.register.Current() }

// Stamp returns the stamp of the table in force, or the zero Stamp before the
// first.
func (r *Replica) Stamp() table.Stamp { return r.register.Stamp() }

// Reader reports whether this instance watches the platform.
func (r *Replica) Reader() bool { return r.isReader }

// Step processes an event and returns the actions to take, in order. The time now
// must never decrease from one call to the next.
func (r *Replica) Step(now time.Duration, event Event) []Action {
	if !r.started {
		r.started = true
		r.joinDeadline = now + r.config.JoinWait
		r.nextQuery = now + r.config.QueryInterval
	}
	switch e := event.(type) {
	case Members:
		r.updateMembers(now, e.Peers)
	case PeerHolds:
		r.peerHolds(now, e.Peer, e.Stamp)
	case ManifestRead:
		r.manifestRead(now, e)
	case ChunkRead:
		r.chunkRead(now, e)
	case PeerResponded:
		r.peerResponded(now, e)
	case ChunksFetched:
		r.chunksFetched(now, e)
	case CallFailed:
		r.callFailed(now, e.Call)
	}
	r.expire(now)
	r.installComplete(now)
	r.collectNext(now)
	r.queryHolders(now)
	r.queryRandomPeer(now)
	r.watchManifest(now)
	r.readChunks(now)
	actions := r.actions
	r.actions = nil
	return actions
}

func (r *Replica) emit(action Action) { r.actions = append(r.actions, action) }

// installComplete installs the table whose chunks have all been collected, once
// the instance has joined.
func (r *Replica) installComplete(now time.Duration) {
	if !r.joined && now >= r.joinDeadline {
		r.joined = true
	}
	g := r.collection
	if g == nil || !r.joined || len(g.assembly.Missing()) > 0 {
		return
	}
	r.collection = nil
	if r.Current() == nil && r.nextOffer != nil && r.wants(r.nextOffer.stamp) {
		r.abandoned = g.assembly // start with the newest known table
		return
	}
	built, err := g.assembly.Build()
	if err != nil {
		r.abandoned = g.assembly
		r.reject(g.stamp, g.from, err)
		return
	}
	r.abandoned = nil
	if !r.register.Offer(built) {
		return
	}
	r.emit(Install{Table: built, From: g.from})
	r.announce(now, g.from)
}

// reject reports and remembers a manifest or table with findings, so that it is
// not tried again.
func (r *Replica) reject(stamp table.Stamp, from string, err error) {
	r.rejected.add(stamp)
	var findings table.Findings
	errors.As(err, &findings)
	r.emit(Reject{Stamp: stamp, From: from, Findings: findings})
}

// maxRejections is the maximum number of rejected stamps that are remembered.
const maxRejections = 64

// rejections holds the most recently rejected stamps, oldest first.
type rejections struct{ stamps []table.Stamp }

func (r *rejections) add(stamp table.Stamp) {
	if r.has(stamp) {
		return
	}
	r.stamps = append(r.stamps, stamp)
	if len(r.stamps) > maxRejections {
		r.stamps = r.stamps[1:]
	}
}

func (r *rejections) has(stamp table.Stamp) bool {
	for _, s := range r.stamps {
		if s == stamp {
			return true
		}
	}
	return false
}
