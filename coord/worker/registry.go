package worker

import (
	"maps"
	"slices"
	"time"
)

// Change is the kind of change of a worker's known state.
type Change uint8

// Changes that Registry reports.
const (
	// Appeared means that the worker was unknown before.
	Appeared Change = iota
	// Updated means that the entry was written again.
	Updated
	// Restarted means that the worker's start time changed: it lost what it held.
	Restarted
	// StartedDraining means that the worker takes no new requests from now on.
	StartedDraining
	// Gone means that the worker was removed.
	Gone
	// Lapsed means that the entry is missing from the store after an outage. The
	// worker is still used until Config.ReturnGrace has passed.
	Lapsed
)

var changeNames = [...]string{"appeared", "updated", "restarted", "draining", "gone", "lapsed"}

// String returns the name of the change in logs.
func (c Change) String() string { return changeNames[c] }

// Event is a change of the known state of one worker.
type Event struct {
	Worker Worker
	Change Change
	// Revision is the store's revision of the entry or of its deletion.
	Revision uint64
	// Structural is set for an update that changes more than the list of adapters.
	Structural bool
}

// Registry is an instance's view of the worker entries in the metadata store.
// Entries may expire while the store is unavailable. After such an outage a worker whose
// entry is missing is therefore kept as lapsed for Config.ReturnGrace, counted from the
// store's first response. In calm, and after failures that are too short for an entry to
// expire, a missing entry means that the worker was removed.
//
// A worker that is gone comes back only with an entry that is newer than its removal, and
// a lapsed one likewise. A Registry is not safe for concurrent use.
type Registry struct {
	workers map[string]*entryState
	outage  outageDetector
	// tombstones holds the revisions at which workers were removed, so that updates
	// with an older revision don't restore them.
	tombstones map[string]uint64
	// newestRemoval is the removal with the highest revision that the store reported.
	newestRemoval Removal
	// leaving holds the start time of the processes that said that they leave, by
	// worker. It outlives the entry, which may lapse and be listed again.
	leaving map[string]int64
}

// Removal is the removal of a worker's entry.
type Removal struct {
	ID       string
	Revision uint64
}

// leavingSweepSize is the number of processes in Registry.leaving beyond which those
// without an entry are dropped.
const leavingSweepSize = 4096

// entryState is the last known entry of a worker.
type entryState struct {
	worker   Worker
	revision uint64
	// missing is set while the entry is lapsed: it was missing as of missingRevision.
	missing         bool
	missingRevision uint64
}

// lastRevision returns the revision up to which the state of the entry is known.
func (k *entryState) lastRevision() uint64 { return max(k.revision, k.missingRevision) }

// NewRegistry returns an empty registry.
func NewRegistry(config Config) *Registry {
	return &Registry{
		workers: make(map[string]*entryState), outage: outageDetector{config: config},
		tombstones: make(map[string]uint64), leaving: make(map[string]int64),
	}
}

// Missing reports whether a worker's entry is lapsed: missing from the store but
// not removed yet.
func (r *Registry) Missing(id string) bool {
	k := r.workers[id]
	return k != nil && k.missing
}

// CallFailed records a call to the store without a usable response. since is the time
// from which on the call doesn't show that the store was available: its beginning if it
// timed out, and its end if it was refused or its connection was closed.
func (r *Registry) CallFailed(since time.Duration) { r.outage.failed(since) }

// ReadingBegins records that this instance reads the store from now on. The workers that
// it knows from others are unconfirmed, as after an outage.
func (r *Registry) ReadingBegins() {
	if len(r.workers) > 0 {
		r.outage.failed(r.outage.respondedAt)
	}
}

// StoreResponded records a response of the store, which must be done before its contents
// are applied. It returns the length of the outage that the response ends, or 0 if there
// was none in which entries may have expired.
func (r *Registry) StoreResponded(now time.Duration) time.Duration { return r.outage.responded(now) }

// Put applies an entry that was written at revision. Revisions older than the known
// one, or than the removal of the worker, are ignored.
func (r *Registry) Put(w Worker, revision uint64) []Event {
	k, exists := r.workers[w.ID]
	if !exists && revision <= r.tombstones[w.ID] {
		return nil
	}
	if r.isLeaving(w.ID, w.Born) {
		w.Leaving, w.Draining = true, true
	}
	if !exists {
		r.workers[w.ID] = &entryState{worker: w, revision: revision}
		return []Event{{Worker: w, Change: Appeared, Revision: revision}}
	}
	if revision < k.revision || k.missing && revision <= k.missingRevision {
		return nil
	}
	change := Updated
	switch {
	case !isSameProcess(k.worker.Born, w.Born):
		change = Restarted
	case w.Draining && !k.worker.Draining:
		change = StartedDraining
	}
	structural := !k.worker.hasSameStructure(w)
	k.worker, k.revision, k.missing, k.missingRevision = w, revision, false, 0
	return []Event{{Worker: w, Change: change, Revision: revision, Structural: structural}}
}

// PutFromPeer applies an entry that another instance read at revision. Such an entry
// lacks the adapters, so it replaces the known one only if it is newer and differs in
// more than adapters, or if the known one is lapsed. That a process leaves is taken
// from an older entry too.
func (r *Registry) PutFromPeer(w Worker, revision uint64) []Event {
	var events []Event
	if w.Leaving {
		events = r.MarkLeaving(w.ID, w.Born)
	}
	if k, exists := r.workers[w.ID]; exists && !k.missing && (revision <= k.revision || k.worker.hasSameStructure(w)) {
		return events
	}
	return append(events, r.Put(w, revision)...)
}

// MarkLeaving records that the process of a worker that started at born, or at an
// unknown time if born is 0, said itself that it leaves. Entries of that process count
// as draining from then on; those of a process that started at another time do not.
func (r *Registry) MarkLeaving(id string, born int64) []Event {
	k, exists := r.workers[id]
	if exists && !isSameProcess(k.worker.Born, born) {
		return nil // the worker was restarted since
	}
	r.leaving[id] = born
	r.sweepLeaving()
	if !exists || k.worker.Leaving {
		return nil
	}
	change := StartedDraining
	if k.worker.Draining {
		change = Updated
	}
	k.worker.Leaving, k.worker.Draining = true, true
	return []Event{{Worker: k.worker, Change: change, Revision: k.revision, Structural: true}}
}

// isLeaving reports whether the process that started at born said that it leaves.
func (r *Registry) isLeaving(id string, born int64) bool {
	leaving, known := r.leaving[id]
	return known && isSameProcess(leaving, born)
}

// isSameProcess reports whether two start times may be those of one process. An
// unknown time is 0.
func isSameProcess(born, other int64) bool { return born == other || born == 0 || other == 0 }

func (r *Registry) sweepLeaving() {
	if len(r.leaving) <= leavingSweepSize {
		return
	}
	for id := range r.leaving {
		if r.workers[id] == nil {
			delete(r.leaving, id)
		}
	}
}

// Delete applies the deletion of an entry at revision, as reported by the store. If the
// entry may have expired in an outage, the worker lapses instead.
func (r *Registry) Delete(now time.Duration, id string, revision uint64) []Event {
	if revision >= r.newestRemoval.Revision {
		r.newestRemoval = Removal{ID: id, Revision: revision}
	}
	k, exists := r.workers[id]
	if !exists {
		r.tombstones[id] = max(r.tombstones[id], revision)
		return nil
	}
	if revision < k.revision {
		return nil
	}
	if !r.outage.mayBeRenewed(now) {
		return r.remove(id, k, revision)
	}
	lapsed := !k.missing
	k.missing, k.missingRevision = true, max(k.missingRevision, revision)
	if !lapsed {
		return nil
	}
	return []Event{{Worker: k.worker, Change: Lapsed, Revision: revision}}
}

// Entry is a worker with the revision of its entry in the store.
type Entry struct {
	Worker   Worker
	Revision uint64
}

// DeleteFromPeer applies the removal of a worker as of revision, as reported by
// another instance that reads the store.
func (r *Registry) DeleteFromPeer(id string, revision uint64) []Event {
	k, exists := r.workers[id]
	if !exists {
		r.tombstones[id] = max(r.tombstones[id], revision)
		return nil
	}
	if revision < k.revision {
		return nil
	}
	return r.remove(id, k, revision)
}

// remove removes a worker and keeps a tombstone.
func (r *Registry) remove(id string, k *entryState, revision uint64) []Event {
	delete(r.workers, id)
	revision = max(revision, k.lastRevision())
	r.tombstones[id] = revision
	return []Event{{Worker: k.worker, Change: Gone, Revision: revision}}
}

// Replace applies a complete listing of the store as of revision at. Known workers
// that it lacks are deleted.
func (r *Registry) Replace(now time.Duration, entries []Entry, at uint64) []Event {
	var events []Event
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Worker.ID] = true
		events = append(events, r.Put(e.Worker, e.Revision)...)
	}
	for _, id := range slices.Sorted(maps.Keys(r.workers)) {
		if !listed[id] {
			events = append(events, r.Delete(now, id, at)...)
		}
	}
	return events
}

// Tick removes the lapsed workers whose entry was not renewed before the end of the
// grace period. In a further outage they are kept, since they could not renew it.
func (r *Registry) Tick(now time.Duration) []Event {
	if r.outage.mayBeRenewed(now) {
		return nil
	}
	var events []Event
	for _, id := range slices.Sorted(maps.Keys(r.workers)) {
		if k := r.workers[id]; k.missing {
			events = append(events, r.remove(id, k, 0)...)
		}
	}
	return events
}

// NewestRemoval returns the removal with the highest revision that the store reported; its
// ID is empty if there was none.
func (r *Registry) NewestRemoval() Removal { return r.newestRemoval }

// Workers returns every known worker, including lapsed ones, sorted by ID.
func (r *Registry) Workers() []Worker {
	all := make([]Worker, 0, len(r.workers))
	for _, id := range slices.Sorted(maps.Keys(r.workers)) {
		all = append(all, r.workers[id].worker)
	}
	return all
}

// Entries returns every known worker, including lapsed ones, with the revision of
// its entry, sorted by ID.
func (r *Registry) Entries() []Entry {
	all := make([]Entry, 0, len(r.workers))
	for _, id := range slices.Sorted(maps.Keys(r.workers)) {
		all = append(all, Entry{Worker: r.workers[id].worker, Revision: r.workers[id].revision})
	}
	return all
}
