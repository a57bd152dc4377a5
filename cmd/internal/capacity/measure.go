package capacity

import (
	"encoding/json"
	"runtime"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/placement"
	"github.com/bulrushwick/bulrushwick/coord/residency"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
)

// Sizes holds the sizes and durations of the measurements.
type Sizes struct {
	adapters       []int
	workers        []int         // workers of the pool
	instances      []int         // instances of the fleet
	localInstances []int         // instances of one data centre
	changedWorkers []int         // workers that change within a heartbeat interval
	ownedWorkers   []int         // workers of one owner
	queuedRequests []int         // requests queued at one worker
	readers        []int         // instances that watch the platform
	minDuration    time.Duration // of one timing run
	speedup        time.Duration // factor by which all lease times are divided
}

// Full returns sizes of which the largest fleet, pool and table have the target
// size.
func Full() Sizes {
	return Sizes{
		adapters:       []int{5000, 11000, 22000, targetAdapters},
		workers:        []int{938, 1875, 3750, targetWorkers},
		instances:      []int{120, 240, 485, targetInstances},
		localInstances: []int{11, 21, 41, targetLocalInstances},
		changedWorkers: []int{0, 1, 2, 4},
		ownedWorkers:   []int{4, 8, 16, 32},
		queuedRequests: []int{50, 100, 200, 400},
		readers:        []int{4, 8, 16, 32},
		minDuration:    40 * time.Millisecond,
		speedup:        1,
	}
}

// Quick returns sizes for a trial run. They are too small for conclusions.
func Quick() Sizes {
	return Sizes{
		adapters:       []int{100, 200, 400, 800},
		workers:        []int{50, 100, 200, 400},
		instances:      []int{12, 24, 48, 96},
		localInstances: []int{9, 10, 11, 12},
		changedWorkers: []int{0, 1, 2, 4},
		ownedWorkers:   []int{4, 8, 16, 32},
		queuedRequests: []int{5, 10, 20, 40},
		readers:        []int{1, 2, 3, 4},
		minDuration:    time.Millisecond,
		speedup:        10,
	}
}

func (s Sizes) largestLocal() int { return s.localInstances[len(s.localInstances)-1] }

func (s Sizes) largestPool() int { return s.workers[len(s.workers)-1] }

// Limits of each measured worker.
const (
	slotsPerWorker = 8
	batchPerWorker = 16
	queueLimit     = 1000
)

// measurement produces the lines of one area.
type measurement struct {
	name string
	run  func() ([]Line, error)
}

// Run takes all measurements in turn and calls progress with the name of each
// before it starts. It stops at the first error.
func Run(sizes Sizes, progress func(name string)) ([]Line, error) {
	measurements := []measurement{
		{"peer exchange", sizes.peerLines},
		{"records", sizes.recordLines},
		{"leases", sizes.leaseLines},
		{"tables", sizes.tableLines},
		{"membership", sizes.memberLines},
		{"platform reads", sizes.readLines},
		{"owner", sizes.ownerLines},
		{"ingress", sizes.ingressLines},
	}
	var lines []Line
	for _, m := range measurements {
		progress(m.name)
		measured, err := m.run()
		if err != nil {
			return nil, err
		}
		lines = append(lines, measured...)
	}
	return lines, nil
}

// peerLines measures heartbeats without changes in data centres of increasing size.
func (s Sizes) peerLines() ([]Line, error) {
	costs := make(map[int]peerCost)
	for _, size := range s.localInstances {
		cost, err := measurePeers(peerSpec{instances: size, workers: 8, slots: slotsPerWorker}, 0)
		if err != nil {
			return nil, err
		}
		costs[size] = cost
	}
	base := Line{Role: "peer exchange", Driver: "instances of the data centre", Target: targetLocalInstances, Control: true}
	return fitAll(s.localInstances,
		lineCost{base.withCost("heartbeat interval", Bytes, heartbeatsPerSecond), func(n int) float64 { return costs[n].bytes }},
		lineCost{base.withCost("heartbeat interval", Processor, heartbeatsPerSecond), func(n int) float64 { return costs[n].cpu.Seconds() }},
		lineCost{base.withCost("records and links", Memory, 1), func(n int) float64 { return costs[n].heap }},
	), nil
}

// recordLines measures the cost of worker changes per instance of the largest data
// centre, without the cost of idle heartbeats. The target is the number of changes
// in a heartbeat interval.
func (s Sizes) recordLines() ([]Line, error) {
	costs := make(map[int]peerCost)
	for _, changes := range s.changedWorkers {
		cost, err := measurePeers(peerSpec{instances: s.largestLocal(), workers: 8, slots: slotsPerWorker}, changes)
		if err != nil {
			return nil, err
		}
		costs[changes] = cost
	}
	idle := costs[0]
	base := Line{Role: "peer exchange", Driver: "changes an interval", Target: recordChangesPerSecond / heartbeatsPerSecond, Control: true}
	return fitAll(s.changedWorkers,
		lineCost{base.withCost("records", Bytes, heartbeatsPerSecond), func(n int) float64 { return costs[n].bytes - idle.bytes }},
		lineCost{base.withCost("records", Processor, heartbeatsPerSecond), func(n int) float64 { return (costs[n].cpu - idle.cpu).Seconds() }},
	), nil
}

// withCost returns a copy of the line for another cost.
func (l Line) withCost(cost string, kind Kind, perSecond float64) Line {
	l.Cost, l.Kind, l.PerSecond = cost, kind, perSecond
	return l
}

// lineCost is a line and the function that returns its cost at a size.
type lineCost struct {
	line Line
	cost func(size int) float64
}

// fitAll fits each line to costs that have been measured before.
func fitAll(sizes []int, costs ...lineCost) []Line {
	lines := make([]Line, len(costs))
	for i, c := range costs {
		lines[i], _ = c.line.measure(sizes, func(n int) (float64, error) { return c.cost(n), nil })
	}
	return lines
}

// tableLines measures a full table and a change of one adapter.
func (s Sizes) tableLines() ([]Line, error) {
	type cost struct{ accept, bytes, join, memory float64 }
	costs := make(map[int]cost)
	for _, size := range s.adapters {
		spec := tableSpec{adapters: size, workers: s.largestPool(), dataCentres: targetDataCentres}
		memory, base, err := retainedHeap(func() (*table.Table, error) { return buildTable(spec) })
		if err != nil {
			return nil, err
		}
		next, err := snapshotRevision(spec, 2)
		if err != nil {
			return nil, err
		}
		c := changeTo(base, next)
		if _, err := c.accept(base); err != nil {
			return nil, err
		}
		costs[size] = cost{
			accept: timePerCall(s.minDuration, func() { _, _ = c.accept(base) }),
			join:   timePerCall(s.minDuration, func() { _, _ = table.Build(next) }),
			bytes:  2 * float64(c.bytes), // received once and, on average, sent once
			memory: memory,
		}
	}
	base := Line{Role: "configuration reader", Driver: "adapters", Target: targetAdapters, Control: true}
	first := base.withCost("accept a first table", Processor, joinsPerSecond)
	return fitAll(s.adapters,
		lineCost{base.withCost("accept a change of one adapter", Processor, tableChangesPerSecond), func(n int) float64 { return costs[n].accept }},
		lineCost{first, func(n int) float64 { return costs[n].join }},
		lineCost{base.withCost("take and give a change of one adapter", Bytes, tableChangesPerSecond), func(n int) float64 { return costs[n].bytes }},
		lineCost{base.withCost("table in force", Memory, 1), func(n int) float64 { return costs[n].memory }},
	), nil
}

// memberLines measures a change of the published list of instances.
func (s Sizes) memberLines() ([]Line, error) {
	t, err := buildTable(tableSpec{adapters: 1, workers: s.largestPool(), dataCentres: targetDataCentres})
	if err != nil {
		return nil, err
	}
	type cost struct{ publish, refresh, memory, bytes float64 }
	costs := make(map[int]cost)
	for _, size := range s.instances {
		f := fleet.New("entry-0000", dataCentreName(0))
		f.Offer(t)
		instances := publishedInstances(size)
		memory, _, err := retainedHeap(func() (*fleet.Fleet, error) { f.PublishInstances(instances); return f, nil })
		if err != nil {
			return nil, err
		}
		runtime.KeepAlive(instances)
		calls := 0
		publish := timePerCall(s.minDuration, func() {
			calls++ // alternately without and with the last instance
			f.PublishInstances(instances[:size-calls%2])
		})
		list, err := json.Marshal(instances)
		if err != nil {
			return nil, err
		}
		costs[size] = cost{publish: publish, refresh: timePerCall(s.minDuration, f.Refresh), memory: memory, bytes: float64(len(list))}
		runtime.KeepAlive(f)
	}
	base := Line{Role: "membership", Driver: "instances", Target: targetInstances, Control: true}
	return fitAll(s.instances,
		lineCost{base.withCost("take a published list", Processor, memberChangesPerSecond), func(n int) float64 { return costs[n].publish }},
		lineCost{base.withCost("read a published list", Bytes, memberChangesPerSecond), func(n int) float64 { return costs[n].bytes }},
		lineCost{base.withCost("let silence take effect", Processor, heartbeatsPerSecond), func(n int) float64 { return costs[n].refresh }},
		lineCost{base.withCost("list and owners", Memory, 1), func(n int) float64 { return costs[n].memory }},
	), nil
}

// publishedInstances returns count instances, spread over the data centres.
func publishedInstances(count int) []member.Instance {
	instances := make([]member.Instance, count)
	for i := range instances {
		instances[i] = member.Instance{
			Name:           instanceName(i),
			DataCentre:     dataCentreName(i % targetDataCentres),
			PeerAddress:    "10.0.0.1:7000",
			ControlAddress: "10.0.0.1:7001",
			State:          member.Live,
		}
	}
	return instances
}

// ownerLines measures a tick of an owner's workers, their memory, and a tick of a
// worker with queued requests.
func (s Sizes) ownerLines() ([]Line, error) {
	tick := Line{Role: "owner", Cost: "tick of idle workers", Kind: Processor, Driver: "workers owned", Target: workersPerInstance, PerSecond: ticksPerSecond, Control: true}
	tick, err := tick.measure(s.ownedWorkers, func(n int) (float64, error) {
		workers := make([]*residency.Worker, n)
		for i := range workers {
			workers[i] = busyWorker(0)
		}
		now := time.Duration(0)
		return timePerCall(s.minDuration, func() {
			now += time.Second / ticksPerSecond
			for _, w := range workers {
				w.Step(now, residency.Tick{})
			}
		}), nil
	})
	if err != nil {
		return nil, err
	}
	memory := Line{Role: "owner", Cost: "workers", Kind: Memory, Driver: "workers owned", Target: workersPerInstance, PerSecond: 1, Control: true}
	memory, err = memory.measure(s.ownedWorkers, func(n int) (float64, error) {
		size, workers, err := retainedHeap(func() ([]*residency.Worker, error) {
			workers := make([]*residency.Worker, n)
			for i := range workers {
				workers[i] = busyWorker(0)
			}
			return workers, nil
		})
		runtime.KeepAlive(workers)
		return size, err
	})
	if err != nil {
		return nil, err
	}
	queued := Line{Role: "owner", Cost: "tick of a worker with a queue", Kind: Processor, Driver: "requests that wait", Target: queueLimit, PerSecond: ticksPerSecond * workersPerInstance}
	queued, err = queued.measure(s.queuedRequests, func(n int) (float64, error) {
		w := busyWorker(n)
		return timePerCall(s.minDuration, func() { w.Step(0, residency.Tick{}) }), nil
	})
	return []Line{tick, memory, queued}, err
}

// busyWorker returns a worker with full slots, a full batch and that many queued
// requests.
func busyWorker(queued int) *residency.Worker {
	policy := residency.DefaultConfig(slotsPerWorker, batchPerWorker)
	policy.Queue.Limit = queueLimit
	w := residency.NewWorker("worker", policy)
	adapters := adapterRange(0, slotsPerWorker)
	for i := range batchPerWorker + queued {
		adapter := adapters[i%slotsPerWorker]
		w.Step(0, residency.Arrive{Request: admission.Request{ID: uint64(i), Adapter: adapter, Rank: table.Normal, Deadline: time.Hour}})
		w.Step(0, residency.Loaded{Adapter: adapter})
	}
	return w
}

// ingressLines measures the choice of a worker for a request.
func (s Sizes) ingressLines() ([]Line, error) {
	line := Line{Role: "entry ingress", Cost: "choose a worker", Kind: Processor, Driver: "workers of the pool", Target: targetWorkers / targetBaseModels, PerSecond: requestsPerSecond / targetInstances}
	line, err := line.measure(s.workers, func(n int) (float64, error) {
		t, err := buildTable(tableSpec{adapters: 1, workers: n, dataCentres: targetDataCentres})
		if err != nil {
			return 0, err
		}
		f := fleet.New("entry-0000", dataCentreName(0))
		f.Offer(t)
		picker := placement.NewPicker(placement.DefaultConfig())
		adapter := adapterRange(0, 1)[0]
		query := placement.Query{
			Adapter:    adapter,
			DataCentre: f.DataCentre(),
			Region:     t.RegionOf(f.DataCentre()),
			RegionOf:   t.RegionOf,
			Batch:      batchPerWorker,
		}
		return timePerCall(s.minDuration, func() { picker.Pick(query, f.Candidates(t.Pools[poolName], adapter)) }), nil
	})
	return []Line{line}, err
}
