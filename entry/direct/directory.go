package direct

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
)

// Sharing of what the store says within a cluster.
const (
	// storeReaders is the number of voters of a region's cluster that watch the
	// store; the rest learn from them. More ride out more losses at once, and cost
	// the store more calls.
	storeReaders = 3
	// newsFor is how long beats repeat a piece of news; four beats.
	newsFor = 1700 * time.Millisecond
	// differsFor is how long a reader's digest must differ before its whole
	// listing is fetched; the news may be on its way.
	differsFor = 1500 * time.Millisecond
	// joinWait is how long an instance of a regional cluster waits after its start
	// for others' news before it reads the store itself: three beats.
	joinWait = 1200 * time.Millisecond
	// readerKeeps is how long an instance goes on reading after others suffice.
	readerKeeps = 3 * time.Second
)

// shared is the part of the store's news that goes with beats. It is safe for
// concurrent use.
type shared struct {
	mu       sync.Mutex
	workers  map[string]sharedWorker
	versions map[string]sharedVersion
	// away tells that this instance reads the store and gets no answer.
	away    bool
	reading bool
	// peersAway holds the peers that say the same.
	peersAway map[string]bool
	// differs is since when each reader's digest has differed.
	differs map[string]time.Duration
}

type sharedWorker struct {
	entry *clusterpb.WorkerEntry
	until time.Duration
}

type sharedVersion struct {
	version *clusterpb.AdapterVersion
	until   time.Duration
}

func newShared() *shared {
	return &shared{
		workers: make(map[string]sharedWorker), versions: make(map[string]sharedVersion),
		peersAway: make(map[string]bool), differs: make(map[string]time.Duration),
	}
}

// encodeWorker leaves out the adapters, which change with every order; the
// instance that orders the worker tells them.
func encodeWorker(w worker.Worker, revision uint64, gone bool) *clusterpb.WorkerEntry {
	entry := &clusterpb.WorkerEntry{
		Id: w.ID, Revision: revision, Gone: gone, Service: w.Service, Address: w.Address, DataCentre: w.DataCentre,
		Slots: uint32(w.Slots), Draining: w.Draining, Born: w.Born,
	}
	for _, m := range w.Models {
		entry.Models = append(entry.Models, m.Name)
	}
	return entry
}

func decodeWorker(entry *clusterpb.WorkerEntry) worker.Worker {
	w := worker.Worker{
		ID: entry.GetId(), Service: entry.GetService(), Address: entry.GetAddress(), DataCentre: entry.GetDataCentre(),
		Slots: int(entry.GetSlots()), Draining: entry.GetDraining(), Born: entry.GetBorn(),
	}
	for _, name := range entry.GetModels() {
		w.Models = append(w.Models, worker.ModelState{Name: name})
	}
	return w
}

// share puts news of workers into the next beats.
func (s *shared) share(at time.Duration, news []worker.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range news {
		if n.Change == worker.Lapsed || n.Change == worker.Updated && !n.Structural {
			continue
		}
		s.workers[n.Worker.ID] = sharedWorker{entry: encodeWorker(n.Worker, n.Revision, n.Change == worker.Gone), until: at + newsFor}
	}
}

// shareVersion puts the version of an adapter into the next beats.
func (s *shared) shareVersion(at time.Duration, v *clusterpb.AdapterVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[v.GetModel()+"/"+v.GetAdapter()] = sharedVersion{version: v, until: at + newsFor}
}

// outgoing fills in the news that is still fresh.
func (s *shared) outgoing(at time.Duration, news *clusterpb.News) {
	s.mu.Lock()
	defer s.mu.Unlock()
	news.ReadsStore, news.StoreAway = s.reading, s.away
	for id, w := range s.workers {
		if at >= w.until {
			delete(s.workers, id)
			continue
		}
		news.Workers = append(news.Workers, w.entry)
	}
	for key, v := range s.versions {
		if at >= v.until {
			delete(s.versions, key)
			continue
		}
		news.Versions = append(news.Versions, v.version)
	}
}

// heard notes how a peer stands with the store, and tells whether its listing
// should be fetched: the peer has known other things for long, or this instance
// knows nothing.
func (s *shared) heard(at time.Duration, from string, news *clusterpb.News, own uint64) (fetch bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peersAway[from] = news.GetStoreAway()
	reads := news.GetReadsStore() && !news.GetStoreAway()
	if news.GetDirectoryDigest() == own || !reads || s.reading && !s.away {
		delete(s.differs, from)
		return false
	}
	since, known := s.differs[from]
	if !known {
		s.differs[from] = at
		return own == emptyDigest
	}
	if at-since < differsFor {
		return false
	}
	s.differs[from] = at
	return true
}

// emptyDigest is that of an instance that knows no worker and no version.
const emptyDigest = 0

// setAway notes whether the store answers this instance.
func (s *shared) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// enough tells whether storeReaders others that come first read the store with
// success.
func (s *shared) enough(self string, live []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := 0
	for _, peer := range live {
		if !s.peersAway[peer] && xxhash.Sum64String(peer) < xxhash.Sum64String(self) {
			before++
		}
	}
	return before >= storeReaders
}

// reader starts and stops the reading of the store. It is used by one goroutine.
type reader struct {
	*Instance
	started time.Duration
	cancel  context.CancelFunc
	// surplus is since when others suffice; 0 while they don't.
	surplus time.Duration
}

// refresh follows the cluster: where it spans the fleet every instance reads.
func (r *reader) refresh(ctx context.Context) {
	at := now()
	if r.settings.regional() && at-r.started < joinWait {
		return
	}
	if !r.settings.regional() || !r.shared.enough(r.settings.ControlAddress, r.cluster.Live()) {
		r.surplus = 0
		r.start(ctx)
		return
	}
	if r.surplus == 0 {
		r.surplus = at
	}
	if r.cancel != nil && at-r.surplus >= readerKeeps {
		r.cancel()
		r.cancel = nil
		r.setReading(false)
		r.Returned() // what lapsed is told by the readers from now on
	}
}

func (r *reader) start(ctx context.Context) {
	if r.cancel != nil {
		return
	}
	ctx, r.cancel = context.WithCancel(ctx)
	r.setReading(true)
	go r.ports.Directory.Run(ctx, r.Instance)
}

func (r *reader) setReading(reading bool) {
	r.shared.mu.Lock()
	defer r.shared.mu.Unlock()
	r.shared.reading, r.shared.away = reading, false
}
