package replica

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// readersKey is hashed to choose the readers of a data centre.
const readersKey = "configuration-readers"

// members learns who lives, and so who reads.
func (r *Replica) members(now time.Duration, peers []Peer) {
	r.near, r.far = nil, nil
	r.listed = len(peers) > 0
	for _, p := range peers {
		switch {
		case p.Name == r.config.Self:
		case p.DataCentre == r.config.DataCentre:
			r.near = append(r.near, p.Name)
		default:
			r.far = append(r.far, p.Name)
		}
	}
	candidates := append([]string{r.config.Self}, r.near...)
	order := ownership.Rank(readersKey, candidates)
	r.reader = false
	for _, name := range order[:min(r.config.Readers, len(order))] {
		r.reader = r.reader || name == r.config.Self
	}
	r.join(now)
}

// watch keeps one blocking query at the platform while this instance reads.
func (r *Replica) watch(now time.Duration) {
	if !r.reader || r.watching || now < r.nextWatch {
		return
	}
	r.watching = true
	deadline := now + r.config.WatchWait + r.config.WatchMargin
	if r.index == 0 {
		deadline = now + r.config.CallTimeout
	}
	r.do(WatchManifest{
		Call:          r.begin(call{kind: watchCall, deadline: deadline}),
		Index:         r.index,
		Wait:          r.config.WatchWait,
		NewConnection: r.renew,
	})
	r.renew = false
}

func (r *Replica) manifestRead(now time.Duration, e ManifestRead) {
	if _, awaited := r.end(e.Call, watchCall); !awaited {
		return
	}
	r.watching = false
	r.backoff = 0
	if e.Index != r.index || e.Index == 0 {
		r.nextWatch = now + r.config.Coalesce
	}
	r.index = e.Index
	r.consider(now, e.Data, "")
}

// watchFailed pauses, twice as long after each failure, and then reads the value
// at once rather than wait for a change that may have been missed.
func (r *Replica) watchFailed(now time.Duration) {
	r.watching = false
	r.index = 0
	r.backoff = min(max(2*r.backoff, r.config.RetryAfter), r.config.RetryLimit)
	r.nextWatch = now + r.backoff
}

// read reads missing chunks from the platform, a few at a time.
func (r *Replica) read(now time.Duration) {
	g := r.gathering
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
		r.do(ReadChunk{Call: id, Key: ref.Key})
	}
}

// chunkRead takes in a chunk. Bytes with another digest are of another revision:
// the chunk is read again later, unless a newer manifest comes first.
func (r *Replica) chunkRead(now time.Duration, e ChunkRead) {
	c, awaited := r.end(e.Call, readCall)
	if !awaited {
		return
	}
	if r.gathering == nil || r.gathering.assembly.Add(e.Data) {
		return
	}
	if table.Digest(e.Data) != c.digest {
		r.readFailed(now)
	}
}

func (r *Replica) readFailed(now time.Duration) {
	if g := r.gathering; g != nil && g.from == "" {
		g.failed = true
		g.retryAt = now + r.config.RetryAfter
	}
}
