package experiment

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/residency"
)

// refusalDelay is the time until an order to an engine that is down fails.
const refusalDelay = 100 * time.Millisecond

// scheduleFaults schedules the scenario's faults. Those that are not listed here
// take effect through the trace, loadFails or connected.
func (s *simulation) scheduleFaults() {
	for _, event := range s.scenario.Events {
		from, to := seconds(event.From), seconds(event.To)
		switch event.Kind {
		case Restart:
			w := s.workers[event.Worker%len(s.workers)]
			s.after(from, func() { s.stopWorker(w) })
			s.after(to, func() { w.engine.down = false })
		case DataCentreLost:
			s.after(from, func() { s.stopDataCentre(event.DataCentre) })
			s.after(to, func() { s.restoreDataCentre(event.DataCentre) })
		}
	}
}

// stopWorker stops a worker's engine and retries its requests elsewhere.
func (s *simulation) stopWorker(w *worker) {
	w.engine.down = true
	dropped := w.engine.restart()
	s.applyEvent(w, residency.Restarted{})
	for _, r := range dropped {
		s.applyEvent(w, residency.Finished{ID: r.id})
		s.retryLost(r)
	}
}

// retryLost retries a request whose worker was lost, or refuses it if its
// attempts are used up or its entry is down.
func (s *simulation) retryLost(r *request) {
	delete(s.inProgress, r.id)
	if r.attempts >= maxAttempts || r.entry.down {
		r.outcome = refused
		return
	}
	r.firstTokenAt = 0
	s.retry(r)
}

// stopDataCentre stops the workers and entries of a data centre, which lose their
// state. Affected requests are retried elsewhere, or refused if their entry is
// down.
func (s *simulation) stopDataCentre(dataCentre string) {
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
	for _, r := range s.allRequests { // not inProgress: its map order differs between runs
		if _, held := s.inProgress[r.id]; held && (r.entry.down || r.worker.endpoint.DataCentre == dataCentre) {
			if r.worker.endpoint.DataCentre != dataCentre {
				s.applyEvent(r.worker, residency.Cancel{ID: r.id})
			}
			s.retryLost(r)
		}
	}
}

// restoreDataCentre starts the entries and workers of a data centre again, without
// their earlier state.
func (s *simulation) restoreDataCentre(dataCentre string) {
	for _, e := range s.entries {
		if e.dataCentre == dataCentre {
			e.reset()
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
			e.setBudgetShare()
		}
	}
}

// loadFails reports whether a load that begins now fails.
func (s *simulation) loadFails() bool {
	for _, event := range s.scenario.Events {
		if event.Kind == StoreFails && s.now >= seconds(event.From) && s.now < seconds(event.To) {
			return s.rng.Float64() < event.Share
		}
	}
	return false
}

// connected reports whether two data centres can reach each other now.
func (s *simulation) connected(a, b string) bool {
	for _, event := range s.scenario.Events {
		if s.now < seconds(event.From) || s.now >= seconds(event.To) {
			continue
		}
		switch event.Kind {
		case RegionCut:
			if s.regionOf[a] != s.regionOf[b] {
				return false
			}
		case DataCentreLost:
			if a == event.DataCentre || b == event.DataCentre {
				return false
			}
		}
	}
	return true
}
