package admission

import "container/heap"

// rankQueue holds the runnable requests of one rank. Callers take turns: each
// has a pass, the number of its requests that were served, counted from the pass
// of the caller served last when it came.
type rankQueue struct {
	byName map[string]*callerQueue
	turns  turnHeap
	pass   uint64
	length int
}

func newRankQueue() *rankQueue {
	return &rankQueue{byName: make(map[string]*callerQueue)}
}

// push adds a runnable request.
func (q *rankQueue) push(i *item) {
	c, found := q.byName[i.Caller]
	if !found {
		c = &callerQueue{name: i.Caller, pass: q.pass}
		q.byName[i.Caller] = c
		heap.Push(&q.turns, c)
	}
	i.caller = c
	heap.Push(&c.items, i)
	heap.Fix(&q.turns, c.place)
	q.length++
}

// remove takes a runnable request out.
func (q *rankQueue) remove(i *item) {
	c := i.caller
	heap.Remove(&c.items, i.callerSlot)
	i.caller = nil
	q.length--
	if len(c.items) == 0 {
		heap.Remove(&q.turns, c.place)
		delete(q.byName, c.name)
		return
	}
	heap.Fix(&q.turns, c.place)
}

// head returns the request whose turn it is.
func (q *rankQueue) head() *item { return q.turns[0].items[0] }

// pop takes the request whose turn it is.
func (q *rankQueue) pop() *item {
	i := q.head()
	q.pass = i.caller.pass
	i.caller.pass++
	q.remove(i)
	return i
}

// callerQueue holds the runnable requests of one caller, earliest deadline first.
type callerQueue struct {
	name  string
	pass  uint64
	place int
	items callerHeap
}

// callerHeap orders the requests of one caller.
type callerHeap []*item

func (h callerHeap) Len() int           { return len(h) }
func (h callerHeap) Less(i, j int) bool { return h[i].sooner(h[j]) }
func (h callerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].callerSlot, h[j].callerSlot = i, j
}

// Push implements heap.Interface.
func (h *callerHeap) Push(x any) {
	i := x.(*item)
	i.callerSlot = len(*h)
	*h = append(*h, i)
}

// Pop implements heap.Interface.
func (h *callerHeap) Pop() any {
	last := len(*h) - 1
	i := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return i
}

// turnHeap orders the callers: lowest pass first, then earliest deadline.
type turnHeap []*callerQueue

func (h turnHeap) Len() int { return len(h) }
func (h turnHeap) Less(i, j int) bool {
	if h[i].pass != h[j].pass {
		return h[i].pass < h[j].pass
	}
	if len(h[i].items) == 0 || len(h[j].items) == 0 {
		return len(h[i].items) > len(h[j].items)
	}
	return h[i].items[0].sooner(h[j].items[0])
}
func (h turnHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push implements heap.Interface.
func (h *turnHeap) Push(x any) {
	c := x.(*callerQueue)
	c.place = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *turnHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return c
}

// deadlineHeap orders all waiting requests by deadline.
type deadlineHeap []*item

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].sooner(h[j]) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadline, h[j].deadline = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	i := x.(*item)
	i.deadline = len(*h)
	*h = append(*h, i)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	i := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return i
}

// latestHeap orders the waiting requests of one rank by deadline, latest first.
type latestHeap []*item

func (h latestHeap) Len() int           { return len(h) }
func (h latestHeap) Less(i, j int) bool { return h[j].sooner(h[i]) }
func (h latestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].latest, h[j].latest = i, j
}

// Push implements heap.Interface.
func (h *latestHeap) Push(x any) {
	i := x.(*item)
	i.latest = len(*h)
	*h = append(*h, i)
}

// Pop implements heap.Interface.
func (h *latestHeap) Pop() any {
	last := len(*h) - 1
	i := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return i
}
