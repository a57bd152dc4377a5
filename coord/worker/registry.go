package worker

import (
	"maps"
	"slices"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/revision"
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
	// Version is the store's version of the entry or of its deletion.
	Version revision.Version
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
// a lapsed one likewise.
//
// A store that returns in a new era has lost its latest contents. Until these are written
// again, what it lacks counts as lapsed, and what it still has of a worker that left, was
// restarted or began to drain since is held back; see era.go.
//
// A Registry is not safe for concurrent use.
type Registry struct {
	config  Config
	workers map[string]*entryState
	outage  outageDetector
	era     eraState
	// now is the latest time that the registry was told.
	now time.Duration
	// tombstones holds the removals of workers, so that older updates don't restore them.
	tombstones map[string]tombstone
	// newestRemoval is the newest removal that the store reported.
	newestRemoval Removal
	// leaving holds the start time of the processes that said that they leave, by
	// worker. It outlives the entry, which may lapse and be listed again.
	leaving map[string]int64
}

// Removal is the removal of a worker's entry.
type Removal struct {
	ID      string
	Version revision.Version
}

// tombstone is the removal of a worker, whose process started at born; 0 if unknown.
type tombstone struct {
	version revision.Version
	born    int64
}

// leavingSweepSize is the number of processes in Registry.leaving beyond which those
// without an entry are dropped.
const leavingSweepSize = 4096

// entryState is the last known entry of a worker.
type entryState struct {
	worker  Worker
	version revision.Version
	// missing is set while the entry is lapsed: it was missing as of missingVersion.
	// deleted is set if its deletion was reported, and not only that a listing lacks it.
	missing, deleted bool
	missingVersion   revision.Version
}

// NewRegistry returns an empty registry.
func NewRegistry(config Config) *Registry {
	return &Registry{
		config: config, workers: make(map[string]*entryState), outage: outageDetector{config: config},
		era:        eraState{held: make(map[string]Entry)},
		tombstones: make(map[string]tombstone), leaving: make(map[string]int64),
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
func (r *Registry) StoreResponded(now time.Duration) time.Duration {
	r.now = max(r.now, now)
	return r.outage.responded(now)
}

// Put applies an entry that was written at a version. Versions older than the known one, or
// than the removal of the worker, are ignored.
func (r *Registry) Put(w Worker, version revision.Version) []Event {
	r.observeEra(version.Era())
	if r.holdBack(w, version) {
		return nil
	}
	return r.put(w, version)
}

func (r *Registry) put(w Worker, version revision.Version) []Event {
	k, exists := r.workers[w.ID]
	if !exists && !version.After(r.tombstones[w.ID].version) {
		return nil
	}
	if r.isLeaving(w.ID, w.Born) {
		w.Leaving, w.Draining = true, true
	}
	if !exists {
		r.workers[w.ID] = &entryState{worker: w, version: version}
		return []Event{{Worker: w, Change: Appeared, Version: version}}
	}
	if k.version.After(version) || k.missing && !version.After(k.missingVersion) {
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
	if k.missing {
		r.era.summary.Regained++
	}
	*k = entryState{worker: w, version: version}
	return []Event{{Worker: w, Change: change, Version: version, Structural: structural}}
}

// PutFromPeer applies an entry that another instance read at a version. Such an entry
// lacks the adapters, so it replaces the known one only if it is newer and differs in
// more than adapters, or if the known one is lapsed. That a process leaves is taken
// from an older entry too.
func (r *Registry) PutFromPeer(w Worker, version revision.Version) []Event {
	var events []Event
	if w.Leaving {
		events = r.MarkLeaving(w.ID, w.Born)
	}
	k, exists := r.workers[w.ID]
	if exists && !k.missing && (!version.After(k.version) || k.worker.hasSameStructure(w)) {
		return events
	}
	if !exists && version.Era() < r.era.listedAt.Era() {
		return append(events, r.putUnlisted(w, version)...)
	}
	return append(events, r.Put(w, version)...)
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
	return []Event{{Worker: k.worker, Change: change, Version: k.version, Structural: true}}
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

// Delete applies the deletion of an entry at a version, as reported by the store. If the
// entry may have expired in an outage, the worker lapses instead.
func (r *Registry) Delete(now time.Duration, id string, version revision.Version) []Event {
	r.now = max(r.now, now)
	r.observeEra(version.Era())
	delete(r.era.held, id)
	r.noteRemoval(id, version)
	k, exists := r.workers[id]
	if !exists {
		r.bury(id, version, 0)
		return nil
	}
	k.deleted = k.deleted || !k.version.After(version)
	return r.lapseOrRemove(id, k, version, r.outage.mayBeRenewed(now))
}

// lapseOrRemove handles that an entry is missing as of a version, and may yet return.
func (r *Registry) lapseOrRemove(id string, k *entryState, version revision.Version, mayReturn bool) []Event {
	if k.version.After(version) {
		return nil
	}
	if !mayReturn {
		return r.remove(id, k, version)
	}
	lapsed := !k.missing
	k.missing, k.missingVersion = true, revision.Latest(k.missingVersion, version)
	if !lapsed {
		return nil
	}
	return []Event{{Worker: k.worker, Change: Lapsed, Version: version}}
}

// Entry is a worker with the version of its entry in the store.
type Entry struct {
	Worker  Worker
	Version revision.Version
}

// DeleteFromPeer applies the removal of a worker as of a version, as reported by
// another instance that reads the store.
func (r *Registry) DeleteFromPeer(id string, version revision.Version) []Event {
	k, exists := r.workers[id]
	if !exists {
		r.bury(id, version, 0)
		return nil
	}
	if k.version.After(version) {
		return nil
	}
	return r.remove(id, k, version)
}

// remove removes a worker and keeps a tombstone.
func (r *Registry) remove(id string, k *entryState, version revision.Version) []Event {
	delete(r.workers, id)
	version = revision.Latest(version, revision.Latest(k.version, k.missingVersion))
	r.bury(id, version, k.worker.Born)
	return []Event{{Worker: k.worker, Change: Gone, Version: version}}
}

// noteRemoval keeps the newest removal that the store reported.
func (r *Registry) noteRemoval(id string, version revision.Version) {
	if !r.newestRemoval.Version.After(version) {
		r.newestRemoval = Removal{ID: id, Version: version}
	}
}

// bury records the removal of a worker whose process started at born, 0 if unknown.
func (r *Registry) bury(id string, version revision.Version, born int64) {
	former := r.tombstones[id]
	if born == 0 {
		born = former.born
	}
	r.tombstones[id] = tombstone{revision.Latest(former.version, version), born}
}

// Replace applies a complete listing of the store as of a version. Known workers
// that it lacks are deleted.
func (r *Registry) Replace(now time.Duration, entries []Entry, at revision.Version) []Event {
	r.now = max(r.now, now)
	r.observeEra(at.Era())
	if at.Era() > r.era.listedAt.Era() {
		r.era.listedAt = at
	}
	var events []Event
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Worker.ID] = true
		events = append(events, r.Put(e.Worker, e.Version)...)
	}
	for _, id := range slices.Sorted(maps.Keys(r.workers)) {
		if k := r.workers[id]; !listed[id] {
			events = append(events, r.lapseOrRemove(id, k, at, r.mayBeWritten(now))...)
			r.noteRemoval(id, at)
		}
	}
	for id := range r.era.held {
		if !listed[id] {
			delete(r.era.held, id)
		}
	}
	return events
}

// Tick removes the lapsed workers whose entry was not renewed before the end of the
// grace period, and applies what was held back in a new era once it has settled. In a
// further outage lapsed workers are kept, since they could not renew their entry.
func (r *Registry) Tick(now time.Duration) []Event {
	r.now = max(r.now, now)
	events := r.settleEra(now)
	if r.outage.mayBeRenewed(now) {
		return events
	}
	lacksWrites := r.MayLackWrites(now)
	for _, id := range slices.Sorted(maps.Keys(r.workers)) {
		if k := r.workers[id]; k.missing && (k.deleted || !lacksWrites) {
			r.era.summary.Dropped++
			events = append(events, r.remove(id, k, revision.Version{})...)
		}
	}
	return events
}

// NewestRemoval returns the newest removal that the store reported; its
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

// Entries returns every known worker, including lapsed ones, with the version of
// its entry, sorted by ID.
func (r *Registry) Entries() []Entry {
	all := make([]Entry, 0, len(r.workers))
	for _, id := range slices.Sorted(maps.Keys(r.workers)) {
		all = append(all, Entry{Worker: r.workers[id].worker, Version: r.workers[id].version})
	}
	return all
}
