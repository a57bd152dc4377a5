package experiment

import (
	"container/heap"
	"time"
)

// clock is a virtual clock that runs scheduled functions in order of time.
// Functions with equal times run in the order in which they were scheduled.
type clock struct {
	now    time.Duration
	queue  timerHeap
	nextID uint64
}

// timer is a function scheduled at a virtual time.
type timer struct {
	at time.Duration
	id uint64
	fn func()
}

// after schedules fn to run after a delay.
func (c *clock) after(delay time.Duration, fn func()) {
	c.nextID++
	heap.Push(&c.queue, timer{at: c.now + delay, id: c.nextID, fn: fn})
}

// every runs fn at each interval until end; the last run may fall up to one
// interval after it.
func (c *clock) every(interval, end time.Duration, fn func()) {
	c.after(interval, func() {
		fn()
		if c.now < end {
			c.every(interval, end, fn)
		}
	})
}

// run executes scheduled functions until none is left at or before end.
func (c *clock) run(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(timer)
		c.now = next.at
		next.fn()
	}
}

// timerHeap is a min-heap of timers by time and then by id.
type timerHeap []timer

func (t timerHeap) Len() int { return len(t) }

func (t timerHeap) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].id < t[j].id
}

func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timerHeap) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timerHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
