package admission

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Request is what the queue needs to know of a waiting request.
type Request struct {
	// ID is unique within the owning instance.
	ID uint64
	// Adapter is the adapter and version that must serve it.
	Adapter table.AdapterVersion
	// Rank is its urgency.
	Rank table.Rank
	// Caller names who sent it, for fairness within a rank.
	Caller string
	// Bytes is the size of its body.
	Bytes int
	// Arrived is when it was queued, since start.
	Arrived time.Duration
	// Deadline is when it is worthless, since start.
	Deadline time.Duration
}

// item is a waiting request with its places in the queue's heaps.
type item struct {
	Request
	line       *line
	linePlace  int
	deadline   int
	latest     int
	caller     *callerQueue // nil while it is parked
	callerSlot int
}

// sooner orders items by deadline, then arrival, then ID.
func (i *item) sooner(other *item) bool {
	if i.Deadline != other.Deadline {
		return i.Deadline < other.Deadline
	}
	if i.Arrived != other.Arrived {
		return i.Arrived < other.Arrived
	}
	return i.ID < other.ID
}

// later orders items by deadline, the latest first.
func later(a, b *item) bool { return b.sooner(a) }

// line holds the waiting requests of one adapter, in no order.
type line struct {
	items []*item
	ready bool
	ranks [table.RankCount]int
}

func (l *line) add(i *item) {
	i.line, i.linePlace = l, len(l.items)
	l.items = append(l.items, i)
	l.ranks[i.Rank]++
}

func (l *line) remove(i *item) {
	last := len(l.items) - 1
	l.items[i.linePlace] = l.items[last]
	l.items[i.linePlace].linePlace = i.linePlace
	l.items[last] = nil
	l.items = l.items[:last]
	l.ranks[i.Rank]--
}
