package replica

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// readersKey is the key of the rendezvous hashing that chooses the readers of a
// data centre. All instances must use the same one.
const readersKey = "configuration-readers"

// updateMembers updates the live peers and whether this instance is a reader.
func (r *Replica) updateMembers(now time.Duration, peers []Peer) {
	r.localPeers, r.remotePeers = nil, nil
	r.hasMembers = len(peers) > 0
	for _, p := range peers {
		switch {
		case p.Name == r.config.Self:
		case p.DataCentre == r.config.DataCentre:
			r.localPeers = append(r.localPeers, p.Name)
		default:
			r.remotePeers = append(r.remotePeers, p.Name)
		}
	}
	candidates := append([]string{r.config.Self}, r.localPeers...)
	ranked := ownership.Rank(readersKey, candidates)
	r.isReader = false
	for _, name := range ranked[:min(r.config.Readers, len(ranked))] {
		r.isReader = r.isReader || name == r.config.Self
	}
	r.join(now)
}

// watchManifest keeps one blocking query to the platform open while this
// instance is a reader.
func (r *Replica) watchManifest(now time.Duration) {
	if !r.isReader || r.watching || now < r.nextWatch {
		return
	}
	r.watching = true
	deadline := now + r.config.WatchWait + r.config.WatchMargin
	if r.manifestIndex == 0 {
		deadline = now + r.config.CallTimeout
	}
	r.emit(WatchManifest{
		Call:          r.begin(call{kind: watchCall, deadline: deadline}),
		Index:         r.manifestIndex,
		Wait:          r.config.WatchWait,
		NewConnection: r.newConnection,
	})
	r.newConnection = false
}

func (r *Replica) manifestRead(now time.Duration, e ManifestRead) {
	if _, inProgress := r.end(e.Call, watchCall); !inProgress {
		return
	}
	r.watching = false
	r.watchBackoff = 0
	if e.Index != r.manifestIndex || e.Index == 0 {
		r.nextWatch = now + r.config.CoalesceDelay
	}
	r.manifestIndex = e.Index
	r.consider(now, e.Data, "")
}

// watchFailed backs off exponentially. The next read then returns the manifest at
// once instead of waiting for a change, since a change may have been missed.
func (r *Replica) watchFailed(now time.Duration) {
	r.watching = false
	r.manifestIndex = 0
	r.watchBackoff = min(max(2*r.watchBackoff, r.config.RetryAfter), r.config.MaxRetryAfter)
	r.nextWatch = now + r.watchBackoff
}

// readChunks reads missing chunks from the platform, at most ReadConcurrency at
// a time.
func (r *Replica) readChunks(now time.Duration) {
	g := r.collection
	if g == nil || g.from != "" || now < g.retryAt {
		return
	}
	reading := make(map[string]bool)
	for _, c := range r.calls {
		if c.kind == readCall {
			reading[c.digest] = true
		}
	}
	for _, ref := range g.assembly.Missing() {
		if len(reading) >= r.config.ReadConcurrency {
			return
		}
		if reading[ref.Digest] {
			continue
		}
		reading[ref.Digest] = true
		id := r.begin(call{kind: readCall, deadline: now + r.config.CallTimeout, digest: ref.Digest})
		r.emit(ReadChunk{Call: id, Key: ref.Key})
	}
}

// chunkRead adds a chunk to the assembly. Bytes with another digest belong to
// another revision: the chunk is read again later, unless a newer manifest arrives
// first.
func (r *Replica) chunkRead(now time.Duration, e ChunkRead) {
	c, inProgress := r.end(e.Call, readCall)
	if !inProgress {
		return
	}
	if r.collection == nil || r.collection.assembly.Add(e.Data) {
		return
	}
	if table.Digest(e.Data) != c.digest {
		r.readFailed(now)
	}
}

// readFailed lets another offer replace the current one and pauses its reads.
func (r *Replica) readFailed(now time.Duration) {
	if g := r.collection; g != nil && g.from == "" {
		g.failed = true
		g.retryAt = now + r.config.RetryAfter
	}
}
