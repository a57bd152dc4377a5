package admission

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/internal/indexed"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Config limits a Queue.
type Config struct {
	// Limit is the maximum number of waiting requests. A higher limit absorbs
	// larger bursts and uses more memory. Default: 1,000.
	Limit int
	// LimitBytes is the maximum total size of the waiting request bodies.
	// Default: 16 MiB.
	LimitBytes int
	// Floors is the share of dispatches, from 0 to 1, that a rank is guaranteed
	// while it has runnable requests, whatever waits in more urgent ranks. A
	// higher floor slows down the urgent rank when that rank itself is overloaded.
	// Default: 0, 0.2 and 0.1.
	Floors [table.RankCount]float64
}

// DefaultConfig returns the default limits and floors.
func DefaultConfig() Config {
	return Config{Limit: 1000, LimitBytes: 16 << 20, Floors: [table.RankCount]float64{0, 0.2, 0.1}}
}

// Queue holds waiting requests. Requests whose adapter is ready are runnable and
// are dispatched by Next: the most urgent rank first except for the floors,
// round-robin among the callers of a rank, and earliest deadline first within a
// caller. All other requests are parked. An operation on one request takes time
// logarithmic in the number of waiting requests. A Queue is not safe for
// concurrent use.
type Queue struct {
	config           Config
	bytes            int
	rankBytes        [table.RankCount]int
	items            map[uint64]*item
	lists            map[table.AdapterVersion]*requestList
	ranks            [table.RankCount]*rankQueue
	floors           Floors
	byDeadline       *indexed.Heap[*item]                  // earliest first
	byLatestDeadline [table.RankCount]*indexed.Heap[*item] // latest deadline first
}

// NewQueue returns an empty queue.
func NewQueue(config Config) *Queue {
	q := &Queue{
		config:     config,
		floors:     NewFloors(config.Floors),
		items:      make(map[uint64]*item),
		lists:      make(map[table.AdapterVersion]*requestList),
		byDeadline: indexed.New((*item).before, func(i *item, index int) { i.deadlineIndex = index }),
	}
	for rank := range q.ranks {
		q.ranks[rank] = newRankQueue()
		q.byLatestDeadline[rank] = indexed.New(laterDeadline, func(i *item, index int) { i.latestIndex = index })
	}
	return q
}

// Len returns the number of waiting requests, runnable and parked.
func (q *Queue) Len() int { return len(q.items) }

// Bytes returns the total size of the waiting request bodies.
func (q *Queue) Bytes() int { return q.bytes }

// Runnable returns the number of runnable requests of a rank.
func (q *Queue) Runnable(rank table.Rank) int { return q.ranks[rank].length }

// Waiting returns the number of waiting requests for an adapter by rank.
func (q *Queue) Waiting(adapter table.AdapterVersion) [table.RankCount]int {
	if l, found := q.lists[adapter]; found {
		return l.countByRank
	}
	return [table.RankCount]int{}
}

// Requests returns the waiting requests of an adapter in no particular order.
func (q *Queue) Requests(adapter table.AdapterVersion) []Request {
	l, found := q.lists[adapter]
	if !found {
		return nil
	}
	requests := make([]Request, len(l.items))
	for at, i := range l.items {
		requests[at] = i.Request
	}
	return requests
}

// Push adds a request and reports whether there was room. If the queue is full,
// it removes and returns less urgent requests to make room, those of the least
// urgent rank and with the latest deadline first.
func (q *Queue) Push(r Request) (displaced []Request, queued bool) {
	if !q.fits(r) {
		return nil, false
	}
	for q.full(r) {
		displaced = append(displaced, q.displace(r.Rank))
	}
	i := &item{Request: r}
	q.items[r.ID] = i
	q.bytes += r.Bytes
	q.rankBytes[r.Rank] += r.Bytes
	q.byDeadline.Push(i)
	q.byLatestDeadline[r.Rank].Push(i)
	l := q.listOf(r.Adapter)
	l.add(i)
	if l.ready {
		q.ranks[i.Rank].push(i)
	}
	return displaced, true
}

// full reports whether the request does not fit without displacing others.
func (q *Queue) full(r Request) bool {
	return len(q.items) >= q.config.Limit || q.bytes+r.Bytes > q.config.LimitBytes
}

// fits reports whether the request fits after displacing all less urgent ones.
func (q *Queue) fits(r Request) bool {
	items, bytes := len(q.items), q.bytes
	for rank := r.Rank + 1; int(rank) < len(q.byLatestDeadline); rank++ {
		items -= q.byLatestDeadline[rank].Len()
		bytes -= q.rankBytes[rank]
	}
	return items < q.config.Limit && bytes+r.Bytes <= q.config.LimitBytes
}

// displace removes and returns the request of the least urgent rank with the
// latest deadline. There must be a request less urgent than rank.
func (q *Queue) displace(rank table.Rank) Request {
	last := table.Rank(len(q.byLatestDeadline) - 1)
	for last > rank+1 && q.byLatestDeadline[last].Len() == 0 {
		last--
	}
	r, _ := q.Remove(q.byLatestDeadline[last].First().ID)
	return r
}

// SetReady makes the adapter's current and future requests runnable.
func (q *Queue) SetReady(adapter table.AdapterVersion) {
	l := q.listOf(adapter)
	if l.ready {
		return
	}
	l.ready = true
	for _, i := range l.items {
		q.ranks[i.Rank].push(i)
	}
}

// Park makes the adapter's current and future requests wait until SetReady.
func (q *Queue) Park(adapter table.AdapterVersion) {
	l, found := q.lists[adapter]
	if !found || !l.ready {
		return
	}
	l.ready = false
	for _, i := range l.items {
		q.ranks[i.Rank].remove(i)
	}
	q.prune(adapter, l)
}

// Remove removes and returns the request with that ID. It returns false if there
// is none.
func (q *Queue) Remove(id uint64) (Request, bool) {
	i, found := q.items[id]
	if !found {
		return Request{}, false
	}
	if i.caller != nil {
		q.ranks[i.Rank].remove(i)
	}
	q.forget(i)
	return i.Request, true
}

// RemoveAll removes and returns the requests of an adapter.
func (q *Queue) RemoveAll(adapter table.AdapterVersion) []Request {
	l, found := q.lists[adapter]
	if !found {
		return nil
	}
	removed := make([]Request, 0, len(l.items))
	for len(l.items) > 0 {
		r, _ := q.Remove(l.items[0].ID)
		removed = append(removed, r)
	}
	return removed
}

// RemoveExpired removes and returns the requests whose deadline is at or before
// now, earliest first.
func (q *Queue) RemoveExpired(now time.Duration) []Request {
	var expired []Request
	for q.byDeadline.Len() > 0 && q.byDeadline.First().Deadline <= now {
		r, _ := q.Remove(q.byDeadline.First().ID)
		expired = append(expired, r)
	}
	return expired
}

// Next removes and returns the runnable request that is to be dispatched next. It
// returns false if no request is runnable.
func (q *Queue) Next() (Request, bool) {
	var work Work
	for rank := range q.ranks {
		work[rank] = q.ranks[rank].length > 0
	}
	rank, owed, found := q.floors.Next(work)
	if !found {
		return Request{}, false
	}
	q.floors.RecordTurn(rank, owed, work)
	i := q.ranks[rank].pop()
	q.forget(i)
	return i.Request, true
}

// listOf returns the list of an adapter and creates it if there is none.
func (q *Queue) listOf(adapter table.AdapterVersion) *requestList {
	l, found := q.lists[adapter]
	if !found {
		l = &requestList{}
		q.lists[adapter] = l
	}
	return l
}

// forget removes a request that is not, or no longer, in its rank's queue.
func (q *Queue) forget(i *item) {
	delete(q.items, i.ID)
	q.bytes -= i.Bytes
	q.rankBytes[i.Rank] -= i.Bytes
	q.byDeadline.Remove(i.deadlineIndex)
	q.byLatestDeadline[i.Rank].Remove(i.latestIndex)
	i.list.remove(i)
	q.prune(i.Adapter, i.list)
}

// prune deletes an adapter's list if it is empty and the adapter is not ready.
func (q *Queue) prune(adapter table.AdapterVersion, l *requestList) {
	if len(l.items) == 0 && !l.ready {
		delete(q.lists, adapter)
	}
}
