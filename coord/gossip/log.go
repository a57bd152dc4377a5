package gossip

import (
	"slices"
	"sort"
	"strings"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Record is what one worker holds, as its owner last saw it.
type Record struct {
	// Worker is the endpoint's name.
	Worker string
	// Version orders the records of one worker; the highest stands.
	Version uint64
	// Resident lists the adapters that are ready, sorted by name.
	Resident []table.AdapterVersion
}

// Position is a place in a Log. A peer that has everything up to a position
// needs only what comes after it.
type Position uint64

// compactAt is the number of superseded places above which they are dropped.
const compactAt = 64

// Log holds the newest record of each worker. It is not safe for concurrent use.
type Log struct {
	records map[string]*logged
	order   []place
	end     Position
}

// logged is a record with where it came from and where it stands in the order.
type logged struct {
	record Record
	from   string
	at     Position
}

// place is one step of the order; it is superseded when its record moved on.
type place struct {
	worker string
	at     Position
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{records: make(map[string]*logged)} }

// Len returns the number of workers with a record.
func (l *Log) Len() int { return len(l.records) }

// End returns the position of the newest record.
func (l *Log) End() Position { return l.end }

// Set records what this instance, as the owner, sees of a worker and tells
// whether that is new. The version is at least hint and above every version
// seen of the worker, so that a new owner supersedes the former one.
func (l *Log) Set(worker string, resident []table.AdapterVersion, hint uint64) bool {
	resident = sorted(resident)
	version := hint
	if known, found := l.records[worker]; found {
		if known.from == "" && slices.Equal(known.record.Resident, resident) {
			return false
		}
		version = max(hint, known.record.Version+1)
	}
	l.put(Record{Worker: worker, Version: version, Resident: resident}, "")
	return true
}

// Offer takes a record from a peer and tells whether it is newer than the one
// known.
func (l *Log) Offer(r Record, from string) bool {
	if known, found := l.records[r.Worker]; found && known.record.Version >= r.Version {
		return false
	}
	r.Resident = sorted(r.Resident)
	l.put(r, from)
	return true
}

// Filter tells whether a record that came from an instance, or "" for an own
// one, is to be passed on.
type Filter func(from string) bool

// NotFrom passes on every record but those that came from peer.
func NotFrom(peer string) Filter {
	return func(from string) bool { return from != peer }
}

// Own passes on the own records alone, for a peer that hears every owner itself.
func Own(from string) bool { return from == "" }

// After returns up to limit records after a position that keep passes on, oldest
// first, and the position that they reach.
func (l *Log) After(after Position, keep Filter, limit int) ([]Record, Position) {
	start := sort.Search(len(l.order), func(i int) bool { return l.order[i].at > after })
	var records []Record
	for _, p := range l.order[start:] {
		known, found := l.records[p.worker]
		if !found || known.at != p.at || !keep(known.from) {
			continue
		}
		if len(records) == limit {
			return records, after
		}
		records = append(records, known.record)
		after = p.at
	}
	return records, l.end
}

// Retain drops the records of the workers that keep refuses.
func (l *Log) Retain(keep func(worker string) bool) {
	for worker := range l.records {
		if !keep(worker) {
			delete(l.records, worker)
		}
	}
	l.compact()
}

func (l *Log) put(r Record, from string) {
	l.end++
	l.records[r.Worker] = &logged{record: r, from: from, at: l.end}
	l.order = append(l.order, place{worker: r.Worker, at: l.end})
	if len(l.order) > 2*len(l.records)+compactAt {
		l.compact()
	}
}

// compact drops the superseded places.
func (l *Log) compact() {
	l.order = slices.DeleteFunc(l.order, func(p place) bool {
		known, found := l.records[p.worker]
		return !found || known.at != p.at
	})
}

// sorted returns a sorted copy.
func sorted(adapters []table.AdapterVersion) []table.AdapterVersion {
	adapters = slices.Clone(adapters)
	slices.SortFunc(adapters, func(a, b table.AdapterVersion) int {
		if byName := strings.Compare(a.Adapter, b.Adapter); byName != 0 {
			return byName
		}
		return strings.Compare(a.Version, b.Version)
	})
	return adapters
}
