package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
)

// TestLeavingEndpointIsKnownThroughPeers passes the report of an instance that has
// read the platform's list through a second instance to a third whose list is stale.
func TestLeavingEndpointIsKnownThroughPeers(t *testing.T) {
	reader, relay, lagging := fleet.New("a", "dc"), fleet.New("b", "dc"), fleet.New("c", "dc")
	reader.PublishEndpoints([]fleet.EndpointState{{Name: "engine", State: member.Leaving}, {Name: "other", State: member.Live}})
	lagging.PublishEndpoints([]fleet.EndpointState{{Name: "engine", State: member.Live}, {Name: "other", State: member.Live}})
	require.False(t, lagging.EndpointLeaving("engine"))
	relay.Receive(reader.Reports())
	lagging.Receive(relay.Reports())
	require.True(t, lagging.EndpointLeaving("engine"))
	require.False(t, lagging.EndpointLeaving("other"))
}
