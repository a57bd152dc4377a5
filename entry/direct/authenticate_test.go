package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	guard "github.com/bulrushwick/bulrushwick/coord/revocation"
	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/entry/revocation"
)

// startingInstance returns an instance that has not heard from the store or a peer, with a
// clock of its own.
func startingInstance(at *time.Duration) *Instance {
	i := &Instance{fleet: newFleet(DefaultSettings())}
	i.gateway = &gateway{fleet: i.fleet, versionLag: &i.versionLag}
	i.gateway.revocation = revocation.New(guard.Config{HasPeers: true, LagLimit: time.Hour}, func() time.Duration { return *at }, i)
	return i
}

func (i *Instance) installVersion(version uint64, organisations ...routing.Organisation) {
	i.fleet.config.install(&routing.Config{Version: version, Organisations: organisations}, nil)
	i.versionLag.installed(now(), version)
}

// TestOnlyAStartWaitsForTheNewestConfiguration guards against an instance that has run for
// long without organisations and, when they are added, refuses all requests while a newer
// version can't be fetched.
func TestOnlyAStartWaitsForTheNewestConfiguration(t *testing.T) {
	organisation := routing.Organisation{Name: "a", Keys: []routing.KeyDigest{routing.DigestKey("k")}}
	var at time.Duration
	i := startingInstance(&at)
	i.installVersion(1)
	i.ConfigConfirmed(0)
	i.gateway.revocation.HearPeer(1)
	i.refreshConfirmation()
	at = 10 * time.Hour
	i.versionLag.observe(now(), 3)
	i.installVersion(2, organisation)
	require.NotNil(t, i.gateway.servingTable())

	at = 0
	i = startingInstance(&at)
	at = 10 * time.Second // without a configuration, it has not started
	i.refreshConfirmation()
	i.versionLag.observe(now(), 3)
	i.installVersion(2, organisation)
	i.refreshConfirmation()
	require.Nil(t, i.gateway.servingTable(), "a version may have been missed while the process did not run")
	i.installVersion(3, organisation)
	require.NotNil(t, i.gateway.servingTable())
}

// TestInstancesThatRestartTogetherDoNotWaitForEachOther guards against a start that is delayed
// until its timeout because no peer has a configuration yet. A peer that has one is still
// waited for: it answers the first heartbeats.
func TestInstancesThatRestartTogetherDoNotWaitForEachOther(t *testing.T) {
	organisation := routing.Organisation{Name: "a", Keys: []routing.KeyDigest{routing.DigestKey("k")}}
	var at time.Duration
	i := startingInstance(&at)
	i.HandlePeerVersion("peer", 0)
	at = 100 * time.Millisecond
	i.installVersion(4, organisation)
	i.ConfigConfirmed(0)
	require.Nil(t, i.gateway.servingTable())
	at = 600 * time.Millisecond
	require.NotNil(t, i.gateway.servingTable())
}
