package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/placement"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// EndpointState is what the platform says of an endpoint.
type EndpointState struct {
	Name  string       `json:"name"`
	State member.State `json:"state"`
}

// Fleet is one instance's view.
type Fleet struct {
	self       string
	dataCentre string
	started    time.Time

	mu        sync.RWMutex
	register  table.Register
	members   *member.List
	usable    []member.Instance
	owners    map[string]member.Instance
	endpoints map[string]member.State
	inFlight  map[string]int
	resident  map[string]map[table.AdapterVersion]struct{}
	leaving   bool
	topology  *member.Topology
	leases    leases

	installed chan struct{} // closed when the next table is installed
	announced func(peer string, stamp table.Stamp)
}

// New returns the view of an instance that knows nothing yet.
func New(self, dataCentre string) *Fleet {
	return &Fleet{
		self:       self,
		dataCentre: dataCentre,
		started:    time.Now(),
		members:    member.NewList(self, member.DefaultConfig()),
		owners:     make(map[string]member.Instance),
		endpoints:  make(map[string]member.State),
		inFlight:   make(map[string]int),
		resident:   make(map[string]map[table.AdapterVersion]struct{}),
		leases:     leases{changed: make(chan struct{}, 1)},
		installed:  make(chan struct{}),
	}
}

// Now returns the monotonic time since the instance started.
func (f *Fleet) Now() time.Duration { return time.Since(f.started) }

// Clocks returns the monotonic time since the instance started and the wall
// clock, read together.
func (f *Fleet) Clocks() (time.Duration, time.Time) {
	now := time.Now()
	return now.Sub(f.started), now.Round(0)
}

// Self returns the instance's own name.
func (f *Fleet) Self() string { return f.self }

// DataCentre returns the instance's own data centre.
func (f *Fleet) DataCentre() string { return f.dataCentre }

// Table returns the table in force, or nil before the first.
func (f *Fleet) Table() *table.Table {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.register.Current()
}

// Offer installs a table when its stamp is above the one in force.
func (f *Fleet) Offer(t *table.Table) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.register.Offer(t) {
		return false
	}
	close(f.installed)
	f.installed = make(chan struct{})
	f.assign()
	f.elect()
	return true
}

// PublishInstances replaces the platform's list of instances.
func (f *Fleet) PublishInstances(instances []member.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.SetPublished(instances)
	f.arrange()
	f.refresh()
}

// PublishEndpoints replaces the platform's list of endpoint states.
func (f *Fleet) PublishEndpoints(states []EndpointState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints = make(map[string]member.State, len(states))
	for _, s := range states {
		f.endpoints[s.Name] = s.State
	}
}

// Heard records a heartbeat of a peer.
func (f *Fleet) Heard(name string, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members.RecordHeartbeat(f.Now(), name, leaving) {
		f.refresh()
	}
}

// Refresh lets silence take effect.
func (f *Fleet) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
}

// Leave marks this instance as leaving; peers learn it from heartbeats.
func (f *Fleet) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
	f.elect()
	f.leases.signal()
}

// Ready tells whether the instance takes new work: it has tables and instances
// and is not leaving.
func (f *Fleet) Ready() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.register.Current() != nil && len(f.usable) > 0 && !f.leaving
}

// Leaving tells whether this instance is leaving.
func (f *Fleet) Leaving() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.leaving
}

// Peers returns the other published instances, silent ones included.
func (f *Fleet) Peers() []member.Instance {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.members.Others()
}

// Instance returns the published instance of that name.
func (f *Fleet) Instance(name string) (member.Instance, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.members.Instance(name)
}

// Owner returns the instance that orders a worker.
func (f *Fleet) Owner(worker string) (member.Instance, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	owner, found := f.owners[worker]
	return owner, found
}

// refresh reassigns owners when the usable instances have changed.
func (f *Fleet) refresh() {
	f.elect()
	usable := f.members.Usable(f.Now())
	if slices.Equal(usable, f.usable) {
		return
	}
	f.usable = usable
	f.assign()
}

// assign computes the owner of every endpoint among the instances of its data
// centre, or among all where it has none.
func (f *Fleet) assign() {
	t := f.register.Current()
	if t == nil {
		return
	}
	byDataCentre := make(map[string][]string)
	var all []string
	for _, instance := range f.usable {
		byDataCentre[instance.DataCentre] = append(byDataCentre[instance.DataCentre], instance.Name)
		all = append(all, instance.Name)
	}
	f.owners = make(map[string]member.Instance)
	for _, pool := range t.Pools {
		for _, endpoint := range pool.Endpoints {
			candidates := byDataCentre[endpoint.DataCentre]
			if len(candidates) == 0 {
				candidates = all
			}
			if order := ownership.Rank(string(ownership.WorkerRight(endpoint.Name)), candidates); len(order) > 0 {
				f.owners[endpoint.Name], _ = f.members.Instance(order[0])
			}
		}
	}
}

// Candidates returns the workers of a pool with what is known of them.
func (f *Fleet) Candidates(pool *table.Pool, adapter table.AdapterVersion) []placement.Candidate {
	f.mu.RLock()
	defer f.mu.RUnlock()
	candidates := make([]placement.Candidate, len(pool.Endpoints))
	for i, endpoint := range pool.Endpoints {
		_, resident := f.resident[endpoint.Name][adapter]
		candidates[i] = placement.Candidate{
			Endpoint: endpoint,
			Resident: resident,
			Load:     f.inFlight[endpoint.Name],
			Leaving:  f.endpointLeaving(endpoint.Name),
		}
	}
	return candidates
}

// Begin counts a request sent towards a worker; the returned function ends it.
func (f *Fleet) Begin(worker string) (end func()) {
	f.mu.Lock()
	f.inFlight[worker]++
	f.mu.Unlock()
	return sync.OnceFunc(func() {
		f.mu.Lock()
		f.inFlight[worker]--
		f.mu.Unlock()
	})
}

// ReportResident replaces what is believed resident on a worker.
func (f *Fleet) ReportResident(worker string, adapters []table.AdapterVersion) {
	resident := make(map[table.AdapterVersion]struct{}, len(adapters))
	for _, adapter := range adapters {
		resident[adapter] = struct{}{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resident[worker] = resident
}
