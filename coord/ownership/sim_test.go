package ownership

import (
	"fmt"
	"slices"
	"time"
)

// The simulation runs several machines over a fake network in virtual time.
const (
	simStep     = 50 * time.Millisecond
	simTick     = 500 * time.Millisecond
	simMaxDelay = 8 // steps, the longest delivery of a message
	simRight    = Right("worker/w")
	simMaxDrain = 4   // steps, the longest hand-over
	simFreeze   = 200 // steps, the longest freeze
)

// chooser returns a number from 0 to n-1; label names the choice in rapid's
// output.
type chooser func(label string, n int) int

// breakage disables parts of the machine; the checks must detect each of them.
type breakage struct {
	// LeaseFromReply counts a lease from the arrival of the reply.
	LeaseFromReply bool
	// NoStartWait lets a restarted instance vote at once.
	NoStartWait bool
	// NoFormerVoters drops the former voters when the list changes.
	NoFormerVoters bool
	// NoSoloTTL lets an instance hold a right without another voter although it
	// can't read the list.
	NoSoloTTL bool
	// NoRevalidation doesn't report that the clock stood still.
	NoRevalidation bool
}

// node is one instance of the simulation.
type node struct {
	name        string
	incarnation int
	machine     *Machine
	// started is the simulation time of the boot. The node's clock counts from
	// it and excludes suspendedFor.
	started      time.Duration
	suspendedFor time.Duration
	nextTick,
	frozenUntil time.Duration
	suspended      bool
	wakePending    bool
	down           bool
	listUnreadable bool // can't read the list from the platform
	lastList       []string
	releaseAt      time.Duration
	inbox          []packet
}

// packet is a message or reply in transit.
type packet struct {
	at       time.Duration
	from, to string
	message  *Message
	reply    *Reply
}

type listVersion struct {
	at    time.Duration
	names []string
}

type sim struct {
	choose          chooser
	config          Config
	broken          breakage
	endpointFencing bool
	now             time.Duration
	nodes           []*node
	partitioned     map[[2]string]bool
	lossy           bool
	versions        []listVersion
	packets         []packet
	orders          []order
	engine          engine
	acquired        []string
}

// order records an order that the endpoint received.
type order struct {
	at       time.Duration
	by       string
	fence    uint64
	accepted bool
}

// engine is an endpoint that refuses old fencing tokens.
type engine struct{ highestFence uint64 }

func (e *engine) accept(fence uint64) bool {
	if fence < e.highestFence {
		return false
	}
	e.highestFence = fence
	return true
}

func newSim(choose chooser, broken breakage, count int) *sim {
	s := &sim{choose: choose, config: DefaultConfig(0), broken: broken, partitioned: make(map[[2]string]bool)}
	for i := range count {
		n := &node{name: fmt.Sprintf("entry-%d", i)}
		s.nodes = append(s.nodes, n)
		s.boot(n)
	}
	s.publish(s.names()...)
	return s
}

func (s *sim) names() []string {
	var names []string
	for _, n := range s.nodes {
		names = append(names, n.name)
	}
	return names
}

func (s *sim) node(name string) *node {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// ranked returns the nodes in rendezvous order for the right.
func (s *sim) ranked() []*node {
	var ranked []*node
	for _, name := range Rank(string(simRight), s.names()) {
		ranked = append(ranked, s.node(name))
	}
	return ranked
}

func (s *sim) boot(n *node) {
	n.incarnation++
	config := s.config
	config.Ordinal = uint16(10*n.incarnation + slices.Index(s.nodes, n))
	n.machine = NewMachine(Peer{Name: n.name, Incarnation: fmt.Sprint(n.incarnation)}, config)
	n.started, n.suspendedFor, n.nextTick, n.frozenUntil = s.now, 0, s.now, 0
	n.down, n.suspended, n.wakePending, n.lastList, n.inbox, n.releaseAt = false, false, false, nil, nil, 0
}

func (s *sim) kill(n *node) { n.down = true }

// freeze stops a running node. With suspend, its clock stops as well.
func (s *sim) freeze(n *node, steps int, suspend bool) {
	if !s.isRunning(n) || n.wakePending {
		return
	}
	n.frozenUntil = s.now + time.Duration(steps)*simStep
	n.suspended = suspend
	n.wakePending = true
}

func (s *sim) publish(names ...string) {
	s.versions = append(s.versions, listVersion{at: s.now, names: slices.Clone(names)})
}

// clock returns the node's monotonic time.
func (s *sim) clock(n *node) time.Duration { return s.now - n.started - n.suspendedFor }

func (s *sim) isRunning(n *node) bool { return !n.down && s.now >= n.frozenUntil }

func (s *sim) setPartition(a, b string, partitioned bool) {
	s.partitioned[[2]string{a, b}] = partitioned
}

// isolate partitions a node from all others and from the platform, or
// reconnects it.
func (s *sim) isolate(n *node, partitioned bool) {
	n.listUnreadable = partitioned
	for _, other := range s.nodes {
		s.setPartition(n.name, other.name, partitioned)
		s.setPartition(other.name, n.name, partitioned)
	}
}

func (s *sim) step(n *node, event Event) {
	if replied, is := event.(Replied); is && s.broken.LeaseFromReply {
		if _, known := n.machine.sentAt[replied.Reply.Sequence]; known {
			n.machine.sentAt[replied.Reply.Sequence] = s.clock(n)
		}
	}
	actions := n.machine.Step(s.clock(n), event)
	if c := n.machine.claims[simRight]; c != nil {
		if s.broken.NoStartWait {
			c.mayVoteFrom = 0
		}
		if s.broken.NoFormerVoters && len(c.voters.sets) > 1 {
			c.voters.sets = c.voters.sets[len(c.voters.sets)-1:]
		}
		if s.broken.NoSoloTTL {
			n.machine.listConfirmedAt = s.clock(n)
		}
	}
	for _, action := range actions {
		s.carryOut(n, event, action)
	}
}

func (s *sim) carryOut(n *node, event Event, action Action) {
	switch a := action.(type) {
	case Send:
		message := a.Message
		s.post(packet{from: n.name, to: a.To, message: &message})
	case Respond:
		reply := a.Reply
		s.post(packet{from: n.name, to: event.(Received).Message.From.Name, reply: &reply})
	case HandOver:
		n.releaseAt = s.now + time.Duration(1+s.choose("drain", simMaxDrain))*simStep
	case Acquired:
		s.acquired = append(s.acquired, fmt.Sprintf("%s handed=%t %s", n.name, a.Handed, a.State))
	}
}

func (s *sim) post(p packet) {
	copies := 1
	if s.lossy {
		copies = s.choose("copies", 4) // 0 drops, 2 and 3 duplicate
		if copies == 3 {
			copies = 1
		}
	}
	for range copies {
		p.at = s.now + time.Duration(1+s.choose("delay", simMaxDelay))*simStep
		s.packets = append(s.packets, p)
	}
}

// advance runs one step of every node.
func (s *sim) advance() error {
	s.now += simStep
	s.deliver()
	for _, n := range s.nodes {
		s.runNode(n)
	}
	return s.checkSingleHolder()
}

func (s *sim) deliver() {
	late := s.packets[:0]
	var due []packet
	for _, p := range s.packets {
		if p.at > s.now {
			late = append(late, p)
			continue
		}
		due = append(due, p)
	}
	s.packets = late
	for _, p := range due {
		if n := s.node(p.to); !s.partitioned[[2]string{p.from, p.to}] && !n.down {
			n.inbox = append(n.inbox, p)
		}
	}
}

func (s *sim) runNode(n *node) {
	if !s.isRunning(n) {
		if n.suspended && !n.down {
			n.suspendedFor += simStep
		}
		return
	}
	if n.wakePending {
		n.wakePending = false
		if n.suspended && !s.broken.NoRevalidation {
			s.step(n, Resumed{})
		}
		n.suspended = false
	}
	s.readList(n)
	inbox := n.inbox
	n.inbox = nil
	for _, p := range inbox {
		if p.message != nil {
			s.step(n, Received{Message: *p.message})
		} else {
			s.step(n, Replied{Reply: *p.reply})
		}
	}
	if n.releaseAt > 0 && s.now >= n.releaseAt {
		n.releaseAt = 0
		s.step(n, Released{Right: simRight, State: []byte("pins of " + n.name)})
	}
	if s.now >= n.nextTick {
		n.nextTick = s.now + simTick
		s.step(n, Tick{})
	}
	s.sendOrder(n)
}

// readList lets a node read a random version of the list, at most ListLag old.
func (s *sim) readList(n *node) {
	if n.listUnreadable {
		return
	}
	oldest := 0
	for i, v := range s.versions {
		if s.now-v.at >= s.config.ListLag {
			oldest = i
		}
	}
	version := s.versions[oldest+s.choose("version", len(s.versions)-oldest)]
	if n.machine.leaving {
		version.names = slices.DeleteFunc(slices.Clone(version.names), func(name string) bool { return name == n.name })
	}
	if !slices.Equal(version.names, n.lastList) {
		n.lastList = slices.Clone(version.names)
		order := Rank(string(simRight), n.lastList)
		s.step(n, ListChanged{Rights: map[Right]Spec{simRight: {Voters: order[:min(3, len(order))], EndpointFencing: s.endpointFencing}}})
	}
	if slices.Contains(version.names, n.name) {
		s.step(n, ListConfirmed{At: s.clock(n)})
	}
}

// sendOrder sends an order if the node's machine holds the right.
func (s *sim) sendOrder(n *node) {
	grant, held := n.machine.Held(s.clock(n), simRight)
	if !held {
		return
	}
	taken := s.engine.accept(grant.Fence)
	s.orders = append(s.orders, order{at: s.now, by: n.name, fence: grant.Fence, accepted: taken})
	if !taken {
		s.step(n, FenceSeen{Right: simRight, Fence: s.engine.highestFence})
	}
}

// holders returns the running nodes that hold the right now.
func (s *sim) holders() []string {
	var names []string
	for _, n := range s.nodes {
		if !s.isRunning(n) {
			continue
		}
		if _, held := n.machine.Held(s.clock(n), simRight); held {
			names = append(names, n.name)
		}
	}
	return names
}

// checkSingleHolder returns an error if two nodes hold the right.
func (s *sim) checkSingleHolder() error {
	if names := s.holders(); len(names) > 1 && !s.endpointFencing {
		return fmt.Errorf("at %s the right is held by %v", s.now, names)
	}
	return nil
}

// runFor advances the simulation by d.
func (s *sim) runFor(d time.Duration) error {
	for end := s.now + d; s.now < end; {
		if err := s.advance(); err != nil {
			return err
		}
	}
	return nil
}
