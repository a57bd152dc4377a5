package capacity

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/entry/lease"
)

// leaseTime is how long renewals are counted, a few terms.
const leaseTime = 8 * time.Second

// settlePoll is the interval between looks at whether all leases are held.
const settlePoll = 50 * time.Millisecond

// leaseLines measures the renewal of leases in one data centre. Leases keep real
// time, so this waits until all are held and then for a few terms.
func (s Sizes) leaseLines() ([]Line, error) {
	costs := make(map[int]peerCost)
	for _, size := range s.local {
		cost, err := measureLeases(peerSpec{instances: size, workers: 8, slots: slotsPerWorker}, s.hurry)
		if err != nil {
			return nil, err
		}
		costs[size] = cost
	}
	base := Line{Role: "owner", Driver: "instances of the data centre", Target: targetLocal, Control: true}
	return fitAll(s.local,
		fitting{base.of("renew leases", Bytes, 1), func(n int) float64 { return costs[n].bytes }},
		fitting{base.of("renew leases", Processor, 1), func(n int) float64 { return costs[n].cpu.Seconds() }},
	), nil
}

// measureLeases returns what an instance spends on leases in a second. All times
// are divided by hurry, and the cost with them.
func measureLeases(spec peerSpec, hurry time.Duration) (peerCost, error) {
	f, err := startPeers(spec)
	if err != nil {
		return peerCost{}, err
	}
	defer f.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	keepers, err := f.keep(ctx, hurry)
	if err != nil {
		return peerCost{}, err
	}
	for _, keeper := range keepers {
		for !keeper.Settled() {
			time.Sleep(settlePoll / hurry)
		}
	}
	f.bytes.Store(0)
	cpu, started := processorTime(), time.Now()
	time.Sleep(leaseTime / hurry)
	perNode := time.Since(started).Seconds() * float64(hurry) * float64(spec.instances)
	return peerCost{
		bytes: 2 * float64(f.bytes.Load()) / perNode,
		cpu:   time.Duration(float64(processorTime()-cpu) / perNode),
	}, nil
}

// keep starts a keeper of leases at every instance.
func (f *peerFleet) keep(ctx context.Context, hurry time.Duration) ([]*lease.Keeper, error) {
	keepers := make([]*lease.Keeper, len(f.nodes))
	for i, node := range f.nodes {
		self := lease.NewIncarnation(node.fleet.Self())
		timing := ownership.DefaultConfig(lease.Ordinal(self))
		timing.TTL, timing.Margin = timing.TTL/hurry, timing.Margin/hurry
		timing.ListLag, timing.SoloTTL = timing.ListLag/hurry, timing.SoloTTL/hurry
		config := lease.Config{Lease: timing, RenewEvery: timing.TTL / lease.RenewalsPerLease, Concurrency: callConcurrency}
		keeper, err := lease.NewKeeper(config, self, node.fleet, node.exchange, zerolog.Nop())
		if err != nil {
			return nil, err
		}
		keepers[i], node.keeper = keeper, keeper
	}
	for i, node := range f.nodes {
		node.fleet.RecordListRead(node.fleet.Now())
		go keepers[i].Run(ctx)
	}
	return keepers, nil
}
