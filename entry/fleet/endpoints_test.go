package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
)

// TestLeavingEndpointIsKnownThroughPeers passes the news of one reader of the
// platform over a second instance to a third whose lists lag.
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
