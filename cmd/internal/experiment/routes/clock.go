package routes

import (
	"container/heap"
	"time"
)

// clock runs functions in the order of their virtual times.
type clock struct {
	now    time.Duration
	queue  timers
	serial int
}

// timer is a function to run at a time. Those of equal times run in the order in which
// they were added.
type timer struct {
	at     time.Duration
	serial int
	run    func()
}

// after runs a function after a delay.
func (c *clock) after(delay time.Duration, run func()) {
	c.serial++
	heap.Push(&c.queue, timer{at: c.now + delay, serial: c.serial, run: run})
}

// runUntil runs all functions up to a time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(timer) //nolint:forcetypeassert // timers holds nothing else
		c.now = next.at
		next.run()
	}
}

// timers implements heap.Interface.
type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].serial < t[j].serial
}

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timers) Push(x any) { *t = append(*t, x.(timer)) } //nolint:forcetypeassert // see runUntil

func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
