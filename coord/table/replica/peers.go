package replica

import (
	"slices"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// newerAsks bounds the questions about one newer table that run at once.
const newerAsks = 2

// believedFor is how long after the last word of a holder it is asked.
const believedFor = 10 * time.Second

// holdersLimit bounds how many holders of an announced table are remembered.
const holdersLimit = 8

// join asks several peers before the first table is installed.
func (r *Replica) join(now time.Duration) {
	if r.joined {
		return
	}
	for _, c := range r.calls {
		if c.join {
			return
		}
	}
	if len(r.near)+len(r.far) == 0 {
		r.joined = r.listed
		return
	}
	peers := append(r.sample(r.near, r.config.JoinPeers), r.sample(r.far, r.config.JoinPeers)...)
	for _, peer := range peers[:min(r.config.JoinPeers, len(peers))] {
		r.askPeer(now, call{peer: peer, join: true})
	}
	r.joinBy = now + r.config.JoinWait
}

func (r *Replica) askPeer(now time.Duration, c call) {
	c.kind = askCall
	c.deadline = now + r.config.CallTimeout
	r.do(AskPeer{Call: r.begin(c), Peer: c.peer, Have: r.Stamp()})
}

// ask puts the steady question to a random peer.
func (r *Replica) ask(now time.Duration) {
	if now < r.nextAsk {
		return
	}
	r.nextAsk = now + r.config.AskEvery
	r.askCount++
	pool := r.near
	if len(pool) == 0 || (len(r.far) > 0 && r.askCount%r.config.FarEvery == 0) {
		pool = r.far
	}
	for _, peer := range r.sample(pool, 1) {
		r.askPeer(now, call{peer: peer})
	}
}

// tell puts the question to a few peers at once, which learn from it what this
// instance has installed.
func (r *Replica) tell(now time.Duration, except string) {
	for _, peer := range append(r.sample(r.near, r.config.Fanout), r.sample(r.far, 1)...) {
		if peer != except {
			r.askPeer(now, call{peer: peer})
		}
	}
}

// sample returns up to count random names.
func (r *Replica) sample(names []string, count int) []string {
	picked := make([]string, 0, count)
	for _, i := range r.config.Random.Perm(len(names)) {
		if len(picked) == count {
			break
		}
		picked = append(picked, names[i])
	}
	return picked
}

// announcement is the newest table that peers have told of, and who they are.
type announcement struct {
	stamp   table.Stamp
	holders []string
	turn    int
	retryAt time.Duration
	// until is when the holders are believed no longer.
	until time.Duration
}

// heard notes that a peer holds a table.
func (r *Replica) heard(now time.Duration, peer string, stamp table.Stamp) {
	a := &r.announced
	if stamp.Above(a.stamp) {
		*a = announcement{stamp: stamp, retryAt: now}
	}
	if stamp == a.stamp {
		a.until = now + believedFor
	}
	if stamp == a.stamp && !slices.Contains(a.holders, peer) && len(a.holders) < holdersLimit {
		a.holders = append(a.holders, peer)
	}
}

// pursue asks the holders of an announced table in turn until it is gathered.
func (r *Replica) pursue(now time.Duration) {
	a := &r.announced
	for range a.holders {
		if now < a.retryAt || now >= a.until || !r.wants(a.stamp) || r.asked(a.stamp) >= newerAsks {
			return
		}
		peer := a.holders[a.turn%len(a.holders)]
		a.turn++
		if !r.asking(peer, a.stamp) {
			r.askPeer(now, call{peer: peer, about: a.stamp})
		}
	}
}

// asked counts the questions about a table that have no answer yet.
func (r *Replica) asked(about table.Stamp) int {
	count := 0
	for _, c := range r.calls {
		if c.kind == askCall && c.about == about {
			count++
		}
	}
	return count
}

func (r *Replica) asking(peer string, about table.Stamp) bool {
	for _, c := range r.calls {
		if c.kind == askCall && c.about == about && c.peer == peer {
			return true
		}
	}
	return false
}

// askFailed lets pursue go on to the next holder after a pause.
func (r *Replica) askFailed(now time.Duration, c call) {
	if c.about == r.announced.stamp {
		r.announced.retryAt = now + r.config.RetryAfter
	}
}

func (r *Replica) peerAnswered(now time.Duration, e PeerAnswered) {
	c, awaited := r.end(e.Call, askCall)
	if !awaited {
		return
	}
	if c.about.Above(e.Stamp) {
		r.forget(c.peer) // it has been replaced and lost what it held
	}
	r.heard(now, c.peer, e.Stamp)
	if len(e.Manifest) > 0 {
		r.consider(now, e.Manifest, c.peer)
	}
}

// forget takes a peer off the holders of the announced table.
func (r *Replica) forget(peer string) {
	a := &r.announced
	a.holders = slices.DeleteFunc(a.holders, func(name string) bool { return name == peer })
}

func (r *Replica) chunksFetched(now time.Duration, e ChunksFetched) {
	_, awaited := r.end(e.Call, fetchCall)
	g := r.gathering
	if !awaited || g == nil || g.fetch != e.Call {
		return
	}
	progress := false
	for _, data := range e.Chunks {
		progress = g.assembly.Add(data) || progress
	}
	if !progress {
		r.abandon(now) // the peer has moved on to another table
		return
	}
	r.fetch(now)
}

// fetch asks the peer that a manifest came from for the missing chunks.
func (r *Replica) fetch(now time.Duration) {
	g := r.gathering
	missing := g.assembly.Missing()
	if len(missing) == 0 {
		return
	}
	digests := make([]string, len(missing))
	for i, ref := range missing {
		digests[i] = ref.Digest
	}
	g.fetch = r.begin(call{kind: fetchCall, deadline: now + r.config.CallTimeout, peer: g.from})
	r.do(FetchChunks{Call: g.fetch, Peer: g.from, Digests: digests})
}
