package worker

import (
	"maps"
	"slices"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/revision"
)

// eraState is what a Registry knows of the store's era. A new one begins when the store
// returns from an older copy; what was written since the copy is gone until the operator
// and the workers write it again.
type eraState struct {
	current uint64
	// listedAt is the version of the first listing of the latest era that was listed. What
	// is written after it is no part of the copy.
	listedAt revision.Version
	// unsettled is set while what the copy has may be older than what is known. It ends
	// settleGrace after the era was first observed.
	unsettled bool
	beganAt   time.Duration
	settlesAt time.Duration
	// summary is complete while hasSummary is set.
	summary    EraSummary
	hasSummary bool
	// held holds entries that the copy may have and that contradict what is known.
	held map[string]Entry
}

// EraSummary counts what became of the workers in a new era until it settled.
type EraSummary struct {
	// Known is the number of workers at its beginning, and Regained that of those whose
	// entries were written again after they had lapsed. Dropped were not.
	Known, Regained, Dropped int
	// HeldBack is the number of entries that contradicted what was known, and Applied that
	// of those that the store still had at the end.
	HeldBack, Applied int
}

// TakeEraSummary returns the summary of an era that has settled since the last call, and
// false if none has.
func (r *Registry) TakeEraSummary() (EraSummary, bool) {
	settled := r.era.hasSummary
	r.era.hasSummary = false
	return r.era.summary, settled
}

// settleGrace is how long a new era is unsettled: an entry that the copy still has, and
// whose worker has left, has expired by then.
func (c Config) settleGrace() time.Duration { return c.EntryLifetime + c.ReturnGrace }

// Era returns the era of the store.
func (r *Registry) Era() uint64 { return r.era.current }

// EraBegan records that the store responded in an era at now, before its contents are
// applied.
func (r *Registry) EraBegan(now time.Duration, era uint64) {
	r.now = max(r.now, now)
	r.observeEra(era)
}

// MayLackWrites reports whether the store may still lack what was written to it before its
// era: a listing then proves nothing about what it lacks.
func (r *Registry) MayLackWrites(now time.Duration) bool {
	return r.era.unsettled && now < r.era.beganAt+r.config.ReturnGrace
}

// IsFromOlderEra reports whether the entry of a worker was not seen in the store's era yet.
func (r *Registry) IsFromOlderEra(id string) bool {
	k := r.workers[id]
	return k != nil && k.version.Era() < r.era.current
}

// observeEra begins an era that was not known. An instance that knew nothing has nothing
// to contradict the store with.
func (r *Registry) observeEra(era uint64) {
	if era <= r.era.current {
		return
	}
	r.era.current = era
	if len(r.workers)+len(r.tombstones) == 0 {
		return
	}
	r.era.unsettled, r.era.beganAt, r.era.settlesAt = true, r.now, r.now+r.config.settleGrace()
	r.era.summary = EraSummary{Known: len(r.workers)}
}

// mayBeWritten reports whether an entry that a listing lacks at now may be written again,
// because it expired in an outage or was written after the copy.
func (r *Registry) mayBeWritten(now time.Duration) bool {
	return r.outage.mayBeRenewed(now) || r.MayLackWrites(now)
}

// holdBack keeps an entry of an unsettled era, and reports true, if the copy may have it
// from before something that is known: the removal of the process, its restart, or that it
// drains. What the worker writes after the return replaces it.
func (r *Registry) holdBack(w Worker, version revision.Version) bool {
	if !r.era.unsettled || version.Era() < r.era.current || !r.contradicts(w, version) {
		delete(r.era.held, w.ID)
		return false
	}
	former, held := r.era.held[w.ID]
	if !held {
		r.era.summary.HeldBack++
	}
	if !held || !former.Version.After(version) {
		r.era.held[w.ID] = Entry{Worker: w, Version: version}
	}
	return true
}

func (r *Registry) contradicts(w Worker, version revision.Version) bool {
	if k, exists := r.workers[w.ID]; exists {
		isSame := isSameProcess(w.Born, k.worker.Born)
		isOlderProcess := w.Born != 0 && w.Born < k.worker.Born
		wasDeleted := k.deleted && k.missingVersion.Era() < version.Era()
		return isOlderProcess || isSame && (wasDeleted || k.worker.Draining && !w.Draining)
	}
	removed, known := r.tombstones[w.ID]
	switch {
	case !known || removed.version.Era() >= version.Era():
		return false
	case removed.born == 0 || w.Born == 0:
		return !version.After(r.era.listedAt)
	}
	return w.Born <= removed.born
}

// putUnlisted applies an entry of an older era that the listing of the current one lacks.
// It is lapsed until the worker writes it again; in a settled era it is ignored.
func (r *Registry) putUnlisted(w Worker, version revision.Version) []Event {
	if !r.mayBeWritten(r.now) {
		return nil
	}
	events := r.put(w, version)
	if k := r.workers[w.ID]; k != nil && len(events) > 0 {
		k.missing, k.missingVersion = true, version
	}
	return events
}

// settleEra applies the entries that were held back once the era has settled: the store is
// right then.
func (r *Registry) settleEra(now time.Duration) []Event {
	if !r.era.unsettled || now < r.era.settlesAt {
		return nil
	}
	r.era.unsettled, r.era.hasSummary, r.era.summary.Applied = false, true, len(r.era.held)
	var events []Event
	for _, id := range slices.Sorted(maps.Keys(r.era.held)) {
		events = append(events, r.put(r.era.held[id].Worker, r.era.held[id].Version)...)
	}
	clear(r.era.held)
	return events
}
