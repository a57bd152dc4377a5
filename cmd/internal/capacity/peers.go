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

// heartbeatInterval converts costs per heartbeat to costs per second. The
// measurement itself sends the heartbeats without a pause.
const heartbeatInterval = 500 * time.Millisecond

// callTimeout is far above the duration of a call even while all instances share
// one process.
const callTimeout = 30 * time.Second

// callConcurrency is the maximum number of concurrent control calls of an instance.
const callConcurrency = 64

// peerFleet is the instances of one data centre, all in this process.
type peerFleet struct {
	peers []*peerInstance
	bytes atomic.Int64 // read and written by the servers
	// passed is the time by which clock is ahead of the start.
	passed atomic.Int64
}

// clock is the time of instances whose heartbeats are exchanged without pauses: it
// advances by one interval with each exchange. On the clock of a busy machine an
// exchange can outlast the time after which instances count as silent.
func (f *peerFleet) clock() time.Time { return time.Unix(0, f.passed.Load()) }

// peerInstance is the control side of one instance.
type peerInstance struct {
	fleet    *fleet.Fleet
	exchange *peer.Exchange
	server   *http.Server
	keeper   *lease.Keeper // nil unless leases are measured; set before the first lease message
	workers  []owner.Summary
}

// peerSpec is the size of a peerFleet.
type peerSpec struct {
	// instances is the number of instances of the data centre.
	instances int
	// workers is the mean number of workers that an instance owns, and slots the
	// number of slots of each worker.
	workers int
	slots   int
	// simulatedTime gives the instances peerFleet.clock in place of the machine's.
	simulatedTime bool
}

// startPeers starts the instances with their workers. No heartbeats have been
// exchanged yet.
func startPeers(spec peerSpec) (*peerFleet, error) {
	f := &peerFleet{}
	clock := time.Now
	if spec.simulatedTime {
		clock = f.clock
	}
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
		p, err := startPeer(instances[i].Name, listeners[i], clock)
		if err != nil {
			return nil, err
		}
		p.fleet.Offer(t)
		p.fleet.PublishInstances(instances)
		f.peers = append(f.peers, p)
	}
	f.assignWorkers(t, spec)
	return f, nil
}

// startPeer starts one instance and its control server on the listener.
func startPeer(name string, listener net.Listener, clock func() time.Time) (*peerInstance, error) {
	p := &peerInstance{fleet: fleet.NewWithClock(name, dataCentreName(0), clock)}
	records := peer.NewRecords(p.fleet, func() []owner.Summary { return p.workers })
	config := peer.Config{HeartbeatEvery: callTimeout / 2, Concurrency: callConcurrency}
	exchange, err := peer.NewExchange(config, p.fleet, records, zerolog.Nop())
	if err != nil {
		return nil, err
	}
	p.exchange = exchange
	p.server = peer.NewControlServer(peerpb.NewPeerServer(peer.NewServer(p.fleet, records, p)), callTimeout)
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Receive implements peer.Voter.
func (p *peerInstance) Receive(m ownership.Message) ownership.Reply { return p.keeper.Receive(m) }

// assignWorkers adds every worker, with full slots, to the instance that owns it.
func (f *peerFleet) assignWorkers(t *table.Table, spec peerSpec) {
	byName := make(map[string]*peerInstance, len(f.peers))
	for _, p := range f.peers {
		byName[p.fleet.Self()] = p
	}
	for i, endpoint := range t.Pools[poolName].Endpoints {
		ownerInstance, _ := f.peers[0].fleet.Owner(endpoint.Name)
		p := byName[ownerInstance.Name]
		p.workers = append(p.workers, owner.Summary{Worker: endpoint.Name, Resident: adapterRange(i*spec.slots, spec.slots)})
	}
}

// adapterRange returns count adapters, numbered from first.
func adapterRange(first, count int) []table.AdapterVersion {
	adapters := make([]table.AdapterVersion, count)
	for i := range adapters {
		adapters[i] = table.AdapterVersion{Adapter: adapterName(first + i), Version: "v1"}
	}
	return adapters
}

// changeAdapters replaces one resident adapter on that many workers.
func (f *peerFleet) changeAdapters(count, round int) {
	for i := range count {
		p := f.peers[(round*count+i)%len(f.peers)]
		if len(p.workers) == 0 {
			continue
		}
		w := &p.workers[round%len(p.workers)]
		w.Resident = append(adapterRange(round*count+i, 1), w.Resident[1:]...)
	}
}

// exchangeHeartbeats sends one heartbeat from every instance and waits for the
// responses.
func (f *peerFleet) exchangeHeartbeats() {
	f.passed.Add(int64(heartbeatInterval))
	for _, p := range f.peers {
		p.exchange.SendHeartbeats(context.Background())
	}
	for _, p := range f.peers {
		p.exchange.Wait()
	}
}

func (f *peerFleet) stop() {
	for _, p := range f.peers {
		_ = p.server.Close()
	}
}

// peerCost is the cost of one heartbeat interval, or of one second for leases, per
// instance, for requests and responses together.
type peerCost struct {
	bytes float64
	cpu   time.Duration
	heap  float64 // bytes
}

// heartbeatRounds is the number of heartbeat intervals over which costs are
// averaged, a multiple of the relay cycle.
const heartbeatRounds = 24

// warmupRounds is the number of heartbeat rounds before the measurement, enough for
// every instance to learn about every worker.
const warmupRounds = 40

// measurePeers returns the cost of a heartbeat interval in which that many workers
// of the data centre change their resident adapters.
func measurePeers(spec peerSpec, changes int) (peerCost, error) {
	heapBefore := heapInUse()
	spec.simulatedTime = true
	f, err := startPeers(spec)
	if err != nil {
		return peerCost{}, err
	}
	defer f.stop()
	for range warmupRounds {
		f.exchangeHeartbeats()
	}
	used := heapInUse() - heapBefore
	f.bytes.Store(0)
	cpuBefore := cpuTime()
	for round := range heartbeatRounds {
		f.changeAdapters(changes, round)
		f.exchangeHeartbeats()
	}
	instanceIntervals := float64(heartbeatRounds * spec.instances)
	return peerCost{
		bytes: 2 * float64(f.bytes.Load()) / instanceIntervals, // each byte is sent by one instance and received by another
		cpu:   (cpuTime() - cpuBefore) / time.Duration(heartbeatRounds*spec.instances),
		heap:  used / float64(spec.instances),
	}, nil
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // getrusage of the own process does not fail
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapInUse returns the heap in use, in bytes, after two garbage collections: a
// sync.Pool keeps its content through the first.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// countingListener counts the bytes read and written on its connections.
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
