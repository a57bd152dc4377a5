package peer

import (
	"sync"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/gossip"
	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/owner"
	"github.com/bulrushwick/bulrushwick/entry/peer/peerpb"
)

// recordLimit bounds the worker records of one message. A new instance therefore
// receives all records over several heartbeats.
const recordLimit = 64

// reportLimit bounds the member reports of one message.
const reportLimit = 64

// Records holds the known state of the workers of this region: the adapters that
// are resident on each. It passes the records on to peers and merges theirs. It is
// safe for concurrent use.
type Records struct {
	epoch     uint64 // identifies the log of this process
	fleet     *fleet.Fleet
	summaries func() []owner.Summary

	mu       sync.Mutex
	log      *gossip.Log
	revision uint64 // of the table that the log was last pruned by
}

// NewRecords returns empty records. The records of the workers that this instance
// owns come from summaries.
func NewRecords(f *fleet.Fleet, summaries func() []owner.Summary) *Records {
	return &Records{
		epoch:     uint64(time.Now().UnixNano()),
		fleet:     f,
		summaries: summaries,
		log:       gossip.NewLog(),
	}
}

// refresh updates the records of the workers that this instance owns and, after a
// change of the table, drops the workers that it no longer lists.
func (r *Records) refresh() {
	summaries := r.summaries()
	t := r.fleet.Table()
	hint := uint64(time.Now().UnixMilli())
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range summaries {
		if own, found := r.fleet.Owner(s.Worker); found && own.Name == r.fleet.Self() {
			r.log.Set(s.Worker, s.Resident, hint)
		}
	}
	if t != nil && t.Revision != r.revision {
		r.revision = t.Revision
		r.log.Retain(func(worker string) bool {
			_, _, found := t.Endpoint(worker)
			return found
		})
	}
}

// after returns the records after a position that may be sent to a peer, at most
// recordLimit, and the position that they reach.
func (r *Records) after(position gossip.Position, to string) ([]*peerpb.WorkerSummary, gossip.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	keep := gossip.NotFrom(to)
	switch r.fleet.Sharing(to) {
	case fleet.ShareNone:
		return nil, position
	case fleet.ShareOwn:
		keep = gossip.Own
	case fleet.ShareAll:
	}
	records, reached := r.log.After(position, keep, recordLimit)
	messages := make([]*peerpb.WorkerSummary, len(records))
	for i, record := range records {
		messages[i] = &peerpb.WorkerSummary{Worker: record.Worker, Version: record.Version, Resident: adapterNames(record.Resident)}
	}
	return messages, reached
}

// merge stores those of a peer's records that are newer than the known ones and
// passes them on to the fleet.
func (r *Records) merge(messages []*peerpb.WorkerSummary, from string) {
	for _, m := range messages {
		record := gossip.Record{Worker: m.Worker, Version: m.Version, Resident: parseAdapters(m.Resident)}
		r.mu.Lock()
		newer := r.log.Offer(record, from)
		r.mu.Unlock()
		if newer {
			r.fleet.SetResident(record.Worker, record.Resident)
		}
	}
}

func adapterNames(adapters []table.AdapterVersion) []string {
	names := make([]string, len(adapters))
	for i, adapter := range adapters {
		names[i] = adapter.String()
	}
	return names
}

// parseAdapters skips names that are not adapter@version, since a peer with a newer
// release may send other forms.
func parseAdapters(names []string) []table.AdapterVersion {
	adapters := make([]table.AdapterVersion, 0, len(names))
	for _, name := range names {
		if adapter, err := table.ParseAdapterVersion(name); err == nil {
			adapters = append(adapters, adapter)
		}
	}
	return adapters
}

func encodeReports(reports []member.Report) []*peerpb.MemberReport {
	messages := make([]*peerpb.MemberReport, min(len(reports), reportLimit))
	for i := range messages {
		r := reports[i]
		messages[i] = &peerpb.MemberReport{
			Subject: r.Subject, Reporter: r.Reporter, Leaving: r.Leaving, AgeMs: uint32(r.Age.Milliseconds()),
		}
	}
	return messages
}

func decodeReports(messages []*peerpb.MemberReport) []member.Report {
	reports := make([]member.Report, len(messages))
	for i, m := range messages {
		reports[i] = member.Report{
			Subject: m.Subject, Reporter: m.Reporter, Leaving: m.Leaving, Age: time.Duration(m.AgeMs) * time.Millisecond,
		}
	}
	return reports
}
