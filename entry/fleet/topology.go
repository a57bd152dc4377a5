package fleet

import "github.com/bulrushwick/bulrushwick/coord/member"

// updateTopology computes the peers that this instance exchanges heartbeats with. Its
// callers hold f.mu.
func (f *Fleet) updateTopology() {
	self, published := f.members.Instance(f.self)
	if !published {
		self = member.Instance{Name: f.self, DataCentre: f.dataCentre}
	}
	f.topology = member.NewTopology(member.DefaultTargetConfig(), self, f.members.Others())
	f.members.SetObserved(f.Now(), f.topology.Neighbours())
}

// Targets returns the peers to send the heartbeat with that number to: those that the
// topology selects, and the neighbours that have not been heard from for a while.
func (f *Fleet) Targets(heartbeat uint64) []member.Instance {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.topology == nil {
		return nil
	}
	targets := f.topology.Targets(heartbeat)
	included := make(map[string]bool, len(targets))
	for _, target := range targets {
		included[target.Name] = true
	}
	for _, probe := range f.members.Probes(f.Now()) {
		if !included[probe.Name] {
			targets = append(targets, probe)
		}
	}
	return targets
}

// SendsTo reports whether this instance sends every heartbeat to the named one.
func (f *Fleet) SendsTo(name string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.topology != nil && f.topology.SendsTo(name)
}

// Sharing selects the worker records that are exchanged with a peer.
type Sharing int

const (
	// ShareNone exchanges no records; it applies to peers of other regions.
	ShareNone Sharing = iota
	// ShareOwn exchanges the records that the sender itself made; it applies to a
	// fleet so small that every instance sends heartbeats to every other.
	ShareOwn
	// ShareAll exchanges all records, also those received from other peers; it
	// applies to peers of the same region, which pass records on.
	ShareAll
)

// Sharing returns the selection of records that are exchanged with the named peer.
func (f *Fleet) Sharing(name string) Sharing {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.topology == nil || f.topology.IsFullMesh() {
		return ShareOwn
	}
	peer, found := f.members.Instance(name)
	if !found {
		return ShareNone
	}
	if peer.DataCentre == f.dataCentre {
		return ShareAll
	}
	t := f.register.Current()
	if t == nil || t.RegionOf(f.dataCentre) == "" || t.RegionOf(peer.DataCentre) != t.RegionOf(f.dataCentre) {
		return ShareNone
	}
	return ShareAll
}

// Receive applies reports on instances and endpoints that a peer has sent.
func (f *Fleet) Receive(reports []member.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, report := range reports {
		changed = f.members.Receive(f.Now(), report) || changed
	}
	if changed {
		f.refreshUsable()
	}
}

// Reports returns the reports to send to peers, including one on this instance if it
// is leaving.
func (f *Fleet) Reports() []member.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renewEndpointReports()
	reports := f.members.Reports(f.Now())
	if f.leaving {
		reports = append(reports, member.Report{Subject: f.self, Reporter: f.self, Leaving: true})
	}
	return reports
}
