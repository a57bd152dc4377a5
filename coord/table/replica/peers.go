package replica

import (
	"slices"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// maxHolderQueries is the maximum number of concurrent queries for an announced
// table.
const maxHolderQueries = 2

// announcementTTL is how long an announced table is queried for after the last
// message from a peer that holds it.
const announcementTTL = 10 * time.Second

// maxHolders is the maximum number of holders of an announced table that are
// remembered.
const maxHolders = 8

// join queries several peers at once, before the first table is installed: the
// platform that this instance reads may be stale. Without peers it joins at once.
func (r *Replica) join(now time.Duration) {
	if r.joined {
		return
	}
	for _, c := range r.calls {
		if c.initial {
			return
		}
	}
	if len(r.localPeers)+len(r.remotePeers) == 0 {
		r.joined = r.hasMembers
		return
	}
	peers := append(r.sample(r.localPeers, r.config.JoinPeers), r.sample(r.remotePeers, r.config.JoinPeers)...)
	for _, peer := range peers[:min(r.config.JoinPeers, len(peers))] {
		r.queryPeer(now, call{peer: peer, initial: true})
	}
	r.joinDeadline = now + r.config.JoinWait
}

// queryPeer sends a query that carries this instance's stamp.
func (r *Replica) queryPeer(now time.Duration, c call) {
	c.kind = queryCall
	c.deadline = now + r.config.CallTimeout
	r.emit(QueryPeer{Call: r.begin(c), Peer: c.peer, Have: r.Stamp()})
}

// queryRandomPeer sends the periodic query to a random peer.
func (r *Replica) queryRandomPeer(now time.Duration) {
	if now < r.nextQuery {
		return
	}
	r.nextQuery = now + r.config.QueryInterval
	r.queryCount++
	pool := r.localPeers
	if len(pool) == 0 || (len(r.remotePeers) > 0 && r.queryCount%r.config.RemoteQueryEvery == 0) {
		pool = r.remotePeers
	}
	for _, peer := range r.sample(pool, 1) {
		r.queryPeer(now, call{peer: peer})
	}
}

// announce sends a query to a few random peers, since a query carries the stamp of
// the table that this instance has just installed.
func (r *Replica) announce(now time.Duration, except string) {
	for _, peer := range append(r.sample(r.localPeers, r.config.Fanout), r.sample(r.remotePeers, 1)...) {
		if peer != except {
			r.queryPeer(now, call{peer: peer})
		}
	}
}

// sample returns up to count names, drawn at random without replacement.
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

// announcement is the newest table that peers have reported, and who holds it.
type announcement struct {
	stamp   table.Stamp
	holders []string
	// nextHolder counts the queries; modulo the number of holders it is the index
	// of the next one to query.
	nextHolder int
	// retryAt is when the next holder may be queried.
	retryAt time.Duration
	// expiresAt is when the announcement expires.
	expiresAt time.Duration
}

// peerHolds records that a peer holds the table with that stamp.
func (r *Replica) peerHolds(now time.Duration, peer string, stamp table.Stamp) {
	a := &r.announced
	if stamp.Above(a.stamp) {
		*a = announcement{stamp: stamp, retryAt: now}
	}
	if stamp == a.stamp {
		a.expiresAt = now + announcementTTL
	}
	if stamp == a.stamp && !slices.Contains(a.holders, peer) && len(a.holders) < maxHolders {
		a.holders = append(a.holders, peer)
	}
}

// queryHolders queries the holders of the announced table in turn until one of
// them has sent its manifest.
func (r *Replica) queryHolders(now time.Duration) {
	a := &r.announced
	for range a.holders {
		if now < a.retryAt || now >= a.expiresAt || !r.wants(a.stamp) || r.countQueries(a.stamp) >= maxHolderQueries {
			return
		}
		peer := a.holders[a.nextHolder%len(a.holders)]
		a.nextHolder++
		if !r.isQuerying(peer, a.stamp) {
			r.queryPeer(now, call{peer: peer, announced: a.stamp})
		}
	}
}

// countQueries returns the number of queries in progress for a table.
func (r *Replica) countQueries(stamp table.Stamp) int {
	count := 0
	for _, c := range r.calls {
		if c.kind == queryCall && c.announced == stamp {
			count++
		}
	}
	return count
}

// isQuerying reports whether a query for that table to that peer is in progress.
func (r *Replica) isQuerying(peer string, stamp table.Stamp) bool {
	for _, c := range r.calls {
		if c.kind == queryCall && c.announced == stamp && c.peer == peer {
			return true
		}
	}
	return false
}

// queryFailed lets queryHolders continue with the next holder after a pause.
func (r *Replica) queryFailed(now time.Duration, c call) {
	if c.announced == r.announced.stamp {
		r.announced.retryAt = now + r.config.RetryAfter
	}
}

func (r *Replica) peerResponded(now time.Duration, e PeerResponded) {
	c, inProgress := r.end(e.Call, queryCall)
	if !inProgress {
		return
	}
	if c.announced.Above(e.Stamp) {
		r.removeHolder(c.peer) // the peer has restarted and lost its table
	}
	r.peerHolds(now, c.peer, e.Stamp)
	if len(e.Manifest) > 0 {
		r.consider(now, e.Manifest, c.peer)
	}
}

// removeHolder removes a peer from the holders of the announced table.
func (r *Replica) removeHolder(peer string) {
	a := &r.announced
	a.holders = slices.DeleteFunc(a.holders, func(name string) bool { return name == peer })
}

func (r *Replica) chunksFetched(now time.Duration, e ChunksFetched) {
	_, inProgress := r.end(e.Call, fetchCall)
	g := r.collection
	if !inProgress || g == nil || g.fetch != e.Call {
		return
	}
	progress := false
	for _, data := range e.Chunks {
		progress = g.assembly.Add(data) || progress
	}
	if !progress {
		r.abandon(now) // the peer has installed another table meanwhile
		return
	}
	r.fetch(now)
}

// fetch requests the missing chunks from the peer that the manifest came from.
func (r *Replica) fetch(now time.Duration) {
	g := r.collection
	missing := g.assembly.Missing()
	if len(missing) == 0 {
		return
	}
	digests := make([]string, len(missing))
	for i, ref := range missing {
		digests[i] = ref.Digest
	}
	g.fetch = r.begin(call{kind: fetchCall, deadline: now + r.config.CallTimeout, peer: g.from})
	r.emit(FetchChunks{Call: g.fetch, Peer: g.from, Digests: digests})
}
