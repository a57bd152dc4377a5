package capacity

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/lease"
	"github.com/bulrushwick/bulrushwick/entry/owner"
	"github.com/bulrushwick/bulrushwick/entry/peer"
	"github.com/bulrushwick/bulrushwick/entry/peer/peerpb"
)

// heartbeatEvery is the interval that the figures per second are worked out
// for; the measurement itself sends the heartbeats one after the other.
const heartbeatEvery = 500 * time.Millisecond

// callTimeout is far above what a call takes when all instances share one
// process.
const callTimeout = 30 * time.Second

// callConcurrency bounds the control calls of one instance that run at once.
const callConcurrency = 64

// peerFleet is many instances of one data centre in this process.
type peerFleet struct {
	nodes []*peerNode
	bytes atomic.Int64
}

// peerNode is the control side of one instance.
type peerNode struct {
	fleet    *fleet.Fleet
	exchange *peer.Exchange
	server   *http.Server
	keeper   *lease.Keeper // set before the first lease message, where leases are kept
	workers  []owner.Summary
}

// peerSpec sizes a peerFleet.
type peerSpec struct {
	// instances is the number of instances of the data centre.
	instances int
	// workers and slots size what each instance owns.
	workers int
	slots   int
}

// startPeers starts the instances and exchanges heartbeats until each knows
// every worker.
func startPeers(spec peerSpec) (*peerFleet, error) {
	f := &peerFleet{}
	instances := make([]member.Instance, spec.instances)
	listeners := make([]net.Listener, spec.instances)
	for i := range instances {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners[i] = &countingListener{Listener: listener, bytes: &f.bytes}
		instances[i] = member.Instance{
			Name:           instanceName(i),
			DataCentre:     dataCentreName(0),
			ControlAddress: listener.Addr().String(),
			State:          member.Live,
		}
	}
	t, err := buildTable(tableSpec{adapters: 1, workers: spec.instances * spec.workers, dataCentres: 1})
	if err != nil {
		return nil, err
	}
	for i := range instances {
		node, err := startPeer(instances[i].Name, listeners[i])
		if err != nil {
			return nil, err
		}
		node.fleet.Offer(t)
		node.fleet.PublishInstances(instances)
		f.nodes = append(f.nodes, node)
	}
	f.own(t, spec)
	return f, nil
}

func startPeer(name string, listener net.Listener) (*peerNode, error) {
	n := &peerNode{fleet: fleet.New(name, dataCentreName(0))}
	records := peer.NewRecords(n.fleet, func() []owner.Summary { return n.workers })
	config := peer.Config{HeartbeatEvery: callTimeout / 2, Concurrency: callConcurrency}
	exchange, err := peer.NewExchange(config, n.fleet, records, zerolog.Nop())
	if err != nil {
		return nil, err
	}
	n.exchange = exchange
	n.server = peer.NewControlServer(peerpb.NewPeerServer(peer.NewServer(n.fleet, records, n)), callTimeout)
	go func() { _ = n.server.Serve(listener) }()
	return n, nil
}

// Receive implements peer.Voter.
func (n *peerNode) Receive(m ownership.Message) ownership.Reply { return n.keeper.Receive(m) }

// own gives every worker to the instance that owns it, with full slots.
func (f *peerFleet) own(t *table.Table, spec peerSpec) {
	byName := make(map[string]*peerNode, len(f.nodes))
	for _, node := range f.nodes {
		byName[node.fleet.Self()] = node
	}
	for i, endpoint := range t.Pools[poolName].Endpoints {
		owned, _ := f.nodes[0].fleet.Owner(endpoint.Name)
		node := byName[owned.Name]
		node.workers = append(node.workers, owner.Summary{Worker: endpoint.Name, Resident: resident(i*spec.slots, spec.slots)})
	}
}

// resident returns count adapters from the first on.
func resident(first, count int) []table.AdapterVersion {
	adapters := make([]table.AdapterVersion, count)
	for i := range adapters {
		adapters[i] = table.AdapterVersion{Adapter: adapterName(first + i), Version: "v1"}
	}
	return adapters
}

// change replaces one adapter on that many workers.
func (f *peerFleet) change(count, round int) {
	for i := range count {
		node := f.nodes[(round*count+i)%len(f.nodes)]
		if len(node.workers) == 0 {
			continue
		}
		w := &node.workers[round%len(node.workers)]
		w.Resident = append(resident(round*count+i, 1), w.Resident[1:]...)
	}
}

// beat lets every instance send one heartbeat and waits for the answers.
func (f *peerFleet) beat() {
	for _, node := range f.nodes {
		node.exchange.SendHeartbeats(context.Background())
	}
	for _, node := range f.nodes {
		node.exchange.Wait()
	}
}

func (f *peerFleet) stop() {
	for _, node := range f.nodes {
		_ = node.server.Close()
	}
}

// peerCost is what one instance spends on one heartbeat interval, sending and
// answering together.
type peerCost struct {
	bytes float64
	cpu   time.Duration
	heap  float64
}

// peerRounds is the number of heartbeats that a figure is the mean of; a relay
// cycle divides it.
const peerRounds = 24

// fillRounds is enough for every instance to learn every worker.
const fillRounds = 40

// measurePeers returns the cost of a heartbeat interval in which that many
// workers of the data centre change what they hold.
func measurePeers(spec peerSpec, changes int) (peerCost, error) {
	before := heap()
	f, err := startPeers(spec)
	if err != nil {
		return peerCost{}, err
	}
	defer f.stop()
	for range fillRounds {
		f.beat()
	}
	held := heap() - before
	f.bytes.Store(0)
	cpu := processorTime()
	for round := range peerRounds {
		f.change(changes, round)
		f.beat()
	}
	perNode := float64(peerRounds * spec.instances)
	return peerCost{
		bytes: 2 * float64(f.bytes.Load()) / perNode, // each byte is sent by one and received by another
		cpu:   (processorTime() - cpu) / time.Duration(peerRounds*spec.instances),
		heap:  held / float64(spec.instances),
	}, nil
}

// processorTime returns what this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // asking for one's own usage does not fail
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heap returns the bytes in use after two collections, the second of which
// empties the pools that outlive one.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
