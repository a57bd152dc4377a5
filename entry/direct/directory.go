package direct

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bulrushwick/bulrushwick/coord/revision"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
)

// Bounds for sharing the store's contents within a cluster.
const (
	// storeReaders is the number of voters of a regional cluster that watch the
	// store; the other instances learn from them. More readers tolerate more
	// failures at once, but cost the store more calls.
	storeReaders = 3
	// maxSpareReaders is the number of followers that read the store while too few
	// voters reach it. Where it turns a third of all instances away, some of these
	// reach it; more cost the store more calls in an outage.
	maxSpareReaders = 8
	// updateTTL is how long an update is sent with every heartbeat: four
	// heartbeats of 400 ms.
	updateTTL = 1700 * time.Millisecond
	// digestMismatchGrace is how long a reader's digest must differ before its
	// whole listing is fetched. Until then the missing updates may still
	// arrive.
	digestMismatchGrace = 1500 * time.Millisecond
	// joinGrace is how long an instance of a regional cluster waits after its
	// start for updates of others before it reads the store itself: three
	// heartbeats of 400 ms.
	joinGrace = 1200 * time.Millisecond
	// surplusReaderGrace is how long an instance goes on reading the store
	// after enough others do.
	surplusReaderGrace = 3 * time.Second
	// firstListingMargin is added to surplusReaderGrace for the heartbeats that
	// tell that other readers are back.
	firstListingMargin = 500 * time.Millisecond
)

// directorySync shares the store's contents with peers through heartbeats: the
// readers of the store send updates, the others compare digests. It is safe for
// concurrent use.
type directorySync struct {
	mu       sync.Mutex
	workers  map[string]workerUpdate
	versions map[string]versionUpdate
	// storeUnavailable is set while this instance reads the store and gets no
	// response.
	storeUnavailable bool
	readsStore       bool
	// peersWithoutStore holds the peers that read the store and get no response.
	peersWithoutStore map[string]bool
	// peerDigests holds the latest digest of each peer.
	peerDigests map[string]uint64
	// mismatchSince holds when each reader's digest began to differ.
	mismatchSince map[string]time.Duration
	// peerReaders holds the peers that read the store and get a response.
	peerReaders map[string]bool
}

type workerUpdate struct {
	entry     *clusterpb.WorkerEntry
	expiresAt time.Duration
}

type versionUpdate struct {
	version   *clusterpb.AdapterVersion
	expiresAt time.Duration
}

func newDirectorySync() *directorySync {
	return &directorySync{
		workers: make(map[string]workerUpdate), versions: make(map[string]versionUpdate),
		peersWithoutStore: make(map[string]bool), peerDigests: make(map[string]uint64), mismatchSince: make(map[string]time.Duration),
		peerReaders: make(map[string]bool),
	}
}

// encodeWorker leaves out the adapters, which change with every order; the
// instance that controls the worker sends them.
func encodeWorker(w worker.Worker, version revision.Version, gone bool) *clusterpb.WorkerEntry {
	entry := &clusterpb.WorkerEntry{
		Id: w.ID, Revision: version.Encode(), Gone: gone, Service: w.Service, Address: w.Address, DataCentre: w.DataCentre,
		Slots: uint32(w.Slots), Draining: w.Draining, Leaving: w.Leaving, Born: w.Born,
	}
	for _, m := range w.Models {
		entry.Models = append(entry.Models, m.Name)
	}
	return entry
}

// decodeWorker decodes an entry and returns what is wrong with it: a peer of another
// release may pass on what this one rejects.
func decodeWorker(entry *clusterpb.WorkerEntry) (worker.Worker, error) {
	w := worker.Worker{
		ID: entry.GetId(), Service: entry.GetService(), Address: entry.GetAddress(), DataCentre: entry.GetDataCentre(),
		Slots: int(entry.GetSlots()), Draining: entry.GetDraining(), Leaving: entry.GetLeaving(), Born: entry.GetBorn(),
	}
	for _, name := range entry.GetModels() {
		w.Models = append(w.Models, worker.ModelState{Name: name})
	}
	return w, w.Validate()
}

// addWorkerChanges adds changes of workers to the updates sent to peers. Lapsed
// entries and changes that are not structural are left out.
func (s *directorySync) addWorkerChanges(at time.Duration, changes []worker.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changes {
		if c.Change == worker.Lapsed || c.Change == worker.Updated && !c.Structural {
			continue
		}
		s.workers[c.Worker.ID] = workerUpdate{entry: encodeWorker(c.Worker, c.Version, c.Change == worker.Gone), expiresAt: at + updateTTL}
	}
}

// addVersion adds the version of an adapter to the updates sent to peers.
func (s *directorySync) addVersion(at time.Duration, v *clusterpb.AdapterVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[v.GetModel()+"/"+v.GetAdapter()] = versionUpdate{version: v, expiresAt: at + updateTTL}
}

// peerHas reports whether the latest digest of a peer equals this instance's own.
func (s *directorySync) peerHas(peer string, ownDigest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest, known := s.peerDigests[peer]
	return known && digest == ownDigest
}

// appendUpdates appends the unexpired updates to a heartbeat's payload. If withDirectory
// is not set, it leaves out what a digest covers: all but the notices of workers that
// leave.
func (s *directorySync) appendUpdates(at time.Duration, update *clusterpb.News, withDirectory bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update.ReadsStore, update.StoreAway = s.readsStore, s.storeUnavailable
	for id, w := range s.workers {
		if at >= w.expiresAt {
			delete(s.workers, id)
			continue
		}
		if withDirectory || w.entry.GetLeaving() {
			update.Workers = append(update.Workers, w.entry)
		}
	}
	for key, v := range s.versions {
		if at >= v.expiresAt {
			delete(s.versions, key)
			continue
		}
		if withDirectory {
			update.Versions = append(update.Versions, v.version)
		}
	}
}

// observePeer records whether a peer reads the store, and reports whether its
// listing should be fetched: the digests have differed for too long, or this
// instance knows no worker yet.
func (s *directorySync) observePeer(at time.Duration, peer string, update *clusterpb.News, ownDigest uint64) (fetch bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peersWithoutStore[peer] = update.GetStoreAway()
	s.peerDigests[peer] = update.GetDirectoryDigest()
	readsStore := update.GetReadsStore() && !update.GetStoreAway()
	s.peerReaders[peer] = readsStore
	if update.GetDirectoryDigest() == ownDigest || !readsStore || s.readsStore && !s.storeUnavailable {
		delete(s.mismatchSince, peer)
		return false
	}
	since, known := s.mismatchSince[peer]
	if !known {
		s.mismatchSince[peer] = at
		return ownDigest == emptyDigest
	}
	if at-since < digestMismatchGrace {
		return false
	}
	s.mismatchSince[peer] = at
	return true
}

// emptyDigest is the digest of an instance that knows no worker and no version.
const emptyDigest = 0

// setStoreUnavailable records whether the store responds to this instance.
func (s *directorySync) setStoreUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeUnavailable = unavailable
}

// hasEnoughReaders reports whether a voter leaves the store to others: at least
// storeReaders live voters precede it in hash order and do not report the store as
// unavailable.
func (s *directorySync) hasEnoughReaders(self string, voters []string) bool {
	return precedingCount(self, s.withStore(voters)) >= storeReaders
}

// isSpareReader reports whether a follower, which hears of voters only, reads the store
// itself: if it hears no voter, or if fewer than storeReaders of them reach the store
// and at most maxSpareReaders followers precede it in hash order.
func (s *directorySync) isSpareReader(self string, voters []string, followers func() []string) bool {
	if len(voters) == 0 {
		return true
	}
	return len(s.withStore(voters)) < storeReaders && precedingCount(self, followers()) < maxSpareReaders
}

// isReader reports whether a peer said last that it reads the store and gets a response.
func (s *directorySync) isReader(peer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peerReaders[peer]
}

// withStore returns the peers that do not report the store as unavailable.
func (s *directorySync) withStore(peers []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reached []string
	for _, peer := range peers {
		if !s.peersWithoutStore[peer] {
			reached = append(reached, peer)
		}
	}
	return reached
}

// precedingCount returns the number of peers before self in hash order.
func precedingCount(self string, peers []string) int {
	count := 0
	for _, peer := range peers {
		if xxhash.Sum64String(peer) < xxhash.Sum64String(self) {
			count++
		}
	}
	return count
}

// storeReader decides whether this instance reads the store. It must be used by
// one goroutine only.
type storeReader struct {
	*Instance
	startedAt time.Duration
	cancel    context.CancelFunc
	// surplusSince is since when enough others read the store; 0 while they
	// don't.
	surplusSince time.Duration
}

// refresh starts or stops reading. In a cluster that spans all data centres
// every instance reads the store.
func (r *storeReader) refresh(ctx context.Context) {
	at := now()
	if r.settings.isRegional() && at-r.startedAt < joinGrace {
		return
	}
	if r.isNeeded() {
		r.surplusSince = 0
		r.start(ctx)
		return
	}
	if r.surplusSince == 0 {
		r.surplusSince = at
	}
	if r.cancel != nil && at-r.surplusSince >= surplusReaderGrace {
		r.cancel()
		r.cancel = nil
		r.setReading(false)
		r.StoreResponded() // from now on the other readers report lapsed entries
	}
}

// isNeeded reports whether this instance has to read the store.
func (r *storeReader) isNeeded() bool {
	self := r.settings.ControlAddress
	switch {
	case !r.settings.isRegional():
		return true
	case r.cluster.IsHub():
		return !r.directorySync.hasEnoughReaders(self, r.cluster.Live())
	}
	return r.directorySync.isSpareReader(self, r.cluster.Live(), r.cluster.Followers)
}

func (r *storeReader) start(ctx context.Context) {
	if r.cancel != nil {
		return
	}
	ctx, r.cancel = context.WithCancel(ctx)
	r.setReading(true)
	r.fleet.changeWorkers(func(registry *worker.Registry) []worker.Event { registry.ReadingBegins(); return nil })
	go recovery.Loop(ctx, r.gateway.reportPanic, "store", func(ctx context.Context) { r.ports.Directory.Run(ctx, r.Instance) })
}

// close stops reading.
func (r *storeReader) close() {
	if r.cancel != nil {
		r.cancel()
	}
}

func (r *storeReader) setReading(reading bool) {
	r.directorySync.mu.Lock()
	defer r.directorySync.mu.Unlock()
	r.directorySync.readsStore, r.directorySync.storeUnavailable = reading, false
}
