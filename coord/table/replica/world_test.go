package replica_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/coord/table/replica"
)

// node is a Replica or a broken variant of one.
type node interface {
	Step(now time.Duration, event replica.Event) []replica.Action
}

// platform is the configuration service as seen from one data centre. Chunks are
// overwritten in place, so that a reader may get those of another revision.
type platform struct {
	manifest []byte
	chunks   map[string][]byte
	index    uint64
	down     bool
	// stale ignores new revisions.
	stale bool
	// silent drops every watch, waiting or new, except on a new connection.
	silent bool
}

type instance struct {
	name       string
	dataCentre string
	node       node
	alive      bool
	// incarnation grows with each restart, which loses all state.
	incarnation int
	inForce     *table.Table
	// frozenUntil is when a paused process continues; events are deferred until
	// then.
	frozenUntil   time.Duration
	platformCalls int // calls to the platform
	queries       int // queries to peers
	fetches       int // calls for chunks
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// world simulates instances, platforms and the network in virtual time and collects
// violations of the invariants.
type world struct {
	now       time.Duration
	seq       int
	queue     queue
	random    *rand.Rand
	newNode   func(self, dataCentre string, random *rand.Rand) node
	instances []*instance
	platforms map[string]*platform
	// partitionSide holds the side of a network partition that a data centre is
	// on, 0 or 1.
	partitionSide map[string]int
	// muted marks data centres whose messages reach no other data centre.
	muted map[string]bool
	// drop and duplicate are the probabilities that a message is lost or delivered
	// twice.
	drop, duplicate float64
	// published holds the valid chunks by revision; a revision may have several
	// variants.
	published  map[uint64][]map[string]string
	violations []string
}

const (
	tickEvery    = 100 * time.Millisecond
	membersEvery = time.Second
	silentAfter  = 3 * time.Second
)

func newWorld(seed uint64, dataCentres, perDataCentre int, factory func(string, string, *rand.Rand) node) *world {
	w := &world{
		random:        rand.New(rand.NewPCG(seed, 1)),
		newNode:       factory,
		platforms:     make(map[string]*platform),
		partitionSide: make(map[string]int),
		muted:         make(map[string]bool),
		published:     make(map[uint64][]map[string]string),
	}
	for d := range dataCentres {
		name := fmt.Sprintf("dc-%d", d)
		w.platforms[name] = &platform{chunks: make(map[string][]byte)}
		for i := range perDataCentre {
			in := &instance{name: fmt.Sprintf("%s-%d", name, i), dataCentre: name}
			w.instances = append(w.instances, in)
			w.start(in)
			w.every(tickEvery, func() { w.step(in, in.incarnation, replica.Tick{}) })
		}
	}
	w.updateMembers()
	w.every(membersEvery, w.updateMembers)
	return w
}

// after schedules run.
func (w *world) after(wait time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + wait, seq: w.seq, run: run})
}

// every schedules run repeatedly, with a random phase.
func (w *world) every(interval time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		w.after(interval, again)
	}
	w.after(time.Duration(w.random.Int64N(int64(interval))), again)
}

// run advances the virtual time and processes the events due.
func (w *world) run(span time.Duration) {
	end := w.now + span
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// start restarts an instance without any state.
func (w *world) start(in *instance) {
	in.incarnation++
	in.alive = true
	in.inForce = nil
	in.node = w.newNode(in.name, in.dataCentre, rand.New(rand.NewPCG(w.random.Uint64(), 1)))
	w.after(0, func() { w.step(in, in.incarnation, replica.Members{Peers: w.peers()}) })
}

func (w *world) kill(in *instance) {
	in.alive = false
	w.after(silentAfter, w.updateMembers)
}

func (w *world) peers() []replica.Peer {
	var peers []replica.Peer
	for _, in := range w.instances {
		if in.alive {
			peers = append(peers, replica.Peer{Name: in.name, DataCentre: in.dataCentre})
		}
	}
	return peers
}

func (w *world) updateMembers() {
	peers := w.peers()
	for _, in := range w.instances {
		w.step(in, in.incarnation, replica.Members{Peers: peers})
	}
}

// step delivers an event to an instance, unless the instance has been restarted
// since.
func (w *world) step(in *instance, incarnation int, e replica.Event) {
	if !in.alive || in.incarnation != incarnation {
		return
	}
	if w.now < in.frozenUntil {
		w.after(in.frozenUntil-w.now, func() { w.step(in, incarnation, e) })
		return
	}
	for _, action := range in.node.Step(w.now, e) {
		w.act(in, action)
	}
}

// act carries out an action of an instance.
func (w *world) act(in *instance, action replica.Action) {
	switch a := action.(type) {
	case replica.Install:
		w.installed(in, a.Table)
	case replica.QueryPeer:
		in.queries++
		w.call(in, a.Peer, a.Call, func(peer *instance) replica.Event {
			w.step(peer, peer.incarnation, replica.PeerHolds{Peer: in.name, Stamp: a.Have})
			answer := replica.PeerResponded{Call: a.Call}
			if t := peer.inForce; t != nil {
				answer.Stamp = t.Stamp()
				if answer.Stamp.Above(a.Have) {
					answer.Manifest = t.Manifest().Encode()
				}
			}
			return answer
		})
	case replica.FetchChunks:
		in.fetches++
		w.call(in, a.Peer, a.Call, func(peer *instance) replica.Event {
			answer := replica.ChunksFetched{Call: a.Call}
			for _, digest := range a.Digests {
				if peer.inForce == nil {
					break // restarted since the query
				}
				if data, found := peer.inForce.Chunk(digest); found && len(answer.Chunks) < 2 {
					answer.Chunks = append(answer.Chunks, data)
				}
			}
			return answer
		})
	case replica.WatchManifest:
		in.platformCalls++
		w.watch(in, in.incarnation, a, w.now+a.Wait)
	case replica.ReadChunk:
		in.platformCalls++
		incarnation, p := in.incarnation, w.platforms[in.dataCentre]
		w.after(w.delay(), func() {
			if data, found := p.chunks[a.Key]; found && !p.down {
				w.step(in, incarnation, replica.ChunkRead{Call: a.Call, Data: data})
			} else {
				w.step(in, incarnation, replica.CallFailed{Call: a.Call})
			}
		})
	}
}

func (w *world) delay() time.Duration {
	return time.Duration(1+w.random.IntN(40)) * time.Millisecond
}

// watch responds to a blocking query when the manifest has changed or at until.
func (w *world) watch(in *instance, incarnation int, a replica.WatchManifest, until time.Duration) {
	p := w.platforms[in.dataCentre]
	if p.silent && !a.NewConnection {
		return
	}
	w.after(w.delay(), func() {
		switch {
		case p.down || p.manifest == nil:
			w.step(in, incarnation, replica.CallFailed{Call: a.Call})
		case a.Index == 0 || p.index > a.Index || w.now >= until:
			w.step(in, incarnation, replica.ManifestRead{Call: a.Call, Data: p.manifest, Index: p.index})
		default:
			w.watch(in, incarnation, a, until)
		}
	})
}

// call delivers a request to a peer and its response back. Either may be lost or
// duplicated.
func (w *world) call(in *instance, peer string, id replica.Call, answer func(*instance) replica.Event) {
	incarnation := in.incarnation
	i := slices.IndexFunc(w.instances, func(x *instance) bool { return x.name == peer })
	to := w.instances[i]
	w.deliver(in, to, func() {
		if !to.alive {
			w.deliver(to, in, func() { w.step(in, incarnation, replica.CallFailed{Call: id}) })
			return
		}
		reply := answer(to)
		w.deliver(to, in, func() { w.step(in, incarnation, reply) })
	})
}

func (w *world) deliver(from, to *instance, run func()) {
	copies := 1
	if w.random.Float64() < w.duplicate {
		copies = 2
	}
	for range copies {
		if w.random.Float64() < w.drop {
			continue
		}
		w.after(w.delay(), func() {
			near := from.dataCentre == to.dataCentre
			if near || w.partitionSide[from.dataCentre] == w.partitionSide[to.dataCentre] && !w.muted[from.dataCentre] {
				run()
			}
		})
	}
}

// installed checks the invariants for a table that an instance installs.
func (w *world) installed(in *instance, t *table.Table) {
	if in.inForce != nil && !t.Stamp().Above(in.inForce.Stamp()) {
		w.recordViolation("%s went from %s to %s", in.name, in.inForce.Stamp(), t.Stamp())
	}
	in.inForce = t
	have := toStrings(t.Snapshot().Chunks)
	equal := func(chunks map[string]string) bool { return maps.Equal(chunks, have) }
	if !slices.ContainsFunc(w.published[t.Revision], equal) {
		w.recordViolation("%s installed a mix as revision %d", in.name, t.Revision)
	}
}

// recordViolation records a violation.
func (w *world) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%s: ", w.now)+fmt.Sprintf(format, args...))
}

func toStrings(chunks map[string][]byte) map[string]string {
	all := make(map[string]string, len(chunks))
	for key, data := range chunks {
		all[key] = string(data)
	}
	return all
}

const chunkCount = 4

// content returns the chunks of a revision. Each names the revision that it was
// last changed in, and the first defines the pool. Bad ones refer to an
// undefined pool.
func content(revisions [chunkCount]string, bad bool) map[string][]byte {
	chunks := make(map[string][]byte)
	pool := "models"
	if bad {
		pool = "model"
	}
	for i, revision := range revisions {
		rest := ""
		if i == 0 {
			rest = `, "pools": [{"name": "models", "kind": "engine", "slots": 1, "batch": 1, "endpoints": []}]`
		}
		chunks[fmt.Sprintf("c/%d", i)] = fmt.Appendf(nil, `{"adapters": [{"name": "a-%d", "pool": %q, "versions": [%q]}]%s}`, i, pool, revision, rest)
	}
	return chunks
}

// publish writes a revision to the platforms of the data centres, chunk by chunk
// with pauses and the manifest last. A bad revision has findings. A stale platform
// never shows the revision, even when it stops being stale: a later one replaces
// it.
func (w *world) publish(revision uint64, label string, bad bool, dataCentres ...string) table.Stamp {
	var versions [chunkCount]string
	for i := range versions {
		versions[i] = label
		if i > 0 && w.random.IntN(2) == 0 {
			versions[i] = "old"
		}
	}
	chunks := content(versions, bad)
	m := table.Manifest{Revision: revision}
	for _, key := range slices.Sorted(maps.Keys(chunks)) {
		m.Chunks = append(m.Chunks, table.ChunkRef{Key: key, Digest: table.Digest(chunks[key])})
	}
	if !bad {
		w.published[revision] = append(w.published[revision], toStrings(chunks))
	}
	for _, dataCentre := range dataCentres {
		p := w.platforms[dataCentre]
		if p.stale {
			continue
		}
		wait := time.Duration(0)
		for _, key := range slices.Sorted(maps.Keys(chunks)) {
			w.after(wait, func() { p.chunks[key] = chunks[key] })
			wait += w.delay()
		}
		w.after(wait, func() {
			p.manifest = m.Encode()
			p.index++
		})
	}
	return m.Stamp()
}

func (w *world) dataCentres() []string { return slices.Sorted(maps.Keys(w.platforms)) }

// behind returns the live instances that are not at stamp.
func (w *world) behind(stamp table.Stamp) []string {
	var names []string
	for _, in := range w.instances {
		if in.alive && (in.inForce == nil || in.inForce.Stamp() != stamp) {
			names = append(names, in.name)
		}
	}
	return names
}
