package direct

import "time"

// observeLevels sets the gauges. Their names stand in docs/OPERATIONS.md.
func (i *Instance) observeLevels(at time.Duration) {
	m := i.metrics
	m.level("config_version", float64(i.gateway.version()))
	m.level("members", float64(i.members()))
	m.level("rights_held", float64(len(i.cluster.HeldRights())))
	m.level("requests_in_progress", float64(i.gateway.active.Load()))
	m.level("upstream_connections_opened", float64(i.gateway.pool.Opened()))
	m.level("store_calls", float64(i.ports.Directory.Calls()))
	m.level("log_lines_dropped", float64(i.log.Dropped()))
	away := 0.0
	if i.shared.isAway() {
		away = 1
	}
	m.level("store_away", away)
	waiting, transit := i.orders.levels()
	m.level("adapters_waiting", float64(waiting))
	m.level("adapters_in_transit", float64(transit))
	i.fleet.observeLevels(at, m, i.members())
}

// isAway tells whether this instance reads the store and gets no answer.
func (s *shared) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// levels counts the adapters that wait for a slot of the workers that this
// instance orders, and those on their way there.
func (o *orders) levels() (waiting, transit int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.workers {
		w.mu.Lock()
		waiting += len(w.waiters)
		transit += w.planner.InTransit()
		w.mu.Unlock()
	}
	return waiting, transit
}

// The states of workers in metrics.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateLapsed   = "lapsed"
	stateSuspect  = "suspect"
)

// observeLevels sets the gauges of what is believed.
func (f *fleet) observeLevels(at time.Duration, m *metrics, members int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	states := map[string]int{stateReady: 0, stateDraining: 0, stateLapsed: 0, stateSuspect: 0}
	for i := range f.workers {
		states[f.stateOf(at, f.workers[i].ID, f.workers[i].Draining)]++
	}
	for state, count := range states {
		m.tagged("state", state).Gauge("workers").Update(float64(count))
	}
	if f.configAt > 0 {
		m.level("config_age_seconds", (at - f.configAt).Seconds())
	}
	oldest := time.Duration(0)
	for _, p := range f.peers {
		if at <= p.until {
			oldest = max(oldest, at-p.at)
		}
	}
	m.level("peer_news_age_seconds", oldest.Seconds())
	left := 0.0
	for _, b := range f.budgets {
		left += b.Remaining(at, members)
	}
	m.level("repeats_left", left)
}

// stateOf is the state of a worker.
func (f *fleet) stateOf(at time.Duration, id string, draining bool) string {
	health := f.health[id]
	switch {
	case draining:
		return stateDraining
	case f.registry.Missing(id):
		return stateLapsed
	case health != nil && health.Suspect(at):
		return stateSuspect
	}
	return stateReady
}
