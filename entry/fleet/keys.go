package fleet

import (
	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
)

// KeyOwners returns the usable instances that may own the idempotency keys of a
// shard of a data centre, the likeliest first.
func (f *Fleet) KeyOwners(dataCentre string, shard int) []member.Instance {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var candidates []string
	for _, instance := range f.usable {
		if instance.DataCentre == dataCentre {
			candidates = append(candidates, instance.Name)
		}
	}
	order := ownership.Rank(string(ownership.KeyRight(dataCentre, shard)), candidates)
	owners := make([]member.Instance, 0, len(order))
	for _, name := range order {
		if instance, published := f.members.Instance(name); published {
			owners = append(owners, instance)
		}
	}
	return owners
}
