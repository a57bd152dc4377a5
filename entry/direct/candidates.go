package direct

import (
	"math"
	"strings"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/balance"
	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/coord/slots"
	"github.com/bulrushwick/bulrushwick/coord/worker"
)

// candidates returns the balancer's view of every worker of a service. Workers
// in attemptsByWorker or skippedWorkers are marked to be avoided.
func (f *fleet) candidates(at time.Duration, service routing.Service, r *Request, tried map[string]int, skipped map[string]bool) []balance.Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []balance.Candidate
	for i := range f.workers {
		w := &f.workers[i]
		if w.Service != service.Name {
			continue
		}
		c := f.candidate(at, w, service.Engine, r)
		c.Avoid = tried[w.ID] > 0 || skipped[w.ID]
		c.Usable = c.Usable && f.connectionsInUse(w) < f.connectionLimit(service, w)
		all = append(all, c)
	}
	return all
}

func (f *fleet) candidate(at time.Duration, w *worker.Worker, engine *routing.Engine, r *Request) balance.Candidate {
	c := balance.Candidate{ID: w.ID, Usable: !w.Draining, InScope: f.settings.controlsWorkersOf(w.DataCentre), BatchSize: w.Slots, RTT: f.roundTripTo(w.DataCentre)}
	peerUse := f.sumPeerUses(at)[w.ID]
	addWorkerUse(&c, &peerUse, r.Adapter)
	addWorkerUse(&c, f.ownUses[w.ID], r.Adapter)
	if h := f.health[w.ID]; h != nil {
		c.Suspect = h.Suspect(at)
	}
	if engine != nil {
		c.CacheCapacity = engine.CacheTokens
		f.addResidency(at, &c, w, engine, r)
	}
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
	share /= float64(f.instanceCount)
	return max(1, int(share*float64(service.MaxConnections)))
}

// connectionsInUse counts this instance's requests in progress at a worker;
// each takes one connection.
func (f *fleet) connectionsInUse(w *worker.Worker) int {
	if u := f.ownUses[w.ID]; u != nil {
		return u.running
	}
	return 0
}

func addWorkerUse(c *balance.Candidate, u *workerUse, adapter string) {
	if u == nil {
		return
	}
	c.Running += u.running
	c.WaitingTokens += u.waitingTokens
	c.CacheTokens += u.cacheTokens
	c.AdapterRunning += u.adapters[adapter]
}

// addResidency fills in the model and adapter state of a worker, as sent by the
// instance that controls it, or else from the worker's own entry in the store.
// A recent observation of this instance overrides both.
func (f *fleet) addResidency(at time.Duration, c *balance.Candidate, w *worker.Worker, engine *routing.Engine, r *Request) {
	state, ordered := f.latestSlots(at, w)
	c.Orderable = ordered
	if !ordered {
		state = slotState{usable: r.Model == "" || w.HasModel(r.Model), slots: slotsFromEntry(w, r.Model)}
	}
	c.Usable = c.Usable && state.usable
	peerUse, ownUse := f.sumPeerUses(at)[w.ID], f.ownUses[w.ID]
	c.FreeSlots = max(0, engine.AdapterSlots-len(state.slots))
	for _, s := range state.slots {
		used := peerUse.adapters[s.Adapter] > 0 || ownUse != nil && ownUse.adapters[s.Adapter] > 0
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
	if o, found := f.observations[workerAdapter{w.ID, r.Adapter}]; found && at < o.expiresAt {
		c.Residency = balance.Absent
		if o.present {
			c.Residency = balance.Resident
		}
	}
}

// latestSlots returns the adapter slots as known to the instance that controls
// the worker; false if no current state of this worker process is known.
func (f *fleet) latestSlots(at time.Duration, w *worker.Worker) (slotState, bool) {
	if s, isOwn := f.ownSlots[w.ID]; isOwn && s.born == w.Born {
		return s, true
	}
	s, known := f.peerSlots[w.ID]
	return s, known && s.born == w.Born && at <= s.expiresAt
}

// slotsFromEntry returns the adapters of a model that a worker lists in its
// store entry.
func slotsFromEntry(w *worker.Worker, model string) []slots.Slot {
	var loaded []slots.Slot
	for _, m := range w.Models {
		if m.Name != model {
			continue
		}
		for _, adapter := range m.Adapters {
			loaded = append(loaded, slots.Slot{Adapter: adapterName(adapter), Ready: true})
		}
	}
	return loaded
}

// adapterName returns the NAME of NAME@VERSION.
func adapterName(versioned string) string {
	name, _, _ := strings.Cut(versioned, "@")
	return name
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
