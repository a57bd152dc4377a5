package residency

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/internal/indexed"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// pendingLoad is the load of an absent adapter for which requests wait. While it
// gathers, it waits for more requests; once it is due, it may begin.
type pendingLoad struct {
	adapter       table.AdapterVersion
	waitingByRank [table.RankCount]int
	waiting       int
	dueAt         time.Duration // end of gathering
	firstArrival  time.Duration
	failures      int        // consecutive failed loads
	isDue         bool       // in a due heap, else in the gathering heap
	heapRank      table.Rank // of its due heap
	heapIndex     int        // in the heap that holds it
}

// mostUrgent returns the most urgent rank of the waiting requests.
func (l *pendingLoad) mostUrgent() table.Rank {
	for rank, n := range l.waitingByRank {
		if n > 0 {
			return table.Rank(rank)
		}
	}
	return table.Patient
}

// pendingLoads holds the loads of absent adapters: those that gather requests, by
// the time at which they are due, and those that are due, by rank and arrival.
type pendingLoads struct {
	config    Config
	byAdapter map[table.AdapterVersion]*pendingLoad
	gathering *indexed.Heap[*pendingLoad]                  // by dueAt
	due       [table.RankCount]*indexed.Heap[*pendingLoad] // by firstArrival
	floors    admission.Floors
}

func newPendingLoads(c Config) *pendingLoads {
	p := &pendingLoads{
		config:    c,
		byAdapter: make(map[table.AdapterVersion]*pendingLoad),
		gathering: indexed.New(dueBefore, setHeapIndex),
		floors:    admission.NewFloors(c.Queue.Floors),
	}
	for rank := range p.due {
		p.due[rank] = indexed.New(arrivedBefore, setHeapIndex)
	}
	return p
}

// add counts a waiting request, and creates the adapter's load if there is none. A
// load that is delayed after a failure keeps its dueAt.
func (p *pendingLoads) add(now time.Duration, r admission.Request) {
	dueAt := now + time.Duration(float64(r.Deadline-now)*p.config.GatherShare[r.Rank])
	l, found := p.byAdapter[r.Adapter]
	if !found {
		l = &pendingLoad{adapter: r.Adapter, dueAt: dueAt, firstArrival: now}
		p.byAdapter[r.Adapter] = l
		p.gathering.Push(l)
	}
	l.waitingByRank[r.Rank]++
	l.waiting++
	if l.failures == 0 {
		l.dueAt = min(l.dueAt, dueAt)
		if l.waiting >= p.config.GatherCount {
			l.dueAt = now
		}
	}
	p.reorder(l)
}

// drop discounts a request that no longer waits, and removes the load with its
// last request.
func (p *pendingLoads) drop(r admission.Request) {
	l, found := p.byAdapter[r.Adapter]
	if !found {
		return
	}
	l.waitingByRank[r.Rank]--
	l.waiting--
	if l.waiting == 0 {
		p.remove(l)
		return
	}
	p.reorder(l)
}

// promoteDue moves the loads whose time has come to the due heaps, and reports the
// ranks that have due loads.
func (p *pendingLoads) promoteDue(now time.Duration) admission.Work {
	for p.gathering.Len() > 0 && p.gathering.First().dueAt <= now {
		l := p.gathering.Pop()
		l.isDue = true
		p.pushDue(l)
	}
	var work admission.Work
	for rank := range p.due {
		work[rank] = p.due[rank].Len() > 0
	}
	return work
}

// pushDue adds a load to the due heap of its rank.
func (p *pendingLoads) pushDue(l *pendingLoad) {
	l.heapRank = l.mostUrgent()
	p.due[l.heapRank].Push(l)
}

// postpone makes a load gather until dueAt.
func (p *pendingLoads) postpone(l *pendingLoad, dueAt time.Duration) {
	p.removeFromHeap(l)
	l.isDue = false
	l.dueAt = dueAt
	p.gathering.Push(l)
}

// remove removes a load.
func (p *pendingLoads) remove(l *pendingLoad) {
	p.removeFromHeap(l)
	delete(p.byAdapter, l.adapter)
}

// removeFromHeap removes a load from the heap that holds it.
func (p *pendingLoads) removeFromHeap(l *pendingLoad) {
	if l.isDue {
		p.due[l.heapRank].Remove(l.heapIndex)
	} else {
		p.gathering.Remove(l.heapIndex)
	}
}

// reorder restores the heaps after a load has changed.
func (p *pendingLoads) reorder(l *pendingLoad) {
	switch {
	case !l.isDue:
		p.gathering.Fix(l.heapIndex)
	case l.heapRank != l.mostUrgent():
		p.removeFromHeap(l)
		p.pushDue(l)
	default:
		p.due[l.heapRank].Fix(l.heapIndex)
	}
}

// dueBefore orders loads by dueAt, then as arrivedBefore.
func dueBefore(a, b *pendingLoad) bool {
	if a.dueAt != b.dueAt {
		return a.dueAt < b.dueAt
	}
	return arrivedBefore(a, b)
}

// setHeapIndex records a load's index in the heap that holds it.
func setHeapIndex(l *pendingLoad, index int) { l.heapIndex = index }

// arrivedBefore orders loads by the arrival of their first request, then by the
// adapter's name and version.
func arrivedBefore(a, b *pendingLoad) bool {
	if a.firstArrival != b.firstArrival {
		return a.firstArrival < b.firstArrival
	}
	if a.adapter.Adapter != b.adapter.Adapter {
		return a.adapter.Adapter < b.adapter.Adapter
	}
	return a.adapter.Version < b.adapter.Version
}
