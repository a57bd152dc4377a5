package keyscope

import (
	"fmt"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
)

// Result summarises the outcomes of the orders of one run.
type Result struct {
	Fault Fault  `json:"fault"`
	Scope string `json:"scope"`
	// Orders is the number of orders that ended.
	Orders int `json:"orders"`
	// Refused is the share of the orders that were not run, and Unknown the share
	// that may have run, both from 0 to 1.
	Refused float64 `json:"refused"`
	Unknown float64 `json:"unknown"`
}

// Run simulates a scope under a recurring fault. It returns an error if any key
// ran more than once.
func Run(scope Scope, fault Fault) (Result, error) {
	f := newFleet(scope)
	repairAt := time.Duration(-1)
	for ; f.now < Duration; f.now += stepInterval {
		for _, r := range f.rights {
			f.renewOrClaim(r)
		}
		if f.now == repairAt {
			f.repairAll()
		}
		if f.now > 0 && f.now%faultInterval == 0 {
			repairAt = f.now + f.inject(fault)
		}
		f.sendDue()
	}
	for key, runs := range f.runsByKey {
		if runs > 1 {
			return Result{}, fmt.Errorf("scope %q, fault %q: key %s ran %d times", scope.Name, fault, key, runs)
		}
	}
	orders := f.outcomes[attempt.Served] + f.outcomes[attempt.NotRun] + f.outcomes[attempt.Unknown]
	return Result{
		Fault:   fault,
		Scope:   scope.Name,
		Orders:  orders,
		Refused: float64(f.outcomes[attempt.NotRun]) / float64(orders),
		Unknown: float64(f.outcomes[attempt.Unknown]) / float64(orders),
	}, nil
}

// repairAll ends the current fault.
func (f *fleet) repairAll() {
	for _, repair := range f.repairs {
		repair()
	}
	f.repairs = nil
	f.partitioned = noPartition
}

// inject starts a fault at a random instance and returns how long it lasts.
func (f *fleet) inject(fault Fault) time.Duration {
	target := f.instances[f.random.IntN(len(f.instances))]
	switch fault {
	case Kill:
		f.stop(target)
	case PlannedStop:
		f.handOver(target)
		f.stop(target)
	case Freeze:
		target.frozen = true
		f.repairs = append(f.repairs, func() { target.frozen = false })
	case DataCentreCut:
		f.partitioned = func(a, b *instance) bool {
			return (a.dataCentre == target.dataCentre) != (b.dataCentre == target.dataCentre)
		}
		return partitionDuration
	case RegionCut:
		f.partitioned = func(a, b *instance) bool { return regionOf[a.dataCentre] != regionOf[b.dataCentre] }
		return partitionDuration
	case DataCentreLost:
		for _, i := range f.instances {
			if i.dataCentre == target.dataCentre {
				f.stop(i)
			}
		}
		return partitionDuration
	}
	return outageDuration
}

// stop ends an instance; the repair starts a new one with an empty record.
func (f *fleet) stop(i *instance) {
	i.dead = true
	f.repairs = append(f.repairs, func() { f.restart(i) })
}

// handOver passes every right of a leaving instance to the first other instance
// of the ranking that is not dead.
func (f *fleet) handOver(from *instance) {
	for id, r := range f.rights {
		if r.holder != from {
			continue
		}
		for _, to := range r.ranking {
			if to != from && !to.dead {
				f.transferRight(id, r, to)
				break
			}
		}
	}
}

// transferRight moves a right and the key records of its shard to another
// instance.
func (f *fleet) transferRight(id shardID, r *right, to *instance) {
	from := r.holder
	handOver := from.record.HandOver(f.now-from.startedAt, id.shard, wallClockStart+f.now, r.heldSince-from.startedAt)
	r.holder, r.heldSince, r.expiresAt = to, f.now, f.now+leaseTTL
	to.record.Step(f.now-to.startedAt, attempt.Inherited{HeldSince: r.heldSince - to.startedAt, HandOver: handOver})
}
