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

// Sizes are the sizes of the measurements.
type Sizes struct {
	adapters  []int
	workers   []int // of the pool
	instances []int // of the fleet
	local     []int // instances of one data centre
	changes   []int // workers that change within a heartbeat interval
	owned     []int // workers of one owner
	waiting   []int // requests that wait at one worker
	readers   []int // instances that read the platform
	timed     time.Duration
	hurry     time.Duration // by which the leases' real time is divided
}

// Full returns sizes whose largest are the target's.
func Full() Sizes {
	return Sizes{
		adapters:  []int{5000, 11000, 22000, targetAdapters},
		workers:   []int{938, 1875, 3750, targetWorkers},
		instances: []int{120, 240, 485, targetNodes},
		local:     []int{11, 21, 41, targetLocal},
		changes:   []int{0, 1, 2, 4},
		owned:     []int{4, 8, 16, 32},
		waiting:   []int{50, 100, 200, 400},
		readers:   []int{4, 8, 16, 32},
		timed:     40 * time.Millisecond,
		hurry:     1,
	}
}

// Quick returns sizes for a first look, too small to conclude from.
func Quick() Sizes {
	return Sizes{
		adapters:  []int{100, 200, 400, 800},
		workers:   []int{50, 100, 200, 400},
		instances: []int{12, 24, 48, 96},
		local:     []int{9, 10, 11, 12},
		changes:   []int{0, 1, 2, 4},
		owned:     []int{4, 8, 16, 32},
		waiting:   []int{5, 10, 20, 40},
		readers:   []int{1, 2, 3, 4},
		timed:     time.Millisecond,
		hurry:     10,
	}
}

func (s Sizes) largestLocal() int { return s.local[len(s.local)-1] }

func (s Sizes) largestPool() int { return s.workers[len(s.workers)-1] }

// slotsPerWorker and the others size a worker of the measurements.
const (
	slotsPerWorker = 8
	batchPerWorker = 16
	queueLimit     = 1000
)

// step is one named measurement.
type step struct {
	name string
	run  func() ([]Line, error)
}

// Run takes every measurement and tells progress of each.
func Run(sizes Sizes, progress func(name string)) ([]Line, error) {
	steps := []step{
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
	for _, s := range steps {
		progress(s.name)
		measured, err := s.run()
		if err != nil {
			return nil, err
		}
		lines = append(lines, measured...)
	}
	return lines, nil
}

// peerLines measures an idle exchange over growing data centres.
func (s Sizes) peerLines() ([]Line, error) {
	costs := make(map[int]peerCost)
	for _, size := range s.local {
		cost, err := measurePeers(peerSpec{instances: size, workers: 8, slots: slotsPerWorker}, 0)
		if err != nil {
			return nil, err
		}
		costs[size] = cost
	}
	base := Line{Role: "peer exchange", Driver: "instances of the data centre", Target: targetLocal, Control: true}
	return fitAll(s.local,
		fitting{base.of("heartbeat interval", Bytes, heartbeats), func(n int) float64 { return costs[n].bytes }},
		fitting{base.of("heartbeat interval", Processor, heartbeats), func(n int) float64 { return costs[n].cpu.Seconds() }},
		fitting{base.of("records and links", Memory, 1), func(n int) float64 { return costs[n].heap }},
	), nil
}

// recordLines measures what the change of a worker costs each instance of the
// largest data centre. The target is the number of changes in an interval.
func (s Sizes) recordLines() ([]Line, error) {
	costs := make(map[int]peerCost)
	for _, changes := range s.changes {
		cost, err := measurePeers(peerSpec{instances: s.largestLocal(), workers: 8, slots: slotsPerWorker}, changes)
		if err != nil {
			return nil, err
		}
		costs[changes] = cost
	}
	idle := costs[0]
	base := Line{Role: "peer exchange", Driver: "changes an interval", Target: recordChanges / heartbeats, Control: true}
	return fitAll(s.changes,
		fitting{base.of("records", Bytes, heartbeats), func(n int) float64 { return costs[n].bytes - idle.bytes }},
		fitting{base.of("records", Processor, heartbeats), func(n int) float64 { return (costs[n].cpu - idle.cpu).Seconds() }},
	), nil
}

// of returns a line with its cost filled in.
func (l Line) of(cost string, kind Kind, perSecond float64) Line {
	l.Cost, l.Kind, l.PerSecond = cost, kind, perSecond
	return l
}

// fitting is a line with its cost at each size.
type fitting struct {
	line Line
	cost func(size int) float64
}

func fitAll(sizes []int, fittings ...fitting) []Line {
	lines := make([]Line, len(fittings))
	for i, f := range fittings {
		lines[i], _ = f.line.measure(sizes, func(n int) (float64, error) { return f.cost(n), nil })
	}
	return lines
}

// tableLines measures the table in force and a change of one adapter.
func (s Sizes) tableLines() ([]Line, error) {
	type cost struct{ accept, bytes, join, memory float64 }
	costs := make(map[int]cost)
	for _, size := range s.adapters {
		spec := tableSpec{adapters: size, workers: s.largestPool(), dataCentres: targetDataCentres}
		memory, base, err := held(func() (*table.Table, error) { return buildTable(spec) })
		if err != nil {
			return nil, err
		}
		next, err := revisionOf(spec, 2)
		if err != nil {
			return nil, err
		}
		c := changeTo(base, next)
		if _, err := c.accept(base); err != nil {
			return nil, err
		}
		costs[size] = cost{
			accept: timed(s.timed, func() { _, _ = c.accept(base) }),
			join:   timed(s.timed, func() { _, _ = table.Build(next) }),
			bytes:  2 * float64(c.bytes), // taken once and, on average, given once
			memory: memory,
		}
	}
	base := Line{Role: "configuration reader", Driver: "adapters", Target: targetAdapters, Control: true}
	first := base.of("accept a first table", Processor, joins)
	return fitAll(s.adapters,
		fitting{base.of("accept a change of one adapter", Processor, tableChanges), func(n int) float64 { return costs[n].accept }},
		fitting{first, func(n int) float64 { return costs[n].join }},
		fitting{base.of("take and give a change of one adapter", Bytes, tableChanges), func(n int) float64 { return costs[n].bytes }},
		fitting{base.of("table in force", Memory, 1), func(n int) float64 { return costs[n].memory }},
	), nil
}

// memberLines measures a change of the published list.
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
		memory, _, err := held(func() (*fleet.Fleet, error) { f.PublishInstances(instances); return f, nil })
		if err != nil {
			return nil, err
		}
		runtime.KeepAlive(instances)
		turn := 0
		publish := timed(s.timed, func() {
			turn++ // leave one out, then have it back
			f.PublishInstances(instances[:size-turn%2])
		})
		list, err := json.Marshal(instances)
		if err != nil {
			return nil, err
		}
		costs[size] = cost{publish: publish, refresh: timed(s.timed, f.Refresh), memory: memory, bytes: float64(len(list))}
		runtime.KeepAlive(f)
	}
	base := Line{Role: "membership", Driver: "instances", Target: targetNodes, Control: true}
	return fitAll(s.instances,
		fitting{base.of("take a published list", Processor, memberChanges), func(n int) float64 { return costs[n].publish }},
		fitting{base.of("read a published list", Bytes, memberChanges), func(n int) float64 { return costs[n].bytes }},
		fitting{base.of("let silence take effect", Processor, heartbeats), func(n int) float64 { return costs[n].refresh }},
		fitting{base.of("list and owners", Memory, 1), func(n int) float64 { return costs[n].memory }},
	), nil
}

// publishedInstances spreads instances over the data centres.
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

// ownerLines measures a tick of an owner's workers, and what queued requests
// cost.
func (s Sizes) ownerLines() ([]Line, error) {
	tick := Line{Role: "owner", Cost: "tick of idle workers", Kind: Processor, Driver: "workers owned", Target: workersPerNode, PerSecond: ticks, Control: true}
	tick, err := tick.measure(s.owned, func(n int) (float64, error) {
		workers := make([]*residency.Worker, n)
		for i := range workers {
			workers[i] = busyWorker(0)
		}
		now := time.Duration(0)
		return timed(s.timed, func() {
			now += time.Second / ticks
			for _, w := range workers {
				w.Step(now, residency.Tick{})
			}
		}), nil
	})
	if err != nil {
		return nil, err
	}
	memory := Line{Role: "owner", Cost: "workers", Kind: Memory, Driver: "workers owned", Target: workersPerNode, PerSecond: 1, Control: true}
	memory, err = memory.measure(s.owned, func(n int) (float64, error) {
		size, workers, err := held(func() ([]*residency.Worker, error) {
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
	waiting := Line{Role: "owner", Cost: "tick of a worker with a queue", Kind: Processor, Driver: "requests that wait", Target: queueLimit, PerSecond: ticks * workersPerNode}
	waiting, err = waiting.measure(s.waiting, func(n int) (float64, error) {
		w := busyWorker(n)
		return timed(s.timed, func() { w.Step(0, residency.Tick{}) }), nil
	})
	return []Line{tick, memory, waiting}, err
}

// busyWorker returns a worker with full slots, a full batch and a queue.
func busyWorker(waiting int) *residency.Worker {
	policy := residency.DefaultConfig(slotsPerWorker, batchPerWorker)
	policy.Queue.Limit = queueLimit
	w := residency.NewWorker("worker", policy)
	adapters := resident(0, slotsPerWorker)
	for i := range batchPerWorker + waiting {
		adapter := adapters[i%slotsPerWorker]
		w.Step(0, residency.Arrive{Request: admission.Request{ID: uint64(i), Adapter: adapter, Rank: table.Normal, Deadline: time.Hour}})
		w.Step(0, residency.Loaded{Adapter: adapter})
	}
	return w
}

// ingressLines measures the choice of a worker for one request.
func (s Sizes) ingressLines() ([]Line, error) {
	line := Line{Role: "entry ingress", Cost: "choose a worker", Kind: Processor, Driver: "workers of the pool", Target: targetWorkers / targetBaseModels, PerSecond: requestsPerSecond / targetNodes}
	line, err := line.measure(s.workers, func(n int) (float64, error) {
		t, err := buildTable(tableSpec{adapters: 1, workers: n, dataCentres: targetDataCentres})
		if err != nil {
			return 0, err
		}
		f := fleet.New("entry-0000", dataCentreName(0))
		f.Offer(t)
		picker := placement.NewPicker(placement.DefaultConfig())
		adapter := resident(0, 1)[0]
		query := placement.Query{
			Adapter:    adapter,
			DataCentre: f.DataCentre(),
			Region:     t.RegionOf(f.DataCentre()),
			RegionOf:   t.RegionOf,
			Batch:      batchPerWorker,
		}
		return timed(s.timed, func() { picker.Pick(query, f.Candidates(t.Pools[poolName], adapter)) }), nil
	})
	return []Line{line}, err
}
