package direct

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
)

// knownWorkers holds the workers that the store, peers and the workers themselves
// have told of. It is safe for concurrent use.
type knownWorkers struct {
	mu       sync.Mutex
	registry *worker.Registry
	// list and byID are copies of the registry's contents, replaced when it
	// changes.
	list []worker.Worker
	byID map[string]worker.Worker
	// listDigest is the digest of list.
	listDigest uint64
}

func newKnownWorkers(config worker.Config) *knownWorkers {
	return &knownWorkers{registry: worker.NewRegistry(config), byID: make(map[string]worker.Worker)}
}

// change applies a change to the registry.
func (k *knownWorkers) change(change func(*worker.Registry) []worker.Event) []worker.Event {
	k.mu.Lock()
	defer k.mu.Unlock()
	events := change(k.registry)
	if len(events) == 0 {
		return nil
	}
	k.list = k.registry.Workers()
	clear(k.byID)
	for _, w := range k.list {
		k.byID[w.ID] = w
	}
	k.listDigest = digestWorkers(k.list)
	return events
}

// find returns a worker by id.
func (k *knownWorkers) find(id string) (worker.Worker, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w, known := k.byID[id]
	return w, known
}

// all returns every worker that is not gone. Callers must not modify the result.
func (k *knownWorkers) all() []worker.Worker {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list
}

// isMissing reports whether the worker's entry lapsed during an outage of the store.
func (k *knownWorkers) isMissing(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.Missing(id)
}

// storeMayLackWrites reports whether the store has lately returned from an older copy.
func (k *knownWorkers) storeMayLackWrites(at time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.MayLackWrites(at)
}

// storeEra returns the era of the store.
func (k *knownWorkers) storeEra() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.Era()
}

// isFromOlderEra reports whether a worker's entry was not seen in the store's era yet.
func (k *knownWorkers) isFromOlderEra(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.IsFromOlderEra(id)
}

// entries returns every worker in the form sent to peers. The newest removal is added, so
// that the latest version among them is that of the listing: a receiver would otherwise
// keep a removed worker whose entry is newer than all others.
func (k *knownWorkers) entries() []*clusterpb.WorkerEntry {
	k.mu.Lock()
	defer k.mu.Unlock()
	var encoded []*clusterpb.WorkerEntry
	for _, e := range k.registry.Entries() {
		encoded = append(encoded, encodeWorker(e.Worker, e.Version, false))
	}
	if removal := k.registry.NewestRemoval(); removal.ID != "" && k.byID[removal.ID].ID == "" {
		encoded = append(encoded, encodeWorker(worker.Worker{ID: removal.ID}, removal.Version, true))
	}
	return encoded
}

// digest returns a hash of the workers. Their adapters and slot counts are left out.
func (k *knownWorkers) digest() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.listDigest
}

func digestWorkers(workers []worker.Worker) uint64 {
	sum := uint64(0)
	for _, w := range workers {
		sum ^= xxhash.Sum64String(fmt.Sprintf("%s %s %t %d %d", w.ID, w.Address, w.Draining, w.Born, len(w.Models)))
	}
	return sum
}
