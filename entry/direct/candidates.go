package direct

import (
	"math"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/balance"
	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/coord/worker"
)

// candidates returns the balancer's view of every worker of a service. Workers
// in attemptsByWorker or skippedWorkers are marked to be avoided.
func (f *fleet) candidates(at time.Duration, service routing.Service, r *Request, tried map[string]int, skipped map[string]bool) []balance.Candidate {
	workers := f.workers.all()
	all := make([]balance.Candidate, 0, len(workers))
	for i := range workers {
		w := &workers[i]
		if w.Service != service.Name {
			continue
		}
		c := f.candidate(at, w, service, r)
		c.Avoid = tried[w.ID] > 0 || skipped[w.ID]
		all = append(all, c)
	}
	return all
}

func (f *fleet) candidate(at time.Duration, w *worker.Worker, service routing.Service, r *Request) balance.Candidate {
	condition := f.conditions.get(at, w.ID)
	c := balance.Candidate{
		ID: w.ID, Usable: true, InScope: f.settings.controlsWorkersOf(w.DataCentre), BatchSize: w.Slots,
		RTT: f.roundTripTo(w.DataCentre), Suspect: condition.suspect, Pace: condition.pace, HoldOff: condition.holdOff,
	}
	if w.Draining {
		c.MarkUnusable(balance.Draining)
	}
	f.usage.read(at, w.ID, func(peers workerUse, own *workerUse) {
		addWorkerUse(&c, &peers, r.Adapter)
		addWorkerUse(&c, own, r.Adapter)
		c.HeldOffFromPeers = peers.holdOffUntil > at
		if condition.reported {
			c.RemainingTokens = scaleRemaining(c.RemainingTokens, c.Running, condition.inProgress)
			c.Running = max(c.Running, condition.inProgress)
		}
		if own != nil && own.running-own.withoutConnection >= f.connectionLimit(service, w) {
			c.MarkUnusable(balance.ConnectionsUsed)
		}
		if service.Engine != nil {
			c.CacheCapacity = service.Engine.CacheTokens
			f.addResidency(at, &c, w, service.Engine, r, peers, own)
		}
	})
	return c
}

// Shares of the connections that a worker accepts: one for all instances of the
// worker's own cluster, one for all other clusters together. The rest is left
// for instances that join and for connections that are idle or closing.
const (
	ownClusterConnectionShare    = 0.7
	otherClustersConnectionShare = 0.2
)

// connectionLimit returns the number of connections that this instance may have
// to a worker.
func (f *fleet) connectionLimit(service routing.Service, w *worker.Worker) int {
	if service.MaxConnections <= 0 {
		return math.MaxInt
	}
	share := ownClusterConnectionShare
	if !f.settings.controlsWorkersOf(w.DataCentre) {
		share = otherClustersConnectionShare / float64(f.settings.clusterCount()-1)
	}
	share /= float64(f.instanceCount.Load())
	return max(1, int(share*float64(service.MaxConnections)))
}

func addWorkerUse(c *balance.Candidate, u *workerUse, adapter string) {
	if u == nil {
		return
	}
	c.Running += u.running
	c.WaitingTokens += u.waitingTokens
	c.CacheTokens += u.cacheTokens
	c.RemainingTokens += u.remainingTokens
	c.AdapterRunning += u.adapters[adapter]
}

// scaleRemaining returns the remaining tokens of all requests that a worker reports.
// Those that no heartbeat has told of yet count as much as the known ones.
func scaleRemaining(remaining, known, reported int) int {
	if known <= 0 || reported <= known {
		return remaining
	}
	return remaining * reported / known
}

// addResidency fills in the model and adapter state of a worker, as sent by the
// instance that controls it, or else from the worker's own entry in the store.
// A recent observation of this instance overrides both.
func (f *fleet) addResidency(at time.Duration, c *balance.Candidate, w *worker.Worker, engine *routing.Engine, r *Request, peers workerUse, own *workerUse) {
	state, ordered := f.residency.latest(at, w)
	c.Orderable = ordered
	if !ordered {
		state = slotState{usable: r.Model == "" || w.HasModel(r.Model), slots: slotsFromEntry(w, r.Model)}
	}
	if !state.usable {
		c.MarkUnusable(balance.ModelMissing)
	}
	c.FreeSlots = max(0, engine.AdapterSlots-len(state.slots))
	for _, s := range state.slots {
		used := peers.adapters[s.Adapter] > 0 || own != nil && own.adapters[s.Adapter] > 0
		if !used && s.Ready {
			c.IdleSlots++
		}
		if s.Adapter == r.Adapter {
			c.Residency = balance.Loading
			if s.Ready {
				c.Residency = balance.Resident
			}
		}
	}
	if present, known := f.residency.observed(at, w.ID, r.Adapter); known {
		c.Residency = balance.Absent
		if present {
			c.Residency = balance.Resident
		}
	}
}

// roundTripTo returns the expected round-trip time to a worker in a data
// centre.
func (f *fleet) roundTripTo(dataCentre string) time.Duration {
	switch {
	case dataCentre == f.settings.DataCentre:
		return 0
	case f.settings.DataCentres[dataCentre] == f.settings.Region:
		return sameRegionRTT
	}
	return crossRegionRTT
}
