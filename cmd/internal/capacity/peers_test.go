package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// controlBytes is what a node may send and receive for control, a second.
const controlBytes = 8 << 10

// TestHeartbeatsKeepWithinTheBound measures today's fleet, the smallest that is
// no full mesh and the largest data centre, with a load in every heartbeat.
func TestHeartbeatsKeepWithinTheBound(t *testing.T) {
	for _, instances := range []int{7, 9, 81} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			cost, err := measurePeers(peerSpec{instances: instances, workers: 8, slots: 8}, 1)
			require.NoError(t, err)
			perSecond := cost.bytes * float64(time.Second/heartbeatEvery)
			t.Logf("%.0f bytes a second and node", perSecond)
			require.Less(t, perSecond, float64(controlBytes))
		})
	}
}
