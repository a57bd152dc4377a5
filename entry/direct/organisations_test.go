package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/fairshare"
	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
)

func tableOf(names ...string) *routing.Table {
	config := &routing.Config{Version: 1}
	for _, name := range names {
		config.Organisations = append(config.Organisations, routing.Organisation{Name: name})
	}
	return routing.NewTable(config)
}

// A follower adds up the replies of all voters. An organisation in several of them, or in
// none, would be taken for another size.
func TestVotersReportEachOrganisationOnceToAFollower(t *testing.T) {
	s := Settings{DataCentre: "d", Region: "r", DataCentres: map[string]string{"d": "r"}}
	table := tableOf("a", "b", "c", "e")
	voters := []*organisations{newOrganisations(s), newOrganisations(s)}
	rights := voters[0].rights
	held := []map[string]bool{toSet(rights[:2]), toSet(rights[2:])}
	follower := newOrganisations(s)
	for n, voter := range voters {
		peer := voters[1-n]
		for _, name := range []string{"a", "b", "c", "e"} {
			peer.begin(table, &Request{Organisation: &routing.Organisation{Name: name}}, time.Second)
		}
		news := &clusterpb.News{}
		peer.appendOwn(now(), news)
		voter.apply(now(), "peer", news)
		voter.apply(now(), "follower", &clusterpb.News{Organisations: []*clusterpb.OrganisationUse{{Organisation: "a", InProgressMs: 9000}}})
	}
	for n, voter := range voters {
		reply := &clusterpb.News{}
		voter.appendExcept(now(), reply, "follower", held[n])
		follower.apply(now(), []string{"v1", "v2"}[n], reply)
	}
	follower.mu.Lock()
	defer follower.mu.Unlock()
	uses := follower.usesExcept(now(), "")
	require.Len(t, uses, 4)
	for name, use := range uses {
		require.Equal(t, 2*time.Second, use.InProgress, name)
	}
}

// Use that a peer reported must not count for ever once the peer is silent, or an
// organisation would stay above its share.
func TestNewsOfASilentPeerDecaysAndExpires(t *testing.T) {
	o := newOrganisations(Settings{})
	o.apply(0, "peer", &clusterpb.News{Organisations: []*clusterpb.OrganisationUse{{Organisation: "a", RecentMs: 1000}}})
	o.mu.Lock()
	defer o.mu.Unlock()
	require.Equal(t, 500*time.Millisecond, o.usesExcept(fairshare.UseHalfLife, "")["a"].Recent)
	require.Empty(t, o.usesExcept(minPeerStateTTL+1, ""))
}

// Where requests need no key nothing may depend on organisations.
func TestWithoutOrganisationsNothingIsCounted(t *testing.T) {
	o := newOrganisations(Settings{})
	o.begin(tableOf(), &Request{}, time.Second)()
	news := &clusterpb.News{}
	o.appendOwn(now(), news)
	require.Empty(t, news.Organisations)
	c := newTestCall(time.Second)
	c.service.Engine = &routing.Engine{BatchSize: 8}
	require.False(t, c.shareRequest(emptyChoice).HasOrganisation)
	require.Equal(t, 1, c.enginePriority())
}

// An organisation far above its share is refused while a worker is busy, and the others are
// not. A caller is told to return when its use has decayed.
func TestOnlyTheOrganisationAboveItsShareIsRefused(t *testing.T) {
	c := newTestCall(2 * time.Second)
	c.fleet.config.install(tableOf("flood", "a", "b", "c").Config, nil)
	table := c.fleet.config.table()
	for name, work := range map[string]time.Duration{"flood": 30 * time.Second, "a": time.Second, "b": time.Second, "c": time.Second} {
		c.fleet.organisations.begin(table, &Request{Organisation: &routing.Organisation{Name: name}}, work)
	}
	c.request.Organisation = &routing.Organisation{Name: "a"}
	require.Nil(t, c.admission.refuse(c, busyChoice))
	c.request.Organisation = &routing.Organisation{Name: "flood"}
	refusal := c.admission.refuse(c, busyChoice)
	require.NotNil(t, refusal)
	require.Equal(t, refusalReasons[fairshare.AboveShare], refusal.reason)
	require.False(t, refusal.scarce)
	require.Greater(t, refusal.retryAfter, 100*time.Millisecond)
}
