package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// requiredGap is the minimum time between orders of two instances to one worker.
const requiredGap = 3 * time.Second

// baseLossRate is the share of messages lost while no fault is injected.
const baseLossRate = 0.05

// world simulates a cluster of machines on an unreliable network in virtual time.
type world struct {
	random         *rand.Rand
	config         Config
	now            time.Duration
	nodes          map[string]*node
	nodesByOrdinal []*node
	seeds          []string
	rights         []string
	inFlight       []delivery
	scheduled      []scheduledEvent
	lastOrders     map[string]orderSent
	violations     []string
	// clearSteps counts the steps at which a node could send orders under a right,
	// for all rights together.
	clearSteps int
	// lossRate is the share of messages that is lost.
	lossRate float64
	// sentOrders records the orders, each from its sending to its latest arrival.
	sentOrders []porcupine.Operation
	// mutate alters each new machine, to check that faults in it are detected.
	mutate func(*Machine)
}

// node is a simulated instance.
type node struct {
	machine       *Machine
	address       string
	ordinal       uint32
	incarnation   uint64
	down          bool
	frozenUntil   time.Duration
	nextHeartbeat time.Duration
	// partition is the network partition that the node is in. Messages between
	// partitions are lost.
	partition int
	// dropsOutgoing and dropsIncoming lose all messages from or to the node.
	dropsOutgoing, dropsIncoming bool
}

// delivery is a message in flight: a heartbeat or a reply.
type delivery struct {
	at        time.Duration
	to        string
	heartbeat *Heartbeat
	reply     *Reply
	// incarnation is the incarnation that a reply is addressed to.
	incarnation uint64
}

// orderSent is the last order sent under a right.
type orderSent struct {
	by    string
	at    time.Duration
	fence uint64
}

func newWorld(seed uint64, count int, config Config) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)), config: config, nodes: make(map[string]*node),
		rights: []string{"a/0", "a/1", "b/0", "b/1"}, lastOrders: make(map[string]orderSent), lossRate: baseLossRate,
	}
	w.add(count)
	return w
}

// add starts more nodes. The first three nodes of the world are the seeds.
func (w *world) add(count int) {
	for range count {
		ordinal := uint32(len(w.nodes) + 1)
		n := &node{address: fmt.Sprintf("10.0.0.%d:1", ordinal), ordinal: ordinal}
		if ordinal <= 3 {
			w.seeds = append(w.seeds, n.address)
		}
		w.nodes[n.address] = n
		w.nodesByOrdinal = append(w.nodesByOrdinal, n)
	}
	for _, n := range w.sorted() {
		if n.machine == nil {
			w.start(n)
		}
	}
}

// sorted returns the nodes by ordinal.
func (w *world) sorted() []*node { return w.nodesByOrdinal }

// start starts a node, or restarts it without any state from before.
func (w *world) start(n *node) {
	n.incarnation++
	n.down = false
	ordinal := n.ordinal
	dataCentre := []string{"a", "b"}[ordinal%2]
	self := Member{
		Address: n.address, DataCentre: dataCentre, Region: dataCentre,
		Incarnation: n.incarnation + uint64(w.now/time.Millisecond), Since: Seniority(int64(w.now/time.Second) + 1000),
	}
	rights := slices.DeleteFunc(slices.Clone(w.rights), func(right string) bool {
		return w.config.OwnRegion && right[:1] != dataCentre
	})
	n.machine = NewMachine(w.now, self, w.seeds, rights, w.config, func() uint64 {
		return Fence(uint64(w.now/time.Second)+1, ordinal)
	}, w.watchOrders(rights))
	if w.mutate != nil {
		w.mutate(n.machine)
	}
	n.nextHeartbeat = w.now
}

// reportAge is the age of the state in a worker's report.
const reportAge = 300 * time.Millisecond

// watchOrders returns the function by which a machine that starts now learns since when
// the workers, which every partition reaches, have received no orders under its rights.
func (w *world) watchOrders(rights []string) func() (time.Duration, bool) {
	since := w.now
	return func() (time.Duration, bool) {
		for _, right := range rights {
			if at := w.lastOrders[right].at; at > w.now-reportAge {
				since = w.now
			} else {
				since = max(since, at)
			}
		}
		return since, true
	}
}

const step = 20 * time.Millisecond

// scheduledEvent is run once its time has come.
type scheduledEvent struct {
	at  time.Duration
	run func()
}

// after schedules an event.
func (w *world) after(delay time.Duration, run func()) {
	w.scheduled = append(w.scheduled, scheduledEvent{at: w.now + delay, run: run})
}

// runScheduled runs the scheduled events that are due.
func (w *world) runScheduled() {
	pending := w.scheduled
	w.scheduled = nil
	for _, e := range pending {
		if e.at > w.now {
			w.scheduled = append(w.scheduled, e)
			continue
		}
		e.run()
	}
}

// run advances virtual time by d.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += step {
		w.runScheduled()
		w.deliver()
		for _, n := range w.sorted() {
			if n.down || w.now < n.frozenUntil {
				continue
			}
			n.machine.Tick(w.now)
			if w.now >= n.nextHeartbeat {
				n.nextHeartbeat = w.now + n.machine.Interval()
				w.sendHeartbeat(n)
			}
			w.sendOrders(n)
		}
	}
}

// sendOrders records an order under every right that the node may use, and checks
// the gap and the fencing token against the order before it.
func (w *world) sendOrders(n *node) {
	for _, right := range w.rights {
		fence, held := n.machine.Held(w.now, right)
		if !held {
			continue
		}
		w.clearSteps++
		last, found := w.lastOrders[right]
		if found && last.by != n.address {
			if w.now-last.at < requiredGap {
				w.violations = append(w.violations, fmt.Sprintf("%v %s: %s after %s by %v", w.now, right, n.address, last.by, w.now-last.at))
			}
			if fence <= last.fence {
				w.violations = append(w.violations, fmt.Sprintf("%v %s: fence %d after %d", w.now, right, fence, last.fence))
			}
		}
		w.recordOrder(right, n.address, fence)
		w.lastOrders[right] = orderSent{by: n.address, at: w.now, fence: fence}
	}
}

func (w *world) sendHeartbeat(n *node) {
	heartbeat, targets := n.machine.NextHeartbeat(w.now)
	for _, to := range targets {
		w.transmit(n, delivery{to: to, heartbeat: &heartbeat})
	}
}

// transmit delays, drops and duplicates messages.
func (w *world) transmit(from *node, d delivery) {
	to := w.nodes[d.to]
	if to == nil || to.partition != from.partition || from.dropsOutgoing || to.dropsIncoming || w.random.Float64() < w.lossRate {
		return
	}
	copies := 1
	if w.random.Float64() < 0.03 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(w.random.Int64N(int64(60 * time.Millisecond)))
		if w.random.Float64() < 0.02 {
			delay += time.Duration(w.random.Int64N(int64(2 * time.Second)))
		}
		d.at = w.now + delay
		w.inFlight = append(w.inFlight, d)
	}
}

// deliver hands over the messages that are due. Those to a frozen node wait, those
// to a node that is down are lost.
func (w *world) deliver() {
	pending := w.inFlight
	w.inFlight = nil
	for _, d := range pending {
		to := w.nodes[d.to]
		switch {
		case to.down:
		case d.at > w.now || w.now < to.frozenUntil:
			w.inFlight = append(w.inFlight, d)
		case d.heartbeat != nil:
			reply, _ := to.machine.HandleHeartbeat(w.now, *d.heartbeat)
			w.transmit(to, delivery{to: d.heartbeat.From.Address, reply: &reply, incarnation: d.heartbeat.From.Incarnation})
		case d.incarnation >= to.machine.Self().Incarnation-1 && d.reply != nil:
			to.machine.HandleReply(w.now, *d.reply)
		}
	}
}
