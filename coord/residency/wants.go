package residency

import (
	"container/heap"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// want is an absent adapter with waiting requests.
type want struct {
	adapter table.AdapterVersion
	ranks   [table.RankCount]int
	waiting int
	due     time.Duration // when it asks for a load
	since   time.Duration // first arrival
	fails   int
	asking  bool       // in an asking heap, else in the gathering heap
	rank    table.Rank // of its asking heap
	place   int
}

// mostUrgent returns the most urgent rank that waits.
func (w *want) mostUrgent() table.Rank {
	for rank, n := range w.ranks {
		if n > 0 {
			return table.Rank(rank)
		}
	}
	return table.Patient
}

// wants holds the absent adapters: those that gather requests, by the time at
// which they are due, and those that ask for a load, best first.
type wants struct {
	config    Config
	byName    map[table.AdapterVersion]*want
	gathering dueHeap
	asking    [table.RankCount]askHeap
	floors    admission.Floors
}

func newWants(c Config) *wants {
	return &wants{
		config: c,
		byName: make(map[table.AdapterVersion]*want),
		floors: admission.NewFloors(c.Queue.Floors),
	}
}

// add counts a waiting request.
func (s *wants) add(now time.Duration, r admission.Request) {
	due := now + time.Duration(float64(r.Deadline-now)*s.config.GatherShare[r.Rank])
	w, found := s.byName[r.Adapter]
	if !found {
		w = &want{adapter: r.Adapter, due: due, since: now}
		s.byName[r.Adapter] = w
		heap.Push(&s.gathering, w)
	}
	w.ranks[r.Rank]++
	w.waiting++
	if w.fails == 0 {
		w.due = min(w.due, due)
		if w.waiting >= s.config.GatherCount {
			w.due = now
		}
	}
	s.fix(w)
}

// drop uncounts a request that no longer waits.
func (s *wants) drop(r admission.Request) {
	w, found := s.byName[r.Adapter]
	if !found {
		return
	}
	w.ranks[r.Rank]--
	w.waiting--
	if w.waiting == 0 {
		s.remove(w)
		return
	}
	s.fix(w)
}

// settle lets the wants that are due ask, and tells which ranks ask.
func (s *wants) settle(now time.Duration) admission.Work {
	for len(s.gathering) > 0 && s.gathering[0].due <= now {
		w := heap.Pop(&s.gathering).(*want)
		w.asking = true
		s.ask(w)
	}
	var work admission.Work
	for rank := range s.asking {
		work[rank] = len(s.asking[rank]) > 0
	}
	return work
}

// ask puts a want among those of its rank.
func (s *wants) ask(w *want) {
	w.rank = w.mostUrgent()
	heap.Push(&s.asking[w.rank], w)
}

// postpone makes a want gather again until due.
func (s *wants) postpone(w *want, due time.Duration) {
	s.lift(w)
	w.asking = false
	w.due = due
	heap.Push(&s.gathering, w)
}

// remove forgets a want.
func (s *wants) remove(w *want) {
	s.lift(w)
	delete(s.byName, w.adapter)
}

// lift takes a want out of its heap.
func (s *wants) lift(w *want) {
	if w.asking {
		heap.Remove(&s.asking[w.rank], w.place)
	} else {
		heap.Remove(&s.gathering, w.place)
	}
}

// fix puts a want in its place after a change.
func (s *wants) fix(w *want) {
	switch {
	case !w.asking:
		heap.Fix(&s.gathering, w.place)
	case w.rank != w.mostUrgent():
		s.lift(w)
		s.ask(w)
	default:
		heap.Fix(&s.asking[w.rank], w.place)
	}
}

// dueHeap orders wants by the time at which they ask.
type dueHeap []*want

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return earlier(h[i], h[j])
}
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	w := x.(*want)
	w.place = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any { return pop((*[]*want)(h)) }

// askHeap orders the wants of a rank by age.
type askHeap []*want

func (h askHeap) Len() int           { return len(h) }
func (h askHeap) Less(i, j int) bool { return earlier(h[i], h[j]) }
func (h askHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push implements heap.Interface.
func (h *askHeap) Push(x any) {
	w := x.(*want)
	w.place = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *askHeap) Pop() any { return pop((*[]*want)(h)) }

func pop(h *[]*want) *want {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return w
}

// earlier orders wants by age, then by name.
func earlier(a, b *want) bool {
	if a.since != b.since {
		return a.since < b.since
	}
	if a.adapter.Adapter != b.adapter.Adapter {
		return a.adapter.Adapter < b.adapter.Adapter
	}
	return a.adapter.Version < b.adapter.Version
}
