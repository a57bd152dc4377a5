package fleet

import (
	"slices"
	"strings"

	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// assignOwners computes the owner of every endpoint, from the usable instances of its
// data centre, or from all usable instances where that data centre has none. Its
// callers hold f.mu.
func (f *Fleet) assignOwners() {
	f.owners = make(map[string]member.Instance)
	usable := namesOf(f.usable)
	f.eachEndpoint(func(endpoint table.Endpoint) { f.assignOwner(endpoint, usable) })
}

// eachEndpoint calls visit with every endpoint of the table in force.
func (f *Fleet) eachEndpoint(visit func(table.Endpoint)) {
	t := f.register.Current()
	if t == nil {
		return
	}
	for _, pool := range t.Pools {
		for _, endpoint := range pool.Endpoints {
			visit(endpoint)
		}
	}
}

// assignOwner computes the owner of one endpoint.
func (f *Fleet) assignOwner(endpoint table.Endpoint, usable usableNames) {
	first := ownership.First(string(ownership.WorkerRight(endpoint.Name)), usable.near(endpoint.DataCentre))
	if first == "" {
		delete(f.owners, endpoint.Name)
		return
	}
	f.owners[endpoint.Name], _ = f.members.Instance(first)
}

// usableNames holds the names of the usable instances.
type usableNames struct {
	all          []string
	byDataCentre map[string][]string
}

func namesOf(instances []member.Instance) usableNames {
	names := usableNames{byDataCentre: make(map[string][]string)}
	for _, instance := range instances {
		names.all = append(names.all, instance.Name)
		names.byDataCentre[instance.DataCentre] = append(names.byDataCentre[instance.DataCentre], instance.Name)
	}
	return names
}

// near returns the instances from which the owner of an endpoint in dataCentre is taken.
func (n usableNames) near(dataCentre string) []string {
	if local := n.byDataCentre[dataCentre]; len(local) > 0 {
		return local
	}
	return n.all
}

// updateOwners changes the owners after the usable instances have changed from former.
// It looks only at the instances that differ: after a pause of a whole data centre each
// heartbeat adds one.
func (f *Fleet) updateOwners(former []member.Instance) {
	added := without(f.usable, former)
	removed := make(map[member.Instance]bool)
	for _, instance := range without(former, f.usable) {
		removed[instance] = true
	}
	usable := namesOf(f.usable)
	f.eachEndpoint(func(endpoint table.Endpoint) {
		owner, owned := f.owners[endpoint.Name]
		if !owned || removed[owner] {
			f.assignOwner(endpoint, usable)
			return
		}
		for _, instance := range added {
			if takesOver(endpoint, instance, owner) {
				owner = instance
				f.owners[endpoint.Name] = owner
			}
		}
	})
}

// takesOver reports whether an instance that becomes usable owns an endpoint in place of
// its owner.
func takesOver(endpoint table.Endpoint, instance, owner member.Instance) bool {
	isLocal, isOwnerLocal := instance.DataCentre == endpoint.DataCentre, owner.DataCentre == endpoint.DataCentre
	if isLocal != isOwnerLocal {
		return isLocal
	}
	return ownership.First(string(ownership.WorkerRight(endpoint.Name)), []string{owner.Name, instance.Name}) == instance.Name
}

// without returns the instances that are not among others, which are sorted by name.
func without(instances, others []member.Instance) []member.Instance {
	var rest []member.Instance
	for _, instance := range instances {
		i, found := slices.BinarySearchFunc(others, instance.Name, func(other member.Instance, name string) int {
			return strings.Compare(other.Name, name)
		})
		if !found || others[i] != instance {
			rest = append(rest, instance)
		}
	}
	return rest
}
