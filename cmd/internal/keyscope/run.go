package keyscope

import (
	"fmt"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
)

// Result is what became of the orders of one run.
type Result struct {
	Fault Fault  `json:"fault"`
	Scope string `json:"scope"`
	// Orders is the number of orders that came to an end.
	Orders int `json:"orders"`
	// Refused and Unknown are shares of the orders.
	Refused float64 `json:"refused"`
	Unknown float64 `json:"unknown"`
}

// Run measures a scope under a fault. It fails when a key has run twice.
func Run(scope Scope, fault Fault) (Result, error) {
	f := newFleet(scope)
	mendAt := time.Duration(-1)
	for ; f.now < Duration; f.now += stepTime {
		for _, r := range f.rights {
			f.renew(r)
		}
		if f.now == mendAt {
			f.mendAll()
		}
		if f.now > 0 && f.now%faultInterval == 0 {
			mendAt = f.now + f.begin(fault)
		}
		f.attend()
	}
	for key, runs := range f.runs {
		if runs > 1 {
			return Result{}, fmt.Errorf("%s, %s: key %s ran %d times", scope.Name, fault, key, runs)
		}
	}
	orders := f.tally[attempt.Served] + f.tally[attempt.NotRun] + f.tally[attempt.Unknown]
	return Result{
		Fault:   fault,
		Scope:   scope.Name,
		Orders:  orders,
		Refused: float64(f.tally[attempt.NotRun]) / float64(orders),
		Unknown: float64(f.tally[attempt.Unknown]) / float64(orders),
	}, nil
}

func (f *fleet) mendAll() {
	for _, mend := range f.mend {
		mend()
	}
	f.mend = nil
	f.cut = connected
}

// begin causes a fault and returns how long it lasts.
func (f *fleet) begin(fault Fault) time.Duration {
	hit := f.instances[f.random.IntN(len(f.instances))]
	switch fault {
	case Kill:
		f.stop(hit)
	case PlannedStop:
		f.handOver(hit)
		f.stop(hit)
	case Freeze:
		hit.frozen = true
		f.mend = append(f.mend, func() { hit.frozen = false })
	case DataCentreCut:
		f.cut = func(a, b *instance) bool {
			return (a.dataCentre == hit.dataCentre) != (b.dataCentre == hit.dataCentre)
		}
		return cutTime
	case RegionCut:
		f.cut = func(a, b *instance) bool { return regionOf[a.dataCentre] != regionOf[b.dataCentre] }
		return cutTime
	case DataCentreLost:
		for _, i := range f.instances {
			if i.dataCentre == hit.dataCentre {
				f.stop(i)
			}
		}
		return cutTime
	}
	return awayTime
}

// stop ends an instance; mending starts a new one without memory.
func (f *fleet) stop(i *instance) {
	i.dead = true
	f.mend = append(f.mend, func() { f.restart(i) })
}

// handOver passes every right of a leaving instance to the next in order.
func (f *fleet) handOver(from *instance) {
	for name, r := range f.rights {
		if r.holder != from {
			continue
		}
		for _, to := range r.order {
			if to != from && !to.dead {
				f.pass(name, r, to)
				break
			}
		}
	}
}

func (f *fleet) pass(name shardName, r *right, to *instance) {
	from := r.holder
	known := from.record.HandOver(f.now-from.booted, name.shard, wallStart+f.now, r.since-from.booted)
	r.holder, r.since, r.until = to, f.now, f.now+leaseTerm
	to.record.Step(f.now-to.booted, attempt.Inherited{HeldSince: r.since - to.booted, HandOver: known})
}
