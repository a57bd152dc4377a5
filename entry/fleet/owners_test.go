package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// TestOwnersFollowEveryChangeOfUsableInstances compares the owners after random changes
// with those that are computed anew, also where a data centre has no usable instance and
// where an instance returns with another address.
func TestOwnersFollowEveryChangeOfUsableInstances(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	f := New("entry-0", "dc-0")
	t1 := &table.Table{Revision: 1, Pools: map[string]*table.Pool{"p": {}}}
	for i := range 40 {
		t1.Pools["p"].Endpoints = append(t1.Pools["p"].Endpoints, table.Endpoint{Name: fmt.Sprintf("w%d", i), DataCentre: fmt.Sprintf("dc-%d", i%3)})
	}
	require.True(t, f.Offer(t1))
	for range 500 {
		former := f.usable
		f.usable = nil
		var published []member.Instance
		for i := range 9 {
			instance := member.Instance{Name: fmt.Sprintf("entry-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%3), PeerAddress: fmt.Sprint(random.IntN(8) / 7)}
			published = append(published, instance)
			if random.IntN(3) > 0 {
				f.usable = append(f.usable, instance)
			}
		}
		f.members.SetPublished(published)
		f.updateOwners(former)
		updated := f.owners
		f.assignOwners()
		require.Equal(t, f.owners, updated)
	}
}
