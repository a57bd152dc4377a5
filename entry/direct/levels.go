package direct

import "time"

// updateGauges sets the gauges. Their names are documented in
// docs/OPERATIONS.md.
func (i *Instance) updateGauges(at time.Duration) {
	m := i.metrics
	m.setGauge("config_version", float64(i.gateway.configVersion()))
	m.setGauge("config_behind_seconds", i.versionLag.behind(at).Seconds())
	m.setGauge("members", float64(i.instanceCount()))
	m.setGauge("rights_held", float64(len(i.cluster.HeldRights())))
	m.setGauge("requests_in_progress", float64(i.gateway.activeRequests.Load()))
	m.setGauge("upstream_connections_opened", float64(i.gateway.pool.Opened()))
	m.setGauge("store_calls", float64(i.ports.Directory.Calls()))
	m.setGauge("log_lines_dropped", float64(i.log.Dropped()))
	storeUnavailable := 0.0
	if i.directorySync.isStoreUnavailable() {
		storeUnavailable = 1
	}
	m.setGauge("store_away", storeUnavailable)
	m.setGauge("quarantined_parts", float64(i.gateway.guard.quarantinedParts()))
	waiting, inTransit := i.orders.countAdapters()
	m.setGauge("adapters_waiting", float64(waiting))
	m.setGauge("adapters_in_transit", float64(inTransit))
	i.fleet.updateGauges(at, m, i.instanceCount())
}

// isStoreUnavailable reports whether this instance reads the store and gets no
// response.
func (s *directorySync) isStoreUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeUnavailable
}

// countAdapters counts the adapters that wait for a slot of the workers under
// this instance's control, and those being loaded.
func (o *orderDispatcher) countAdapters() (waiting, inTransit int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.workers {
		w.mu.Lock()
		waiting += len(w.waiters)
		inTransit += w.planner.InTransit()
		w.mu.Unlock()
	}
	return waiting, inTransit
}

// The values of the state label of the workers gauge.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateLapsed   = "lapsed"
	stateSuspect  = "suspect"
)

// updateGauges sets the gauges of cached state.
func (f *fleet) updateGauges(at time.Duration, m *metrics, instances int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	states := map[string]int{stateReady: 0, stateDraining: 0, stateLapsed: 0, stateSuspect: 0}
	for i := range f.workers {
		states[f.workerState(at, f.workers[i].ID, f.workers[i].Draining)]++
	}
	for state, count := range states {
		m.tagged("state", state).Gauge("workers").Update(float64(count))
	}
	if f.configInstalledAt > 0 {
		m.setGauge("config_age_seconds", (at - f.configInstalledAt).Seconds())
	}
	oldest := time.Duration(0)
	for _, p := range f.peerStates {
		if at <= p.expiresAt {
			oldest = max(oldest, at-p.receivedAt)
		}
	}
	m.setGauge("peer_news_age_seconds", oldest.Seconds())
	retriesLeft := 0.0
	for _, b := range f.budgets {
		retriesLeft += b.Remaining(at, instances)
	}
	m.setGauge("repeats_left", retriesLeft)
}

// workerState returns the state label of a worker. f.mu must be held.
func (f *fleet) workerState(at time.Duration, id string, draining bool) string {
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
