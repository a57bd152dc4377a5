package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxControlBytesPerSecond is the limit on the control traffic of an instance, sent
// and received.
const maxControlBytesPerSecond = 8 << 10

// TestHeartbeatsKeepWithinTheBound measures the control traffic of heartbeats that
// each report an adapter load: in today's fleet, the smallest that is no full mesh
// and the largest data centre.
func TestHeartbeatsKeepWithinTheBound(t *testing.T) {
	for _, instances := range []int{7, 9, 81} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			cost, err := measurePeers(peerSpec{instances: instances, workers: 8, slots: 8}, 1)
			require.NoError(t, err)
			perSecond := cost.bytes * float64(time.Second/heartbeatInterval)
			t.Logf("%.0f bytes per second and instance", perSecond)
			require.Less(t, perSecond, float64(maxControlBytesPerSecond))
		})
	}
}
