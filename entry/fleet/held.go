package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// voterCount is the number of instances that vote on a right, where there are as many.
const voterCount = 3

// Rights knows the rights that this instance holds.
type Rights interface {
	// Held returns this instance's grant of a right, or false where it holds none.
	Held(r ownership.Right) (ownership.Grant, bool)
}

// leases is the state from which the holder of the leases takes the voters.
type leases struct {
	rights  Rights
	changed chan struct{}
	// version is incremented with each change of the voters; 0 before the first.
	version uint64
	// members and tableRevision are the instances and the table revision that specs was
	// computed from.
	members       []member.Instance
	tableRevision uint64
	// listReadAt is the time at which the platform was queried for the latest list that
	// contains this instance, or 0.
	listReadAt time.Duration
	specs      map[ownership.Right]ownership.Spec
	// dependsOnList reports that there are fewer members than voterCount, so that a
	// right may be held without another instance's vote.
	dependsOnList bool
}

// SetRights sets the source of the rights that this instance holds.
func (f *Fleet) SetRights(rights Rights) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leases.rights = rights
}

// Held returns this instance's grant of a right, or false where it holds none.
// Call it immediately before each use of the right: the result is not valid after
// Grant.Until.
func (f *Fleet) Held(r ownership.Right) (ownership.Grant, bool) {
	f.mu.RLock()
	rights := f.leases.rights
	f.mu.RUnlock()
	if rights == nil {
		return ownership.Grant{}, false
	}
	return rights.Held(r)
}

// RightSpecsChanged returns a channel that receives a value when the result of
// RightSpecs may have changed. It has a buffer of one, for a single receiver.
func (f *Fleet) RightSpecsChanged() <-chan struct{} { return f.leases.changed }

// RightSpecs returns the voters of every right that concerns this instance, the version
// of that set, which is 0 before the first, and the monotonic time (see Now) at which
// the latest list that contains this instance was queried. The map must not be
// modified.
func (f *Fleet) RightSpecs() (specs map[ownership.Right]ownership.Spec, version uint64, listReadAt time.Duration) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.leases.specs, f.leases.version, f.leases.listReadAt
}

// RecordListRead records that a query sent to the platform at the monotonic time
// queriedAt returned the published list, which has been applied. It has no effect if
// the list lacks this instance or this instance is leaving.
func (f *Fleet) RecordListRead(queriedAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, isPublished := f.members.Instance(f.self); !isPublished || f.leaving {
		return
	}
	f.leases.listReadAt = queriedAt
	f.leases.signal()
}

// DependsOnList reports whether this instance may hold rights without another instance's
// vote, because there are too few members. The rights then depend on the published
// list alone, and the list must be read often.
func (f *Fleet) DependsOnList() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.leases.dependsOnList && !f.leaving
}

// signal sends on changed, unless a signal is pending.
func (l *leases) signal() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// updateVoters recomputes the voters when the members or the table have changed. A
// silent member remains a voter: only the published list and a member's own report
// that it is leaving change the voters. Its callers hold f.mu.
func (f *Fleet) updateVoters() {
	t := f.register.Current()
	if t == nil {
		return
	}
	members := f.members.NotLeaving(f.Now())
	if f.leaving {
		members = exclude(members, f.self)
	}
	if len(members) == 0 || (t.Revision == f.leases.tableRevision && sameInstances(members, f.leases.members)) {
		return
	}
	f.leases.members, f.leases.tableRevision = members, t.Revision
	f.leases.specs = f.voterSpecs(t, members)
	f.leases.dependsOnList = len(members) < voterCount
	f.leases.version++
	f.leases.signal()
}

// voterSpecs returns the voters of the rights of this data centre, and of the rights of
// other data centres that this instance votes on. A data centre with fewer members
// than voterCount takes further voters from the other data centres.
func (f *Fleet) voterSpecs(t *table.Table, members []member.Instance) map[ownership.Right]ownership.Spec {
	byDataCentre := make(map[string][]string)
	for _, m := range members {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m.Name)
	}
	specs := make(map[ownership.Right]ownership.Spec)
	add := func(r ownership.Right, dataCentre string, arbitrated bool) {
		isLocal := dataCentre == f.dataCentre
		if !isLocal && len(byDataCentre[dataCentre]) >= voterCount {
			return
		}
		names := ownership.Rank(string(r), byDataCentre[dataCentre])
		if len(names) < voterCount {
			names = append(names, ownership.Rank(string(r), namesOutside(members, dataCentre))...)
		}
		names = names[:min(voterCount, len(names))]
		if isLocal || slices.Contains(names, f.self) {
			specs[r] = ownership.Spec{Voters: names, EndpointFencing: arbitrated}
		}
	}
	for _, pool := range t.Pools {
		for _, endpoint := range pool.Endpoints {
			if pool.Kind == table.Engine {
				add(ownership.WorkerRight(endpoint.Name), endpoint.DataCentre, pool.Fencing)
			}
		}
	}
	for _, dataCentre := range t.DataCentres() {
		for shard := range attempt.Shards {
			add(ownership.KeyRight(dataCentre, shard), dataCentre, false)
		}
	}
	return specs
}

// namesOutside returns the names of the members outside a data centre.
func namesOutside(members []member.Instance, dataCentre string) []string {
	var names []string
	for _, m := range members {
		if m.DataCentre != dataCentre {
			names = append(names, m.Name)
		}
	}
	return names
}

func sameInstances(a, b []member.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Name != b[i].Name || a[i].DataCentre != b[i].DataCentre {
			return false
		}
	}
	return true
}

func exclude(members []member.Instance, name string) []member.Instance {
	var rest []member.Instance
	for _, m := range members {
		if m.Name != name {
			rest = append(rest, m)
		}
	}
	return rest
}

// WorkerOf returns the name of the worker that r, a right to a worker, is for.
func WorkerOf(r ownership.Right) string {
	return strings.TrimPrefix(string(r), string(ownership.WorkerRight("")))
}
