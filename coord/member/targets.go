package member

import (
	"math"
	"slices"
	"sort"

	"github.com/bulrushwick/bulrushwick/coord/ownership"
)

// TargetConfig bounds the number of heartbeats that an instance sends.
type TargetConfig struct {
	// FullMesh is the largest number of instances that all send to each other.
	// It applies both to the whole fleet and to one data centre. With a larger
	// value more instances detect failures from their own heartbeats; a smaller
	// one costs less traffic. Default: 8.
	FullMesh int
	// Fanout is the number of local peers that an instance sends each heartbeat
	// to in a data centre larger than FullMesh. As many peers send to it. A
	// larger value spreads state updates faster and costs proportionally more
	// traffic. Default: 3.
	Fanout int
	// Relays is the number of instances per data centre that send to other data
	// centres. More relays tolerate more failures. Default: 2.
	Relays int
	// RelayEvery is the interval between two exchanges with the same remote data
	// centre, in heartbeats. Default: 4.
	RelayEvery uint64
}

// DefaultTargetConfig returns bounds that keep heartbeats within the budget for
// control traffic.
func DefaultTargetConfig() TargetConfig {
	return TargetConfig{FullMesh: 8, Fanout: 3, Relays: 2, RelayEvery: 4}
}

// Topology determines which instances exchange heartbeats. It depends only on
// the published list, so instances with the same list agree on it. It is immutable.
type Topology struct {
	config       TargetConfig
	self         Instance
	localTargets []Instance   // sent every heartbeat
	localSenders []Instance   // send every heartbeat to self
	remoteRelays [][]Instance // relays of each other data centre
	fullMesh     bool
}

// NewTopology returns the topology for self; others are the other published
// instances.
func NewTopology(config TargetConfig, self Instance, others []Instance) *Topology {
	t := &Topology{config: config, self: self}
	if len(others) < config.FullMesh {
		t.localTargets, t.localSenders, t.fullMesh = others, others, true
		return t
	}
	byDataCentre := map[string][]Instance{self.DataCentre: {self}}
	for _, instance := range others {
		byDataCentre[instance.DataCentre] = append(byDataCentre[instance.DataCentre], instance)
	}
	t.addLocalPeers(byDataCentre[self.DataCentre])
	t.addRemoteRelays(byDataCentre)
	return t
}

// addLocalPeers selects the local peers. It places the instances of the data centre
// on a ring, in an order that all compute alike, and picks those at exponentially
// growing distances. Every instance sends to as many peers as send to it, and a
// state update reaches the whole ring in few exchanges.
func (t *Topology) addLocalPeers(local []Instance) {
	ring := ringOf(local)
	position := slices.IndexFunc(ring, func(i Instance) bool { return i.Name == t.self.Name })
	for _, distance := range ringDistances(len(ring), t.config) {
		t.localTargets = append(t.localTargets, ring[(position+distance)%len(ring)])
		t.localSenders = append(t.localSenders, ring[(position-distance+len(ring))%len(ring)])
	}
}

// ringDistances returns the distances along a ring of that size from an instance to
// the peers that it sends to.
func ringDistances(size int, config TargetConfig) []int {
	if size <= config.FullMesh {
		all := make([]int, 0, size)
		for distance := 1; distance < size; distance++ {
			all = append(all, distance)
		}
		return all
	}
	// Any distance on the ring has at most Fanout digits in this base, so sums of
	// its powers reach every position.
	base := math.Ceil(math.Pow(float64(size), 1/float64(config.Fanout)))
	all := make([]int, 0, config.Fanout)
	distance := 1.0
	for range config.Fanout {
		if int(distance) < size {
			all = append(all, int(distance))
		}
		distance *= base
	}
	return all
}

// addRemoteRelays selects the relays of the other data centres if self is a relay.
func (t *Topology) addRemoteRelays(byDataCentre map[string][]Instance) {
	own := relaysOf(byDataCentre[t.self.DataCentre], t.config.Relays)
	if !slices.ContainsFunc(own, func(i Instance) bool { return i.Name == t.self.Name }) {
		return
	}
	names := make([]string, 0, len(byDataCentre))
	for name := range byDataCentre {
		if name != t.self.DataCentre {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		t.remoteRelays = append(t.remoteRelays, relaysOf(byDataCentre[name], t.config.Relays))
	}
}

// Targets returns the instances to send the heartbeat with that sequence number
// to. A relay rotates through the relays of each other data centre, so that a
// failed one is skipped the next time, and sends to different data centres in
// different heartbeats.
func (t *Topology) Targets(heartbeat uint64) []Instance {
	targets := append([]Instance(nil), t.localTargets...)
	for i, candidates := range t.remoteRelays {
		if (heartbeat+uint64(i))%t.config.RelayEvery != 0 {
			continue
		}
		turn := heartbeat / t.config.RelayEvery
		targets = append(targets, candidates[turn%uint64(len(candidates))])
	}
	return targets
}

// Neighbours returns the names of the instances that exchange every heartbeat
// with self in either direction. Self can detect by itself when one falls silent.
func (t *Topology) Neighbours() map[string]bool {
	names := make(map[string]bool, len(t.localTargets)+len(t.localSenders))
	for _, instance := range t.localTargets {
		names[instance.Name] = true
	}
	for _, instance := range t.localSenders {
		names[instance.Name] = true
	}
	return names
}

// SendsTo reports whether self sends every heartbeat to the named instance.
func (t *Topology) SendsTo(name string) bool {
	return slices.ContainsFunc(t.localTargets, func(i Instance) bool { return i.Name == name })
}

// IsFullMesh reports whether every instance sends to every other one.
func (t *Topology) IsFullMesh() bool { return t.fullMesh }

// relaysOf returns the first count instances in ring order.
func relaysOf(instances []Instance, count int) []Instance {
	ring := ringOf(instances)
	return ring[:min(count, len(ring))]
}

// ringOf returns the instances in the hash order of their names.
func ringOf(instances []Instance) []Instance {
	ring := append([]Instance(nil), instances...)
	sort.Slice(ring, func(i, j int) bool {
		a, b := ownership.Score("ring", ring[i].Name), ownership.Score("ring", ring[j].Name)
		if a != b {
			return a < b
		}
		return ring[i].Name < ring[j].Name
	})
	return ring
}
