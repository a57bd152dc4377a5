package residency

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/internal/indexed"
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
	gathering *indexed.Heap[*want]                  // by the time at which they are due
	asking    [table.RankCount]*indexed.Heap[*want] // by age
	floors    admission.Floors
}

func newWants(c Config) *wants {
	s := &wants{
		config:    c,
		byName:    make(map[table.AdapterVersion]*want),
		gathering: indexed.New(dueBefore, moved),
		floors:    admission.NewFloors(c.Queue.Floors),
	}
	for rank := range s.asking {
		s.asking[rank] = indexed.New(earlier, moved)
	}
	return s
}

// add counts a waiting request.
func (s *wants) add(now time.Duration, r admission.Request) {
	due := now + time.Duration(float64(r.Deadline-now)*s.config.GatherShare[r.Rank])
	w, found := s.byName[r.Adapter]
	if !found {
		w = &want{adapter: r.Adapter, due: due, since: now}
		s.byName[r.Adapter] = w
		s.gathering.Push(w)
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
	for s.gathering.Len() > 0 && s.gathering.First().due <= now {
		w := s.gathering.Pop()
		w.asking = true
		s.ask(w)
	}
	var work admission.Work
	for rank := range s.asking {
		work[rank] = s.asking[rank].Len() > 0
	}
	return work
}

// ask puts a want among those of its rank.
func (s *wants) ask(w *want) {
	w.rank = w.mostUrgent()
	s.asking[w.rank].Push(w)
}

// postpone makes a want gather again until due.
func (s *wants) postpone(w *want, due time.Duration) {
	s.lift(w)
	w.asking = false
	w.due = due
	s.gathering.Push(w)
}

// remove forgets a want.
func (s *wants) remove(w *want) {
	s.lift(w)
	delete(s.byName, w.adapter)
}

// lift takes a want out of its heap.
func (s *wants) lift(w *want) {
	if w.asking {
		s.asking[w.rank].Remove(w.place)
	} else {
		s.gathering.Remove(w.place)
	}
}

// fix puts a want in its place after a change.
func (s *wants) fix(w *want) {
	switch {
	case !w.asking:
		s.gathering.Fix(w.place)
	case w.rank != w.mostUrgent():
		s.lift(w)
		s.ask(w)
	default:
		s.asking[w.rank].Fix(w.place)
	}
}

// dueBefore orders wants by the time at which they ask.
func dueBefore(a, b *want) bool {
	if a.due != b.due {
		return a.due < b.due
	}
	return earlier(a, b)
}

// moved notes a want's place in the heap that it is in.
func moved(w *want, place int) { w.place = place }

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
