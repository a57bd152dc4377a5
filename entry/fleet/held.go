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

// voterCount is the number of instances that vote on a right.
const voterCount = 3

// Rights tells which rights this instance holds.
type Rights interface {
	Held(r ownership.Right) (ownership.Grant, bool)
}

// leases is what the fleet keeps for the holder of the leases.
type leases struct {
	rights  Rights
	changed chan struct{}
	// version grows with each change of the voters.
	version  uint64
	members  []member.Instance
	revision uint64
	// read is when the platform was asked for the list that named this instance
	// last, or 0.
	read  time.Duration
	specs map[ownership.Right]ownership.Spec
	alone bool
}

// SetRights sets who knows which rights this instance holds.
func (f *Fleet) SetRights(rights Rights) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leases.rights = rights
}

// Held returns this instance's grant of a right, or false where it holds none.
// Ask immediately before each use; the answer is worthless after Grant.Until.
func (f *Fleet) Held(r ownership.Right) (ownership.Grant, bool) {
	f.mu.RLock()
	rights := f.leases.rights
	f.mu.RUnlock()
	if rights == nil {
		return ownership.Grant{}, false
	}
	return rights.Held(r)
}

// Changed is signalled when Rights may have changed.
func (f *Fleet) Changed() <-chan struct{} { return f.leases.changed }

// Rights returns the voters of every right that concerns this instance, a
// version that is 0 before the first list, and when the list was last read.
func (f *Fleet) Rights() (specs map[ownership.Right]ownership.Spec, version uint64, read time.Duration) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.leases.specs, f.leases.version, f.leases.read
}

// ListRead reports that the platform, asked at asked, told the published list.
func (f *Fleet) ListRead(asked time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, named := f.members.Instance(f.self); !named || f.leaving {
		return
	}
	f.leases.read = asked
	f.leases.signal()
}

// Alone tells whether this instance holds rights by the list's word alone.
func (f *Fleet) Alone() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.leases.alone && !f.leaving
}

func (l *leases) signal() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// elect computes the voters when the members or the tables have changed.
// Silence does not change them: only the list and a member's own word do.
func (f *Fleet) elect() {
	t := f.register.Current()
	if t == nil {
		return
	}
	members := f.members.NotLeaving(f.Now())
	if f.leaving {
		members = without(members, f.self)
	}
	if len(members) == 0 || (t.Revision == f.leases.revision && sameNames(members, f.leases.members)) {
		return
	}
	f.leases.members, f.leases.revision = members, t.Revision
	f.leases.specs = f.voters(t, members)
	f.leases.alone = len(members) < voterCount
	f.leases.version++
	f.leases.signal()
}

// voters returns the voters of the rights of this data centre, and of those in
// other data centres that this instance votes on.
func (f *Fleet) voters(t *table.Table, members []member.Instance) map[ownership.Right]ownership.Spec {
	near := make(map[string][]string)
	for _, m := range members {
		near[m.DataCentre] = append(near[m.DataCentre], m.Name)
	}
	specs := make(map[ownership.Right]ownership.Spec)
	add := func(r ownership.Right, dataCentre string, arbitrated bool) {
		own := dataCentre == f.dataCentre
		if !own && len(near[dataCentre]) >= voterCount {
			return
		}
		names := ownership.Rank(string(r), near[dataCentre])
		if len(names) < voterCount {
			names = append(names, ownership.Rank(string(r), far(members, dataCentre))...)
		}
		names = names[:min(voterCount, len(names))]
		if own || slices.Contains(names, f.self) {
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

// far lists the members outside a data centre.
func far(members []member.Instance, dataCentre string) []string {
	var names []string
	for _, m := range members {
		if m.DataCentre != dataCentre {
			names = append(names, m.Name)
		}
	}
	return names
}

func sameNames(a, b []member.Instance) bool {
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

func without(members []member.Instance, name string) []member.Instance {
	var rest []member.Instance
	for _, m := range members {
		if m.Name != name {
			rest = append(rest, m)
		}
	}
	return rest
}

// WorkerOf returns the worker that a right is for.
func WorkerOf(r ownership.Right) string {
	return strings.TrimPrefix(string(r), string(ownership.WorkerRight("")))
}
