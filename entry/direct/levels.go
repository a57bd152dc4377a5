package direct

import "time"

// updateGauges sets the gauges. Their names are documented in
// docs/OPERATIONS.md.
func (i *Instance) updateGauges(at time.Duration) {
	m := i.metrics
	m.setGauge("config_version", float64(i.gateway.configVersion()))
	m.setGauge("config_behind_seconds", i.versionLag.behind(at).Seconds())
	if age, confirmed := i.gateway.revocation.Age(); confirmed {
		m.setGauge("config_confirmed_age_seconds", age.Seconds())
	}
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
	m.setGauge("store_era", float64(i.fleet.workers.storeEra()))
	m.setGauge("quarantined_parts", float64(i.gateway.guard.quarantinedParts()))
	waiting, inTransit := i.orders.countAdapters()
	m.setGauge("adapters_waiting", float64(waiting))
	m.setGauge("adapters_in_transit", float64(inTransit))
	i.updateQuotaMetrics()
	i.updateMemoryGauges()
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

// updateGauges sets the gauges of what is believed of workers and peers.
func (f *fleet) updateGauges(at time.Duration, m *metrics, instances int) {
	states := map[string]int{stateReady: 0, stateDraining: 0, stateLapsed: 0, stateSuspect: 0}
	for _, w := range f.workers.all() {
		states[f.workerState(at, w.ID, w.Draining)]++
	}
	for state, count := range states {
		m.tagged("state", state).Gauge("workers").Update(float64(count))
	}
	if age := f.config.age(at); age > 0 {
		m.setGauge("config_age_seconds", age.Seconds())
	}
	m.setGauge("organisations_above_share", float64(f.organisations.countAbove(at, f.config.table())))
	m.setGauge("peer_news_age_seconds", f.usage.oldestAge(at).Seconds())
	f.costs.updateGauges(at, m, f.balance.TokensPerMS)
	m.setGauge("repeats_left", f.demand.retriesLeft(at, instances))
}

// workerState returns the state label of a worker.
func (f *fleet) workerState(at time.Duration, id string, draining bool) string {
	switch {
	case draining:
		return stateDraining
	case f.workers.isMissing(id):
		return stateLapsed
	case f.conditions.get(at, id).suspect:
		return stateSuspect
	}
	return stateReady
}
