package admission

import "github.com/bulrushwick/bulrushwick/coord/internal/indexed"

// rankQueue holds the runnable requests of one rank. The callers are served
// round-robin by stride scheduling with equal weights: each caller's pass
// increases by one with each of its requests that is dispatched, and the caller
// with the lowest pass is next. A new caller starts at the pass of the caller
// that was served last, so that it has no turns to catch up on.
type rankQueue struct {
	byCaller map[string]*callerQueue
	turns    *indexed.Heap[*callerQueue]
	pass     uint64 // of the caller served last, before that dispatch
	length   int    // runnable requests of all callers
}

func newRankQueue() *rankQueue {
	return &rankQueue{
		byCaller: make(map[string]*callerQueue),
		turns:    indexed.New((*callerQueue).before, func(c *callerQueue, index int) { c.index = index }),
	}
}

// push adds a runnable request.
func (q *rankQueue) push(i *item) {
	c, found := q.byCaller[i.Caller]
	if !found {
		c = newCallerQueue(i.Caller, q.pass)
		q.byCaller[i.Caller] = c
		q.turns.Push(c)
	}
	i.caller = c
	c.items.Push(i)
	q.turns.Fix(c.index)
	q.length++
}

// remove removes a runnable request.
func (q *rankQueue) remove(i *item) {
	c := i.caller
	c.items.Remove(i.callerIndex)
	i.caller = nil
	q.length--
	if c.items.Len() == 0 {
		q.turns.Remove(c.index)
		delete(q.byCaller, c.name)
		return
	}
	q.turns.Fix(c.index)
}

// peek returns the request that is next, without removing it.
func (q *rankQueue) peek() *item { return q.turns.First().items.First() }

// pop removes and returns the request that is next.
func (q *rankQueue) pop() *item {
	i := q.peek()
	q.pass = i.caller.pass
	i.caller.pass++
	q.remove(i)
	return i
}

// callerQueue holds the runnable requests of one caller, earliest deadline first.
type callerQueue struct {
	name  string
	pass  uint64
	index int
	items *indexed.Heap[*item]
}

// newCallerQueue returns the empty queue of a caller.
func newCallerQueue(name string, pass uint64) *callerQueue {
	return &callerQueue{
		name:  name,
		pass:  pass,
		items: indexed.New((*item).before, func(i *item, index int) { i.callerIndex = index }),
	}
}

// before orders callers by pass, then by their earliest deadline.
func (c *callerQueue) before(other *callerQueue) bool {
	if c.pass != other.pass {
		return c.pass < other.pass
	}
	if c.items.Len() == 0 || other.items.Len() == 0 {
		return c.items.Len() > other.items.Len()
	}
	return c.items.First().before(other.items.First())
}
