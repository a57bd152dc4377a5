package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/placement"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// EndpointState is the published state of an endpoint.
type EndpointState struct {
	Name  string       `json:"name"`
	State member.State `json:"state"`
}

// Fleet is one instance's view of the fleet. It is safe for concurrent use.
type Fleet struct {
	self       string
	dataCentre string
	clock      func() time.Time
	started    time.Time

	mu        sync.RWMutex
	register  table.Register
	members   *member.List
	usable    []member.Instance
	owners    map[string]member.Instance                   // by endpoint
	endpoints map[string]member.State                      // by endpoint
	inFlight  map[string]int                               // requests by worker
	resident  map[string]map[table.AdapterVersion]struct{} // by worker
	leaving   bool
	topology  *member.Topology
	leases    leases

	nextInstall chan struct{} // closed when the next table is installed
	onPeerHolds func(peer string, stamp table.Stamp)
}

// New returns the view of the instance self, without tables, instances or
// endpoints.
func New(self, dataCentre string) *Fleet { return NewWithClock(self, dataCentre, time.Now) }

// NewWithClock is New with a clock other than that of the machine. The clock must not
// go back, and must be safe for concurrent use.
func NewWithClock(self, dataCentre string, clock func() time.Time) *Fleet {
	return &Fleet{
		self:        self,
		dataCentre:  dataCentre,
		clock:       clock,
		started:     clock(),
		members:     member.NewList(self, member.DefaultConfig()),
		owners:      make(map[string]member.Instance),
		endpoints:   make(map[string]member.State),
		inFlight:    make(map[string]int),
		resident:    make(map[string]map[table.AdapterVersion]struct{}),
		leases:      leases{changed: make(chan struct{}, 1)},
		nextInstall: make(chan struct{}),
	}
}

// Now returns the monotonic time since the instance started.
func (f *Fleet) Now() time.Duration { return f.clock().Sub(f.started) }

// Clocks returns the monotonic time since the instance started and the wall-clock
// time, both from one reading of the clock.
func (f *Fleet) Clocks() (time.Duration, time.Time) {
	now := f.clock()
	return now.Sub(f.started), now.Round(0)
}

// Self returns the instance's own name.
func (f *Fleet) Self() string { return f.self }

// DataCentre returns the instance's own data centre.
func (f *Fleet) DataCentre() string { return f.dataCentre }

// Table returns the table in force, or nil before the first one is installed.
func (f *Fleet) Table() *table.Table {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.register.Current()
}

// Offer installs t if its stamp is above that of the table in force, and reports
// whether it did.
func (f *Fleet) Offer(t *table.Table) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.register.Offer(t) {
		return false
	}
	close(f.nextInstall)
	f.nextInstall = make(chan struct{})
	f.assignOwners()
	f.updateVoters()
	return true
}

// PublishInstances replaces the platform's list of instances.
func (f *Fleet) PublishInstances(instances []member.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.SetPublished(instances)
	f.updateTopology()
	f.refreshUsable()
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

// RecordHeartbeat records a heartbeat of the named peer, which says whether that peer
// is leaving.
func (f *Fleet) RecordHeartbeat(name string, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members.RecordHeartbeat(f.Now(), name, leaving) {
		f.refreshUsable()
	}
}

// Refresh recomputes the usable instances and the owners, so that instances whose
// heartbeats have stopped are dropped. It must be called regularly.
func (f *Fleet) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshUsable()
}

// Leave marks this instance as leaving. Peers learn it from its heartbeats.
func (f *Fleet) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
	f.updateVoters()
	f.leases.signal()
}

// Ready reports whether the instance takes new work: it has a table and usable
// instances and is not leaving.
func (f *Fleet) Ready() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.register.Current() != nil && len(f.usable) > 0 && !f.leaving
}

// Leaving reports whether this instance is leaving.
func (f *Fleet) Leaving() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.leaving
}

// Peers returns the other published instances, including silent ones.
func (f *Fleet) Peers() []member.Instance {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.members.Others()
}

// Instance returns the published instance with that name.
func (f *Fleet) Instance(name string) (member.Instance, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.members.Instance(name)
}

// Owner returns the instance that is expected to hold the right to a worker, or
// false where there is none.
func (f *Fleet) Owner(worker string) (member.Instance, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	owner, found := f.owners[worker]
	return owner, found
}

// refreshUsable recomputes the voters, and the owners when the usable instances have
// changed. Its callers hold f.mu.
func (f *Fleet) refreshUsable() {
	f.updateVoters()
	usable := f.members.Usable(f.Now())
	if slices.Equal(usable, f.usable) {
		return
	}
	former := f.usable
	f.usable = usable
	f.updateOwners(former)
}

// Candidates returns the workers of a pool with their known state: whether the
// adapter is resident, the requests in flight from here, and whether they are leaving.
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

// Begin counts a request in flight to a worker. The returned function, which may
// be called more than once, ends it.
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

// SetResident replaces the set of adapters known to be resident on a worker.
func (f *Fleet) SetResident(worker string, adapters []table.AdapterVersion) {
	resident := make(map[table.AdapterVersion]struct{}, len(adapters))
	for _, adapter := range adapters {
		resident[adapter] = struct{}{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resident[worker] = resident
}
