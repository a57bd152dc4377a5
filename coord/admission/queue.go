package admission

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/internal/indexed"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Config sizes a Queue.
type Config struct {
	// Limit bounds the waiting requests. Higher holds more of a burst, and more
	// memory. Default: 1,000.
	Limit int
	// LimitBytes bounds the bytes of the waiting bodies. Default: 16 MiB.
	LimitBytes int
	// Floors is the share of dispatches that a rank keeps while it has work that
	// could run, whatever waits in more urgent ranks. A higher floor slows the
	// urgent rank in a flood of its own. Default: 0, 0.2 and 0.1.
	Floors [table.RankCount]float64
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{Limit: 1000, LimitBytes: 16 << 20, Floors: [table.RankCount]float64{0, 0.2, 0.1}}
}

// Queue holds waiting requests. Those whose adapter is ready are runnable and
// taken by Next: most urgent rank first but for the floors, callers in turn
// within a rank, earliest deadline first within a caller. The others are parked.
// Each operation on one request takes a time logarithmic in the number waiting.
// A Queue is not safe for concurrent use.
type Queue struct {
	config    Config
	bytes     int
	rankBytes [table.RankCount]int
	items     map[uint64]*item
	lines     map[table.AdapterVersion]*line
	ranks     [table.RankCount]*rankQueue
	floors    Floors
	deadlines *indexed.Heap[*item]                  // earliest first
	latest    [table.RankCount]*indexed.Heap[*item] // latest deadline first
}

// NewQueue returns an empty queue.
func NewQueue(config Config) *Queue {
	q := &Queue{
		config:    config,
		floors:    NewFloors(config.Floors),
		items:     make(map[uint64]*item),
		lines:     make(map[table.AdapterVersion]*line),
		deadlines: indexed.New((*item).sooner, func(i *item, place int) { i.deadline = place }),
	}
	for rank := range q.ranks {
		q.ranks[rank] = newRankQueue()
		q.latest[rank] = indexed.New(later, func(i *item, place int) { i.latest = place })
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Bytes returns the bytes of the waiting bodies.
func (q *Queue) Bytes() int { return q.bytes }

// Runnable returns the number of runnable requests of a rank.
func (q *Queue) Runnable(rank table.Rank) int { return q.ranks[rank].length }

// Waiting returns the number of waiting requests for an adapter by rank.
func (q *Queue) Waiting(adapter table.AdapterVersion) [table.RankCount]int {
	if l, found := q.lines[adapter]; found {
		return l.ranks
	}
	return [table.RankCount]int{}
}

// Requests lists the waiting requests of an adapter, in no order.
func (q *Queue) Requests(adapter table.AdapterVersion) []Request {
	l, found := q.lines[adapter]
	if !found {
		return nil
	}
	requests := make([]Request, len(l.items))
	for at, i := range l.items {
		requests[at] = i.Request
	}
	return requests
}

// Push queues a request and tells whether there was room. In a full queue a
// request takes the place of less urgent ones, the latest deadlines first; they
// are returned.
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
	q.deadlines.Push(i)
	q.latest[r.Rank].Push(i)
	l := q.line(r.Adapter)
	l.add(i)
	if l.ready {
		q.ranks[i.Rank].push(i)
	}
	return displaced, true
}

// full tells whether there is no room for the request as things are.
func (q *Queue) full(r Request) bool {
	return len(q.items) >= q.config.Limit || q.bytes+r.Bytes > q.config.LimitBytes
}

// fits tells whether there is room once less urgent requests give way.
func (q *Queue) fits(r Request) bool {
	items, bytes := len(q.items), q.bytes
	for rank := r.Rank + 1; int(rank) < len(q.latest); rank++ {
		items -= q.latest[rank].Len()
		bytes -= q.rankBytes[rank]
	}
	return items < q.config.Limit && bytes+r.Bytes <= q.config.LimitBytes
}

// displace takes out the least urgent request with the latest deadline; there
// must be one that is less urgent than rank.
func (q *Queue) displace(rank table.Rank) Request {
	last := table.Rank(len(q.latest) - 1)
	for last > rank+1 && q.latest[last].Len() == 0 {
		last--
	}
	r, _ := q.Remove(q.latest[last].First().ID)
	return r
}

// SetReady makes the adapter's requests runnable, now and later.
func (q *Queue) SetReady(adapter table.AdapterVersion) {
	l := q.line(adapter)
	if l.ready {
		return
	}
	l.ready = true
	for _, i := range l.items {
		q.ranks[i.Rank].push(i)
	}
}

// Park ends that the adapter's requests are runnable.
func (q *Queue) Park(adapter table.AdapterVersion) {
	l, found := q.lines[adapter]
	if !found || !l.ready {
		return
	}
	l.ready = false
	for _, i := range l.items {
		q.ranks[i.Rank].remove(i)
	}
	q.prune(adapter, l)
}

// Remove takes the request with that ID out and tells whether it was there.
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

// RemoveAll takes out and returns the requests of an adapter.
func (q *Queue) RemoveAll(adapter table.AdapterVersion) []Request {
	l, found := q.lines[adapter]
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

// RemoveExpired takes out and returns the requests whose deadline is at or before now.
func (q *Queue) RemoveExpired(now time.Duration) []Request {
	var expired []Request
	for q.deadlines.Len() > 0 && q.deadlines.First().Deadline <= now {
		r, _ := q.Remove(q.deadlines.First().ID)
		expired = append(expired, r)
	}
	return expired
}

// Next takes the runnable request whose turn it is.
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

func (q *Queue) line(adapter table.AdapterVersion) *line {
	l, found := q.lines[adapter]
	if !found {
		l = &line{}
		q.lines[adapter] = l
	}
	return l
}

// forget drops a request that is in no rank's queue any more.
func (q *Queue) forget(i *item) {
	delete(q.items, i.ID)
	q.bytes -= i.Bytes
	q.rankBytes[i.Rank] -= i.Bytes
	q.deadlines.Remove(i.deadline)
	q.latest[i.Rank].Remove(i.latest)
	i.line.remove(i)
	q.prune(i.Adapter, i.line)
}

// prune drops an adapter's line that carries nothing.
func (q *Queue) prune(adapter table.AdapterVersion, l *line) {
	if len(l.items) == 0 && !l.ready {
		delete(q.lines, adapter)
	}
}
