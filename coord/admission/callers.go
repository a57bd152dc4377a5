package admission

import "github.com/bulrushwick/bulrushwick/coord/internal/indexed"

// rankQueue holds the runnable requests of one rank. Callers take turns: each
// has a pass, the number of its requests that were served, counted from the pass
// of the caller served last when it came.
type rankQueue struct {
	byName map[string]*callerQueue
	turns  *indexed.Heap[*callerQueue]
	pass   uint64
	length int
}

func newRankQueue() *rankQueue {
	return &rankQueue{
		byName: make(map[string]*callerQueue),
		turns:  indexed.New((*callerQueue).turnsBefore, func(c *callerQueue, place int) { c.place = place }),
	}
}

// push adds a runnable request.
func (q *rankQueue) push(i *item) {
	c, found := q.byName[i.Caller]
	if !found {
		c = newCallerQueue(i.Caller, q.pass)
		q.byName[i.Caller] = c
		q.turns.Push(c)
	}
	i.caller = c
	c.items.Push(i)
	q.turns.Fix(c.place)
	q.length++
}

// remove takes a runnable request out.
func (q *rankQueue) remove(i *item) {
	c := i.caller
	c.items.Remove(i.callerSlot)
	i.caller = nil
	q.length--
	if c.items.Len() == 0 {
		q.turns.Remove(c.place)
		delete(q.byName, c.name)
		return
	}
	q.turns.Fix(c.place)
}

// head returns the request whose turn it is.
func (q *rankQueue) head() *item { return q.turns.First().items.First() }

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
	items *indexed.Heap[*item]
}

// newCallerQueue returns the empty queue of a caller.
func newCallerQueue(name string, pass uint64) *callerQueue {
	return &callerQueue{
		name:  name,
		pass:  pass,
		items: indexed.New((*item).sooner, func(i *item, place int) { i.callerSlot = place }),
	}
}

// turnsBefore orders the callers: lowest pass first, then earliest deadline.
func (c *callerQueue) turnsBefore(other *callerQueue) bool {
	if c.pass != other.pass {
		return c.pass < other.pass
	}
	if c.items.Len() == 0 || other.items.Len() == 0 {
		return c.items.Len() > other.items.Len()
	}
	return c.items.First().sooner(other.items.First())
}
