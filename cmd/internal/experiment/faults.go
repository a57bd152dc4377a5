package experiment

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/residency"
)

// refusalWait is how long an order to an engine that is down takes to fail.
const refusalWait = 100 * time.Millisecond

// scheduleFaults plans the scenario's faults.
func (s *simulation) scheduleFaults() {
	for _, e := range s.scenario.Events {
		from, to := seconds(e.From), seconds(e.To)
		switch e.Kind {
		case Restart:
			w := s.workers[e.Worker%len(s.workers)]
			s.after(from, func() { s.stop(w) })
			s.after(to, func() { w.engine.down = false })
		case DataCentreLost:
			s.after(from, func() { s.lose(e.DataCentre) })
			s.after(to, func() { s.restore(e.DataCentre) })
		}
	}
}

// stop ends what runs on a worker; its requests are tried elsewhere.
func (s *simulation) stop(w *worker) {
	w.engine.down = true
	dropped := w.engine.restart()
	s.step(w, residency.Restarted{})
	for _, r := range dropped {
		s.step(w, residency.Finished{ID: r.id})
		s.dropped(r)
	}
}

// dropped tries a request elsewhere whose worker was lost.
func (s *simulation) dropped(r *request) {
	delete(s.requests, r.id)
	if r.attempts >= maxAttempts || r.entry.down {
		r.outcome = refused
		return
	}
	r.first = 0
	s.retry(r)
}

// lose stops the workers and the entries of a data centre, and with them what
// they hold.
func (s *simulation) lose(dataCentre string) {
	for _, e := range s.entries {
		e.down = e.down || e.dataCentre == dataCentre
	}
	for _, w := range s.workers {
		if w.endpoint.DataCentre == dataCentre {
			w.engine.down = true
			w.engine.restart()
			w.machine = s.policy.newWorker(s, w)
		}
	}
	for _, r := range s.all { // in a fixed order
		if _, held := s.requests[r.id]; held && (r.entry.down || r.worker.endpoint.DataCentre == dataCentre) {
			if r.worker.endpoint.DataCentre != dataCentre {
				s.step(r.worker, residency.Cancel{ID: r.id})
			}
			s.dropped(r)
		}
	}
}

// restore starts a data centre anew: entries and workers that know nothing.
func (s *simulation) restore(dataCentre string) {
	for _, e := range s.entries {
		if e.dataCentre == dataCentre {
			e.start()
		}
	}
	for _, w := range s.workers {
		if w.endpoint.DataCentre == dataCentre {
			w.engine.down = false
			w.machine = s.policy.newWorker(s, w)
		}
	}
	for _, e := range s.entries {
		if e.dataCentre == dataCentre {
			e.startBudget()
		}
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
