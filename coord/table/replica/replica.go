package replica

import (
	"errors"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Replica is one instance's copy of the register. It is not safe for concurrent
// use.
type Replica struct {
	config   Config
	register table.Register
	actions  []Action
	nextCall Call
	calls    map[Call]call

	// listed says that the live instances are known.
	listed bool
	near   []string
	far    []string

	reader    bool
	watching  bool
	index     uint64
	renew     bool
	nextWatch time.Duration
	backoff   time.Duration

	started  bool
	joined   bool
	joinBy   time.Duration
	nextAsk  time.Duration
	askCount int

	announced announcement

	gathering *gathering
	next      *offer
	abandoned *table.Assembly
	rejected  rejections
}

// New returns a replica that holds no table.
func New(config Config) *Replica {
	return &Replica{config: config, calls: make(map[Call]call)}
}

// Current returns the table in force, or nil before the first.
func (r *Replica) Current() *table.Table { return r.register.Current() }

// Stamp returns the stamp of the table in force.
func (r *Replica) Stamp() table.Stamp { return r.register.Stamp() }

// Reader tells whether this instance watches the platform.
func (r *Replica) Reader() bool { return r.reader }

// Step takes an event at time now, which never falls, and returns what to do.
func (r *Replica) Step(now time.Duration, event Event) []Action {
	if !r.started {
		r.started = true
		r.joinBy = now + r.config.JoinWait
		r.nextAsk = now + r.config.AskEvery
	}
	switch e := event.(type) {
	case Members:
		r.members(now, e.Peers)
	case Heard:
		r.heard(now, e.Peer, e.Stamp)
	case ManifestRead:
		r.manifestRead(now, e)
	case ChunkRead:
		r.chunkRead(now, e)
	case PeerAnswered:
		r.peerAnswered(now, e)
	case ChunksFetched:
		r.chunksFetched(now, e)
	case CallFailed:
		r.callFailed(now, e.Call)
	}
	r.expire(now)
	r.settle(now)
	r.gatherNext(now)
	r.pursue(now)
	r.ask(now)
	r.watch(now)
	r.read(now)
	actions := r.actions
	r.actions = nil
	return actions
}

func (r *Replica) do(action Action) { r.actions = append(r.actions, action) }

// settle installs a table that is whole, once the instance has joined.
func (r *Replica) settle(now time.Duration) {
	if !r.joined && now >= r.joinBy {
		r.joined = true
	}
	g := r.gathering
	if g == nil || !r.joined || len(g.assembly.Missing()) > 0 {
		return
	}
	r.gathering = nil
	if r.Current() == nil && r.next != nil && r.wants(r.next.stamp) {
		r.abandoned = g.assembly // the first table is the newest that is known of
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
	r.do(Install{Table: built, From: g.from})
	r.tell(now, g.from)
}

// reject remembers a manifest with findings, so that it is not tried again.
func (r *Replica) reject(stamp table.Stamp, from string, err error) {
	r.rejected.add(stamp)
	var findings table.Findings
	errors.As(err, &findings)
	r.do(Reject{Stamp: stamp, From: from, Findings: findings})
}

// rejectionsLimit bounds how many rejected stamps are remembered.
const rejectionsLimit = 64

// rejections are the stamps that were rejected last.
type rejections struct{ stamps []table.Stamp }

func (r *rejections) add(stamp table.Stamp) {
	if r.has(stamp) {
		return
	}
	r.stamps = append(r.stamps, stamp)
	if len(r.stamps) > rejectionsLimit {
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
