package worker

import (
	"maps"
	"slices"
	"time"
)

// Change tells how the belief of a worker changed.
type Change uint8

// The changes that Registry reports.
const (
	Appeared Change = iota
	Updated
	Restarted
	StartedDraining
	Gone
	// Lapsed workers are missing from the store after an outage. They are used
	// until ReturnGrace has passed.
	Lapsed
)

var changeNames = [...]string{"appeared", "updated", "restarted", "draining", "gone", "lapsed"}

// String returns the change's name in logs.
func (c Change) String() string { return changeNames[c] }

// News is a change of the belief of one worker.
type News struct {
	Worker Worker
	Change Change
	// Revision is that of the entry, or of its deletion.
	Revision uint64
	// Structural updates change more than what the worker holds beside its models.
	Structural bool
}

// Registry is what an instance knows of workers from the metadata store. The
// store's entries may lapse while it is away; until ReturnGrace after its return
// a missing entry says nothing. It is not safe for concurrent use.
type Registry struct {
	workers map[string]*known
	// graceEnds is when missing entries count as gone again.
	graceEnds time.Duration
	away      bool
	// buried holds the revisions at which workers went, so that late news does not
	// bring them back.
	buried map[string]uint64
}

type known struct {
	worker   Worker
	revision uint64
	// missing is set while the entry is absent and not yet given up.
	missing bool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{workers: make(map[string]*known), buried: make(map[string]uint64)}
}

// Missing tells whether a worker's entry is absent and not yet given up.
func (r *Registry) Missing(id string) bool {
	k := r.workers[id]
	return k != nil && k.missing
}

// StoreLost notes that the store does not answer.
func (r *Registry) StoreLost() { r.away = true }

// StoreReturned notes that the store answers again.
func (r *Registry) StoreReturned(now time.Duration) {
	if r.away {
		r.away = false
		r.graceEnds = now + ReturnGrace
	}
}

// Put takes an entry as written at revision; older revisions are ignored.
func (r *Registry) Put(w Worker, revision uint64) []News {
	k, exists := r.workers[w.ID]
	if !exists && revision <= r.buried[w.ID] {
		return nil
	}
	if !exists {
		r.workers[w.ID] = &known{worker: w, revision: revision}
		return []News{{Worker: w, Change: Appeared, Revision: revision}}
	}
	if revision < k.revision {
		return nil
	}
	change := Updated
	switch {
	case k.worker.Born != w.Born && w.Born != 0 && k.worker.Born != 0:
		change = Restarted
	case w.Draining && !k.worker.Draining:
		change = StartedDraining
	}
	structural := !k.worker.sameStructure(w)
	k.worker, k.revision, k.missing = w, revision, false
	return []News{{Worker: w, Change: change, Revision: revision, Structural: structural}}
}

// Learn takes an entry that another instance read at revision. It lacks the
// adapters, so that it replaces only an older one.
func (r *Registry) Learn(w Worker, revision uint64) []News {
	if k, exists := r.workers[w.ID]; exists && !k.missing && (revision <= k.revision || k.worker.sameStructure(w)) {
		return nil
	}
	return r.Put(w, revision)
}

// Delete takes the removal of an entry at revision.
func (r *Registry) Delete(now time.Duration, id string, revision uint64) []News {
	k, exists := r.workers[id]
	if !exists || revision < k.revision {
		return nil
	}
	if r.away || now < r.graceEnds {
		if k.missing {
			return nil
		}
		k.missing = true
		return []News{{Worker: k.worker, Change: Lapsed, Revision: revision}}
	}
	delete(r.workers, id)
	r.buried[id] = revision
	return []News{{Worker: k.worker, Change: Gone, Revision: revision}}
}

// Entry is one entry of a snapshot.
type Entry struct {
	Worker   Worker
	Revision uint64
}

// Bury takes the word of another instance, which reads the store, that a worker
// is gone as of revision.
func (r *Registry) Bury(id string, revision uint64) []News {
	k, exists := r.workers[id]
	if !exists || revision < k.revision {
		return nil
	}
	return r.bury(id, k, revision)
}

func (r *Registry) bury(id string, k *known, revision uint64) []News {
	delete(r.workers, id)
	r.buried[id] = revision
	return []News{{Worker: k.worker, Change: Gone, Revision: revision}}
}

// Replace takes a whole listing as of revision at: entries that it lacks are
// deleted.
func (r *Registry) Replace(now time.Duration, entries []Entry, at uint64) []News {
	var news []News
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Worker.ID] = true
		news = append(news, r.Put(e.Worker, e.Revision)...)
	}
	for _, id := range slices.Sorted(maps.Keys(r.workers)) {
		if !listed[id] {
			news = append(news, r.Delete(now, id, at)...)
		}
	}
	return news
}

// Tick gives up the lapsed entries that were not renewed in time.
func (r *Registry) Tick(now time.Duration) []News {
	if r.away || now < r.graceEnds {
		return nil
	}
	var news []News
	for _, id := range slices.Sorted(maps.Keys(r.workers)) {
		if k := r.workers[id]; k.missing {
			delete(r.workers, id)
			news = append(news, News{Worker: k.worker, Change: Gone, Revision: k.revision})
		}
	}
	return news
}

// Workers returns every worker that is not gone, by ID.
func (r *Registry) Workers() []Worker {
	all := make([]Worker, 0, len(r.workers))
	for _, id := range slices.Sorted(maps.Keys(r.workers)) {
		all = append(all, r.workers[id].worker)
	}
	return all
}

// Entries returns every worker that is not gone with the revision of its entry,
// by ID.
func (r *Registry) Entries() []Entry {
	all := make([]Entry, 0, len(r.workers))
	for _, id := range slices.Sorted(maps.Keys(r.workers)) {
		all = append(all, Entry{Worker: r.workers[id].worker, Revision: r.workers[id].revision})
	}
	return all
}
