package capacity

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/entry/lease"
)

// leaseMeasureDuration is how long renewals are measured, a few lease durations.
const leaseMeasureDuration = 8 * time.Second

// settlePollInterval is the interval between checks whether all leases are held.
const settlePollInterval = 50 * time.Millisecond

// leaseLines measures the renewal of leases in one data centre. Leases run in real
// time, so it waits until all are held and then for a few lease durations.
func (s Sizes) leaseLines() ([]Line, error) {
	costs := make(map[int]peerCost)
	for _, size := range s.localInstances {
		cost, err := measureLeases(peerSpec{instances: size, workers: 8, slots: slotsPerWorker}, s.speedup)
		if err != nil {
			return nil, err
		}
		costs[size] = cost
	}
	base := Line{Role: "owner", Driver: "instances of the data centre", Target: targetLocalInstances, Control: true}
	return fitAll(s.localInstances,
		lineCost{base.withCost("renew leases", Bytes, 1), func(n int) float64 { return costs[n].bytes }},
		lineCost{base.withCost("renew leases", Processor, 1), func(n int) float64 { return costs[n].cpu.Seconds() }},
	), nil
}

// measureLeases returns the cost of leases per instance and second. All times are
// divided by speedup; the cost is scaled back to real time.
func measureLeases(spec peerSpec, speedup time.Duration) (peerCost, error) {
	f, err := startPeers(spec)
	if err != nil {
		return peerCost{}, err
	}
	defer f.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	keepers, err := f.startKeepers(ctx, speedup)
	if err != nil {
		return peerCost{}, err
	}
	for _, keeper := range keepers {
		for !keeper.Settled() {
			time.Sleep(settlePollInterval / speedup)
		}
	}
	f.bytes.Store(0)
	cpuBefore, started := cpuTime(), time.Now()
	time.Sleep(leaseMeasureDuration / speedup)
	instanceSeconds := time.Since(started).Seconds() * float64(speedup) * float64(spec.instances)
	return peerCost{
		bytes: 2 * float64(f.bytes.Load()) / instanceSeconds,
		cpu:   time.Duration(float64(cpuTime()-cpuBefore) / instanceSeconds),
	}, nil
}

// startKeepers starts a lease keeper at every instance, with all lease times
// divided by speedup.
func (f *peerFleet) startKeepers(ctx context.Context, speedup time.Duration) ([]*lease.Keeper, error) {
	keepers := make([]*lease.Keeper, len(f.peers))
	for i, p := range f.peers {
		self := lease.NewIncarnation(p.fleet.Self())
		timing := ownership.DefaultConfig(lease.Ordinal(self))
		timing.TTL, timing.Margin = timing.TTL/speedup, timing.Margin/speedup
		timing.ListLag, timing.SoloTTL = timing.ListLag/speedup, timing.SoloTTL/speedup
		config := lease.Config{Lease: timing, RenewEvery: timing.TTL / lease.RenewalsPerLease, Concurrency: callConcurrency}
		keeper, err := lease.NewKeeper(config, self, p.fleet, p.exchange, zerolog.Nop())
		if err != nil {
			return nil, err
		}
		keepers[i], p.keeper = keeper, keeper
	}
	for i, p := range f.peers {
		p.fleet.RecordListRead(p.fleet.Now())
		go keepers[i].Run(ctx)
	}
	return keepers, nil
}
