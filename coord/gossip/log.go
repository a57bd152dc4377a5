package gossip

import (
	"slices"
	"sort"
	"strings"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Record lists the adapters resident on one worker as last seen by the instance
// that owns it.
type Record struct {
	// Worker is the name of the endpoint.
	Worker string
	// Version orders the records of one worker; the highest wins.
	Version uint64
	// Resident lists the adapters that are ready, sorted by name and version.
	Resident []table.AdapterVersion
}

// Position is a cursor in a Log. A peer that has every record up to a position
// needs only the records after it.
type Position uint64

// compactSlack is the number of entries that a log's order may have in excess of
// twice the number of records before superseded entries are dropped.
const compactSlack = 64

// Log holds the newest record of each worker. It is not safe for concurrent use.
type Log struct {
	records map[string]*storedRecord // by worker
	order   []orderEntry             // ascending by position
	end     Position
}

// storedRecord is a record with the peer that sent it, or "" for an own one, and
// its position.
type storedRecord struct {
	record Record
	from   string
	at     Position
}

// orderEntry is an entry in the log's order. It is superseded once the worker has a
// record at a later position.
type orderEntry struct {
	worker string
	at     Position
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{records: make(map[string]*storedRecord)} }

// Len returns the number of workers with a record.
func (l *Log) Len() int { return len(l.records) }

// End returns the position of the newest record.
func (l *Log) End() Position { return l.end }

// Set records the adapters resident on a worker that this instance owns, and
// reports whether a new record was added. Its version is at least hint and above
// every version seen for the worker, so that a new owner supersedes the former one.
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

// Offer adds a record from a peer if it is newer than the known one, and reports
// whether it did.
func (l *Log) Offer(r Record, from string) bool {
	if known, found := l.records[r.Worker]; found && known.record.Version >= r.Version {
		return false
	}
	r.Resident = sorted(r.Resident)
	l.put(r, from)
	return true
}

// Filter reports whether to send on a record that came from the named instance;
// from is "" for an own record.
type Filter func(from string) bool

// NotFrom accepts every record except those that came from peer.
func NotFrom(peer string) Filter {
	return func(from string) bool { return from != peer }
}

// Own accepts only this instance's own records, for a peer that receives updates
// from every owner directly.
func Own(from string) bool { return from == "" }

// After returns up to limit records after a position that keep accepts, oldest
// first, and the position to continue from.
func (l *Log) After(after Position, keep Filter, limit int) ([]Record, Position) {
	start := sort.Search(len(l.order), func(i int) bool { return l.order[i].at > after })
	var records []Record
	for _, entry := range l.order[start:] {
		known, found := l.records[entry.worker]
		if !found || known.at != entry.at || !keep(known.from) {
			continue
		}
		if len(records) == limit {
			return records, after
		}
		records = append(records, known.record)
		after = entry.at
	}
	return records, l.end
}

// Retain drops the records of workers for which keep returns false.
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
	l.records[r.Worker] = &storedRecord{record: r, from: from, at: l.end}
	l.order = append(l.order, orderEntry{worker: r.Worker, at: l.end})
	if len(l.order) > 2*len(l.records)+compactSlack {
		l.compact()
	}
}

// compact drops superseded entries from the order.
func (l *Log) compact() {
	l.order = slices.DeleteFunc(l.order, func(entry orderEntry) bool {
		known, found := l.records[entry.worker]
		return !found || known.at != entry.at
	})
}

// sorted returns a copy sorted by adapter name and version.
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
