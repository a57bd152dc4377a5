package fleet

import "github.com/bulrushwick/bulrushwick/coord/member"

// arrange computes whom this instance exchanges heartbeats with.
func (f *Fleet) arrange() {
	self, published := f.members.Instance(f.self)
	if !published {
		self = member.Instance{Name: f.self, DataCentre: f.dataCentre}
	}
	f.topology = member.NewTopology(member.DefaultTargetConfig(), self, f.members.Others())
	f.members.SetObserved(f.Now(), f.topology.Neighbours())
}

// Targets returns whom to send that heartbeat to: the peers that the topology
// names and the neighbours that have been quiet.
func (f *Fleet) Targets(beat uint64) []member.Instance {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.topology == nil {
		return nil
	}
	targets := f.topology.Targets(beat)
	named := make(map[string]bool, len(targets))
	for _, target := range targets {
		named[target.Name] = true
	}
	for _, probe := range f.members.Probes(f.Now()) {
		if !named[probe.Name] {
			targets = append(targets, probe)
		}
	}
	return targets
}

// SendsTo tells whether this instance sends every heartbeat to that one.
func (f *Fleet) SendsTo(name string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.topology != nil && f.topology.SendsTo(name)
}

// Sharing says which records of workers are exchanged with a peer.
type Sharing int

// The ways of sharing records.
const (
	// ShareNone is for peers of other regions.
	ShareNone Sharing = iota
	// ShareOwn is for a fleet so small that every instance sends to every other.
	ShareOwn
	// ShareAll is for peers of the region, which pass records on.
	ShareAll
)

// Sharing returns which records are exchanged with that instance.
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

// Receive takes news of other instances.
func (f *Fleet) Receive(reports []member.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, report := range reports {
		changed = f.members.Receive(f.Now(), report) || changed
	}
	if changed {
		f.refresh()
	}
}

// Reports returns the news to pass on, this instance's own leaving included.
func (f *Fleet) Reports() []member.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reportEndpoints()
	reports := f.members.Reports(f.Now())
	if f.leaving {
		reports = append(reports, member.Report{Subject: f.self, Reporter: f.self, Leaving: true})
	}
	return reports
}
