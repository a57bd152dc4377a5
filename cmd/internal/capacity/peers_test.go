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

// TestADataCentreRecoversFromACommonPause covers 81 instances that hear nothing of each
// other for 3.5 s, longer than the time after which each takes the others as silent. If
// the heartbeats after it cost more time than that, they never count as live again. An
// instance may spend 3.9% of a core on control.
func TestADataCentreRecoversFromACommonPause(t *testing.T) {
	const (
		instances    = 81
		pause        = 3500 * time.Millisecond
		maxRoundTime = 39 * heartbeatInterval / 1000 * instances // processor time of all instances, whose process they share
	)
	f, err := startPeers(peerSpec{instances: instances, workers: 8, slots: 8, simulatedTime: true})
	require.NoError(t, err)
	defer f.stop()
	for range warmupRounds {
		f.exchangeHeartbeats()
	}
	f.passed.Add(int64(pause))
	for range heartbeatRounds {
		before := cpuTime()
		f.exchangeHeartbeats()
		took := cpuTime() - before
		t.Logf("%s of processor time", took)
		require.Less(t, took, maxRoundTime)
	}
	for _, p := range f.peers {
		require.Len(t, p.fleet.Usable(), instances, "%s takes others as silent", p.fleet.Self())
	}
}

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
