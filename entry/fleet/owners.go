package fleet

import (
	"slices"

	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// assignOwners computes the owner of every endpoint, from the usable instances of its
// data centre, or from all usable instances where that data centre has none. Its
// callers hold f.mu.
func (f *Fleet) assignOwners() {
	f.owners = make(map[string]member.Instance)
	f.eachEndpoint(f.assignOwner)
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
func (f *Fleet) assignOwner(endpoint table.Endpoint) {
	var local, all []string
	for _, instance := range f.usable {
		all = append(all, instance.Name)
		if instance.DataCentre == endpoint.DataCentre {
			local = append(local, instance.Name)
		}
	}
	if len(local) > 0 {
		all = local
	}
	delete(f.owners, endpoint.Name)
	if first := ownership.First(string(ownership.WorkerRight(endpoint.Name)), all); first != "" {
		f.owners[endpoint.Name], _ = f.members.Instance(first)
	}
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
	f.eachEndpoint(func(endpoint table.Endpoint) {
		owner, owned := f.owners[endpoint.Name]
		if !owned || removed[owner] {
			f.assignOwner(endpoint)
			return
		}
		for _, instance := range added {
			if takesOver(endpoint, instance, owner) {
				owner = instance
			}
		}
		f.owners[endpoint.Name] = owner
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

// without returns the instances that are not among others.
func without(instances, others []member.Instance) []member.Instance {
	var rest []member.Instance
	for _, instance := range instances {
		if !slices.Contains(others, instance) {
			rest = append(rest, instance)
		}
	}
	return rest
}
