package experiment

import (
	"github.com/bulrushwick/bulrushwick/coord/residency"
)

// scheduleFaults plans the scenario's faults.
func (s *simulation) scheduleFaults() {
	for _, e := range s.scenario.Events {
		if e.Kind != Restart || e.Worker >= len(s.workers) {
			continue
		}
		w := s.workers[e.Worker]
		s.after(seconds(e.From), func() { s.stop(w) })
		s.after(seconds(e.To), func() { w.engine.down = false })
	}
}

// stop ends what runs on a worker; its requests are tried elsewhere.
func (s *simulation) stop(w *worker) {
	w.engine.down = true
	dropped := w.engine.restart()
	s.step(w, residency.Restarted{})
	for _, r := range dropped {
		s.step(w, residency.Finished{ID: r.id})
		delete(s.requests, r.id)
		if r.attempts >= maxAttempts {
			r.outcome = refused
			continue
		}
		r.first = 0
		s.retry(r)
	}
}

// loadFails tells whether a load that begins now fails.
func (s *simulation) loadFails() bool {
	for _, e := range s.scenario.Events {
		if e.Kind == StoreFails && s.now >= seconds(e.From) && s.now < seconds(e.To) {
			return s.rng.Float64() < e.Share
		}
	}
	return false
}

// connected tells whether two data centres reach each other now.
func (s *simulation) connected(a, b string) bool {
	for _, e := range s.scenario.Events {
		if s.now < seconds(e.From) || s.now >= seconds(e.To) {
			continue
		}
		switch e.Kind {
		case RegionCut:
			if s.regions[a] != s.regions[b] {
				return false
			}
		case DataCentreLost:
			if a == e.DataCentre || b == e.DataCentre {
				return false
			}
		}
	}
	return true
}
