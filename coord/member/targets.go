package member

import (
	"math"
	"slices"
	"sort"

	"github.com/bulrushwick/bulrushwick/coord/ownership"
)

// TargetConfig bounds whom an instance sends heartbeats to.
type TargetConfig struct {
	// FullMesh is the largest number of instances that all send to each other;
	// it applies to the whole fleet and to one data centre. More finds failures
	// by own evidence; fewer costs less traffic. Default: 8.
	FullMesh int
	// Fanout is the number of peers of the own data centre that an instance of
	// a larger one sends each heartbeat to. It hears as many. More spreads
	// news faster and costs traffic in proportion. Default: 3.
	Fanout int
	// Relays is the number of instances of a data centre that send to other
	// data centres. More survive more failures. Default: 2.
	Relays int
	// RelayEvery is the number of heartbeats from one exchange with another
	// data centre to the next. Default: 4.
	RelayEvery uint64
}

// DefaultTargetConfig returns the bounds that keep within the control budget.
func DefaultTargetConfig() TargetConfig {
	return TargetConfig{FullMesh: 8, Fanout: 3, Relays: 2, RelayEvery: 4}
}

// Topology says who exchanges heartbeats with whom. It depends only on the
// published list, so all that hold the same list agree. It is immutable.
type Topology struct {
	config  TargetConfig
	self    Instance
	local   []Instance
	senders []Instance
	remote  [][]Instance
	meshed  bool
}

// NewTopology returns the topology of self among the other published instances.
func NewTopology(config TargetConfig, self Instance, others []Instance) *Topology {
	t := &Topology{config: config, self: self}
	if len(others) < config.FullMesh {
		t.local, t.senders, t.meshed = others, others, true
		return t
	}
	byDataCentre := map[string][]Instance{self.DataCentre: {self}}
	for _, instance := range others {
		byDataCentre[instance.DataCentre] = append(byDataCentre[instance.DataCentre], instance)
	}
	t.neighbours(byDataCentre[self.DataCentre])
	t.remotes(byDataCentre)
	return t
}

// neighbours places the data centre on a ring in an order that all compute
// alike, and sends to the instances at growing distances along it. Each sends
// to as many as it hears from, and news crosses the ring in few exchanges.
func (t *Topology) neighbours(local []Instance) {
	ring := ringOf(local)
	at := slices.IndexFunc(ring, func(i Instance) bool { return i.Name == t.self.Name })
	for _, distance := range distances(len(ring), t.config) {
		t.local = append(t.local, ring[(at+distance)%len(ring)])
		t.senders = append(t.senders, ring[(at-distance+len(ring))%len(ring)])
	}
}

// distances returns how far along a ring of that size the peers stand.
func distances(size int, config TargetConfig) []int {
	if size <= config.FullMesh {
		all := make([]int, 0, size)
		for distance := 1; distance < size; distance++ {
			all = append(all, distance)
		}
		return all
	}
	// Powers of base reach every place of the ring in Fanout digits.
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

// remotes lists the relays of the other data centres, where self is a relay.
func (t *Topology) remotes(byDataCentre map[string][]Instance) {
	own := relays(byDataCentre[t.self.DataCentre], t.config.Relays)
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
		t.remote = append(t.remote, relays(byDataCentre[name], t.config.Relays))
	}
}

// Targets returns whom to send that heartbeat to. A relay takes the relays of
// each other data centre in turn, so that a dead one is passed over next time,
// and spreads the data centres over its heartbeats.
func (t *Topology) Targets(beat uint64) []Instance {
	targets := append([]Instance(nil), t.local...)
	for i, candidates := range t.remote {
		if (beat+uint64(i))%t.config.RelayEvery != 0 {
			continue
		}
		turn := beat / t.config.RelayEvery
		targets = append(targets, candidates[turn%uint64(len(candidates))])
	}
	return targets
}

// Neighbours returns the names of those that exchange every heartbeat with
// self, in either direction: the ones that it can find silent by itself.
func (t *Topology) Neighbours() map[string]bool {
	names := make(map[string]bool, len(t.local)+len(t.senders))
	for _, instance := range t.local {
		names[instance.Name] = true
	}
	for _, instance := range t.senders {
		names[instance.Name] = true
	}
	return names
}

// SendsTo tells whether self sends every heartbeat to that instance.
func (t *Topology) SendsTo(name string) bool {
	return slices.ContainsFunc(t.local, func(i Instance) bool { return i.Name == name })
}

// Meshed tells whether every instance sends to every other.
func (t *Topology) Meshed() bool { return t.meshed }

// relays returns the first count instances in the ring's order.
func relays(instances []Instance, count int) []Instance {
	ring := ringOf(instances)
	return ring[:min(count, len(ring))]
}

// ringOf returns the instances in hash order of their names.
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
