package admission

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Request holds the properties of a waiting request by which it is queued.
type Request struct {
	// ID is unique within the owning instance.
	ID uint64
	// Adapter is the adapter and version that the request needs.
	Adapter table.AdapterVersion
	// Rank is the urgency of the request.
	Rank table.Rank
	// Caller is the name of the caller, for fairness within a rank.
	Caller string
	// Bytes is the size of the request body.
	Bytes int
	// Arrived is when the request was queued, since the instance started.
	Arrived time.Duration
	// Deadline is when the request expires, since the instance started.
	Deadline time.Duration
}

// item is a waiting request with its index in each structure of the queue.
type item struct {
	Request
	list          *requestList
	listIndex     int
	deadlineIndex int
	latestIndex   int
	caller        *callerQueue // nil while it is parked
	callerIndex   int
}

// before orders items by deadline, then by arrival, then by ID.
func (i *item) before(other *item) bool {
	if i.Deadline != other.Deadline {
		return i.Deadline < other.Deadline
	}
	if i.Arrived != other.Arrived {
		return i.Arrived < other.Arrived
	}
	return i.ID < other.ID
}

// laterDeadline orders items by descending deadline.
func laterDeadline(a, b *item) bool { return b.before(a) }

// requestList holds the waiting requests of one adapter in no particular order.
type requestList struct {
	items       []*item
	ready       bool
	countByRank [table.RankCount]int
}

func (l *requestList) add(i *item) {
	i.list, i.listIndex = l, len(l.items)
	l.items = append(l.items, i)
	l.countByRank[i.Rank]++
}

func (l *requestList) remove(i *item) {
	last := len(l.items) - 1
	l.items[i.listIndex] = l.items[last]
	l.items[i.listIndex].listIndex = i.listIndex
	l.items[last] = nil
	l.items = l.items[:last]
	l.countByRank[i.Rank]--
}
