package ownership

import (
	"fmt"
	"slices"
	"time"
)

// The simulation runs several machines over a fake network in virtual time.
const (
	simStep   = 50 * time.Millisecond
	simTick   = 500 * time.Millisecond
	simDelay  = 8 // steps that a message takes at most
	simRight  = Right("worker/w")
	simDrain  = 4 // steps that a hand-over takes at most
	simFreeze = 200
)

// chooser draws a number from 0 to n-1.
type chooser func(label string, n int) int

// breakage is a deliberate fault of the machine that the checks must find.
type breakage struct {
	// FromReply counts a lease from when the reply came.
	FromReply bool
	// NoStartWait lets an instance without memory vote at once.
	NoStartWait bool
	// NoOldVoters forgets the former voters when the list changes.
	NoOldVoters bool
	// NoAloneTerm lets an instance go on alone without the list's word.
	NoAloneTerm bool
	// NoRevalidation ignores that the clock stood still.
	NoRevalidation bool
}

// node is one instance of the simulation.
type node struct {
	name    string
	run     int
	machine *Machine
	// started is the true time at which the node's clock shows slept less.
	started time.Duration
	slept   time.Duration
	nextTick,
	frozenUntil time.Duration
	suspended bool
	wakes     bool
	down      bool
	blind     bool // can't read the platform
	seen      []string
	draining  time.Duration
	inbox     []packet
}

// packet is a message on its way.
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
	choose     chooser
	config     Config
	broken     breakage
	arbitrated bool
	now        time.Duration
	nodes      []*node
	cut        map[[2]string]bool
	lossy      bool
	versions   []listVersion
	packets    []packet
	orders     []order
	engine     engine
	acquired   []string
}

// order is one order at the endpoint, for the history.
type order struct {
	at    time.Duration
	by    string
	fence uint64
	taken bool
}

// engine is an endpoint that refuses old fencing numbers.
type engine struct{ fence uint64 }

func (e *engine) take(fence uint64) bool {
	if fence < e.fence {
		return false
	}
	e.fence = fence
	return true
}

func newSim(choose chooser, broken breakage, count int) *sim {
	s := &sim{choose: choose, config: DefaultConfig(0), broken: broken, cut: make(map[[2]string]bool)}
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

// ranked returns the nodes in the order of the right.
func (s *sim) ranked() []*node {
	var ranked []*node
	for _, name := range Order(string(simRight), s.names()) {
		ranked = append(ranked, s.node(name))
	}
	return ranked
}

func (s *sim) boot(n *node) {
	n.run++
	config := s.config
	config.Ordinal = uint16(10*n.run + slices.Index(s.nodes, n))
	n.machine = NewMachine(Peer{Name: n.name, Incarnation: fmt.Sprint(n.run)}, config)
	n.started, n.slept, n.nextTick, n.frozenUntil = s.now, 0, s.now, 0
	n.down, n.suspended, n.wakes, n.seen, n.inbox, n.draining = false, false, false, nil, nil, 0
}

func (s *sim) kill(n *node) { n.down = true }

// freeze stops a running node; a suspended machine's clock stops with it.
func (s *sim) freeze(n *node, steps int, suspend bool) {
	if !s.runs(n) || n.wakes {
		return
	}
	n.frozenUntil = s.now + time.Duration(steps)*simStep
	n.suspended = suspend
	n.wakes = true
}

func (s *sim) publish(names ...string) {
	s.versions = append(s.versions, listVersion{at: s.now, names: slices.Clone(names)})
}

// clock is the node's own time.
func (s *sim) clock(n *node) time.Duration { return s.now - n.started - n.slept }

func (s *sim) runs(n *node) bool { return !n.down && s.now >= n.frozenUntil }

func (s *sim) setCut(a, b string, cut bool) { s.cut[[2]string{a, b}] = cut }

// isolate cuts a node off from every other and from the platform.
func (s *sim) isolate(n *node, cut bool) {
	n.blind = cut
	for _, other := range s.nodes {
		s.setCut(n.name, other.name, cut)
		s.setCut(other.name, n.name, cut)
	}
}

func (s *sim) step(n *node, event Event) {
	if replied, is := event.(Replied); is && s.broken.FromReply {
		if _, known := n.machine.sent[replied.Reply.Sequence]; known {
			n.machine.sent[replied.Reply.Sequence] = s.clock(n)
		}
	}
	actions := n.machine.Step(s.clock(n), event)
	if c := n.machine.claims[simRight]; c != nil {
		if s.broken.NoStartWait {
			c.settled = 0
		}
		if s.broken.NoOldVoters && len(c.voters.sets) > 1 {
			c.voters.sets = c.voters.sets[len(c.voters.sets)-1:]
		}
		if s.broken.NoAloneTerm {
			n.machine.fresh = s.clock(n)
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
	case Answer:
		reply := a.Reply
		s.post(packet{from: n.name, to: event.(Received).Message.From.Name, reply: &reply})
	case HandOver:
		n.draining = s.now + time.Duration(1+s.choose("drain", simDrain))*simStep
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
		p.at = s.now + time.Duration(1+s.choose("delay", simDelay))*simStep
		s.packets = append(s.packets, p)
	}
}

// advance lets one step of time pass on every node.
func (s *sim) advance() error {
	s.now += simStep
	s.deliver()
	for _, n := range s.nodes {
		s.turn(n)
	}
	return s.check()
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
		if n := s.node(p.to); !s.cut[[2]string{p.from, p.to}] && !n.down {
			n.inbox = append(n.inbox, p)
		}
	}
}

func (s *sim) turn(n *node) {
	if !s.runs(n) {
		if n.suspended && !n.down {
			n.slept += simStep
		}
		return
	}
	if n.wakes {
		n.wakes = false
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
	if n.draining > 0 && s.now >= n.draining {
		n.draining = 0
		s.step(n, Released{Right: simRight, State: []byte("pins of " + n.name)})
	}
	if s.now >= n.nextTick {
		n.nextTick = s.now + simTick
		s.step(n, Tick{})
	}
	s.use(n)
}

// readList shows a node a version of the list that is at most ListLag old.
func (s *sim) readList(n *node) {
	if n.blind {
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
	if !slices.Equal(version.names, n.seen) {
		n.seen = slices.Clone(version.names)
		order := Order(string(simRight), n.seen)
		s.step(n, Listed{Rights: map[Right]Spec{simRight: {Voters: order[:min(3, len(order))], Arbitrated: s.arbitrated}}})
	}
	if slices.Contains(version.names, n.name) {
		s.step(n, Fresh{At: s.clock(n)})
	}
}

// use sends an order under the right where the node believes that it holds it.
func (s *sim) use(n *node) {
	grant, held := n.machine.Held(s.clock(n), simRight)
	if !held {
		return
	}
	taken := s.engine.take(grant.Fence)
	s.orders = append(s.orders, order{at: s.now, by: n.name, fence: grant.Fence, taken: taken})
	if !taken {
		s.step(n, FenceSeen{Right: simRight, Number: s.engine.fence})
	}
}

// holders are the nodes that would use the right at this moment.
func (s *sim) holders() []string {
	var names []string
	for _, n := range s.nodes {
		if !s.runs(n) {
			continue
		}
		if _, held := n.machine.Held(s.clock(n), simRight); held {
			names = append(names, n.name)
		}
	}
	return names
}

// check returns an error where two nodes would use the right.
func (s *sim) check() error {
	if names := s.holders(); len(names) > 1 && !s.arbitrated {
		return fmt.Errorf("at %s the right is held by %v", s.now, names)
	}
	return nil
}

// pass lets time pass.
func (s *sim) pass(d time.Duration) error {
	for end := s.now + d; s.now < end; {
		if err := s.advance(); err != nil {
			return err
		}
	}
	return nil
}
