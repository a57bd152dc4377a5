package admission

import (
	"sort"
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
	// Arrived is when it was queued, since start.
	Arrived time.Duration
	// Deadline is when it is worthless, since start.
	Deadline time.Duration
}

// Queue holds waiting requests, most urgent rank first and earliest arrival
// first within a rank. It is not safe for concurrent use.
type Queue struct {
	limit   int
	waiting []Request
}

// NewQueue returns a queue that holds at most limit requests.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Push queues a request and tells whether there was room.
func (q *Queue) Push(r Request) bool {
	if len(q.waiting) >= q.limit {
		return false
	}
	at := sort.Search(len(q.waiting), func(i int) bool { return q.waiting[i].Rank > r.Rank })
	q.waiting = append(q.waiting, Request{})
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = r
	return true
}

// Remove takes the request with that ID out and tells whether it was there.
func (q *Queue) Remove(id uint64) bool {
	for i := range q.waiting {
		if q.waiting[i].ID == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Expired takes out and returns the requests whose deadline has passed.
func (q *Queue) Expired(now time.Duration) []Request {
	var expired []Request
	kept := q.waiting[:0]
	for _, r := range q.waiting {
		if r.Deadline <= now {
			expired = append(expired, r)
		} else {
			kept = append(kept, r)
		}
	}
	q.waiting = kept
	return expired
}

// Waiting returns a copy of the waiting requests in serving order.
func (q *Queue) Waiting() []Request {
	return append([]Request(nil), q.waiting...)
}
