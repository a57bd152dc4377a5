package experiment

import (
	"container/heap"
	"time"
)

// clock runs functions in order of virtual time, and of their scheduling where
// times are equal.
type clock struct {
	now    time.Duration
	queue  timers
	nextID uint64
}

type timer struct {
	at time.Duration
	id uint64
	do func()
}

// after schedules do at the given time from now.
func (c *clock) after(wait time.Duration, do func()) {
	c.nextID++
	heap.Push(&c.queue, timer{at: c.now + wait, id: c.nextID, do: do})
}

// every runs do at each interval until end.
func (c *clock) every(interval, end time.Duration, do func()) {
	c.after(interval, func() {
		do()
		if c.now < end {
			c.every(interval, end, do)
		}
	})
}

// run executes the queue until it is empty or end is reached.
func (c *clock) run(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(timer)
		c.now = next.at
		next.do()
	}
}

type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].id < t[j].id
}

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
