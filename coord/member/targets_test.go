package member

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// publishedIn returns count live instances in a data centre.
func publishedIn(dataCentre string, count int) []Instance {
	instances := make([]Instance, count)
	for i := range instances {
		instances[i] = Instance{Name: fmt.Sprintf("%s-entry-%d", dataCentre, i), DataCentre: dataCentre, State: Live}
	}
	return instances
}

// without returns the instances except the i-th.
func without(instances []Instance, i int) []Instance {
	return append(append([]Instance(nil), instances[:i]...), instances[i+1:]...)
}

// largestDataCentre is the number of instances in the largest data centre.
const largestDataCentre = 81

func TestSmallFleetSendsToAll(t *testing.T) {
	all := append(publishedIn("a", 4), publishedIn("b", 3)...)
	for i, self := range all {
		topology := NewTopology(DefaultTargetConfig(), self, without(all, i))
		require.True(t, topology.IsFullMesh())
		require.ElementsMatch(t, without(all, i), topology.Targets(1))
	}
}

func TestEachSendsAndHearsFanout(t *testing.T) {
	config := DefaultTargetConfig()
	for _, size := range []int{9, 20, 40, largestDataCentre} {
		all := publishedIn("a", size)
		senderCount := make(map[string]int)
		for i, self := range all {
			topology := NewTopology(config, self, without(all, i))
			targets := topology.Targets(1)
			require.LessOrEqual(t, len(targets), config.Fanout)
			for _, target := range targets {
				require.NotEqual(t, self.Name, target.Name)
				require.True(t, topology.Neighbours()[target.Name])
				senderCount[target.Name]++
			}
		}
		for name, count := range senderCount {
			require.LessOrEqual(t, count, config.Fanout, "%s of %d", name, size)
		}
	}
}

// maxSpreadHeartbeats bounds the heartbeats until a state update has reached all
// instances. A heartbeat is sent every 0.5 s, and a configuration must be in force
// everywhere within 8 s.
const maxSpreadHeartbeats = 16

// heartbeatsToReachAll gives the first instance a state update and returns the
// number of heartbeats until all live instances have it. Dead instances neither
// send nor respond.
func heartbeatsToReachAll(all []Instance, dead map[string]bool) int {
	topologies := make([]*Topology, len(all))
	for i, self := range all {
		topologies[i] = NewTopology(DefaultTargetConfig(), self, without(all, i))
	}
	informed := map[string]bool{all[0].Name: true}
	for heartbeat := 1; heartbeat <= 10*maxSpreadHeartbeats; heartbeat++ {
		newlyInformed := make(map[string]bool)
		for i, self := range all {
			for _, target := range topologies[i].Targets(uint64(heartbeat)) {
				if dead[self.Name] || dead[target.Name] || !informed[self.Name] && !informed[target.Name] {
					continue
				}
				newlyInformed[self.Name], newlyInformed[target.Name] = true, true
			}
		}
		for name := range newlyInformed {
			informed[name] = true
		}
		if len(informed) == len(all)-len(dead) {
			return heartbeat
		}
	}
	return 10 * maxSpreadHeartbeats
}

func TestUpdatesReachLargestDataCentre(t *testing.T) {
	all := publishedIn("a", largestDataCentre)
	require.LessOrEqual(t, heartbeatsToReachAll(all, nil), maxSpreadHeartbeats)
	dead := make(map[string]bool)
	for _, instance := range all[60:] { // a quarter of them
		dead[instance.Name] = true
	}
	require.LessOrEqual(t, heartbeatsToReachAll(all, dead), maxSpreadHeartbeats)
}

func TestUpdatesCrossDataCentresPastADeadRelay(t *testing.T) {
	const dataCentres, nodes = 12, 970
	var all []Instance
	for i := range dataCentres {
		size := (nodes - largestDataCentre) / (dataCentres - 1)
		if i == 0 {
			size = largestDataCentre
		}
		all = append(all, publishedIn(fmt.Sprintf("dc%d", i), size)...)
	}
	dead := make(map[string]bool)
	for i := range dataCentres {
		var local []Instance
		for _, instance := range all {
			if instance.DataCentre == fmt.Sprintf("dc%d", i) {
				local = append(local, instance)
			}
		}
		if first := relaysOf(local, 1)[0]; first.Name != all[0].Name {
			dead[first.Name] = true
		}
	}
	heartbeats := heartbeatsToReachAll(all, dead)
	t.Logf("%d heartbeats over %d instances with %d dead relays", heartbeats, len(all), len(dead))
	require.LessOrEqual(t, heartbeats, maxSpreadHeartbeats)
}
