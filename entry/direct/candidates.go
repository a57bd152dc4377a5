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

// candidates lists the workers of a service as the balancer takes them.
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
		c.Usable = c.Usable && f.connections(w) < f.connectionShare(service, w)
		all = append(all, c)
	}
	return all
}

func (f *fleet) candidate(at time.Duration, w *worker.Worker, engine *routing.Engine, r *Request) balance.Candidate {
	c := balance.Candidate{ID: w.ID, Usable: !w.Draining, InScope: f.settings.orders(w.DataCentre), BatchSize: w.Slots, RTT: f.distance(w.DataCentre)}
	others := f.othersUses(at)[w.ID]
	addUse(&c, &others, r.Adapter)
	addUse(&c, f.own[w.ID], r.Adapter)
	if h := f.health[w.ID]; h != nil {
		c.Suspect = h.Suspect(at)
	}
	if engine != nil {
		c.CacheCapacity = engine.CacheTokens
		f.addResidency(at, &c, w, engine, r)
	}
	return c
}

// Shares of the connections that a worker accepts. Instances that join, and
// connections that are kept or being closed, need the rest.
const (
	clusterConnections = 0.7
	othersConnections  = 0.2
)

// connectionShare is how many connections this instance may have to a worker.
func (f *fleet) connectionShare(service routing.Service, w *worker.Worker) int {
	if service.MaxConnections <= 0 {
		return math.MaxInt
	}
	part := clusterConnections
	if !f.settings.orders(w.DataCentre) {
		part = othersConnections / float64(f.settings.clusters()-1)
	}
	part /= float64(f.instances)
	return max(1, int(part*float64(service.MaxConnections)))
}

// connections counts the requests in progress at a worker from this instance.
func (f *fleet) connections(w *worker.Worker) int {
	if u := f.own[w.ID]; u != nil {
		return u.running
	}
	return 0
}

func addUse(c *balance.Candidate, u *use, adapter string) {
	if u == nil {
		return
	}
	c.Running += u.running
	c.WaitingTokens += u.waitingTokens
	c.CacheTokens += u.cacheTokens
	c.AdapterRunning += u.adapters[adapter]
}

// addResidency fills in what the worker holds: from the instance that orders it, or
// else from the worker's own entry in the store.
func (f *fleet) addResidency(at time.Duration, c *balance.Candidate, w *worker.Worker, engine *routing.Engine, r *Request) {
	news, ordered := f.slotNews(at, w)
	c.Orderable = ordered
	if !ordered {
		news = slotNews{usable: r.Model == "" || w.HasModel(r.Model), slots: entrySlots(w, r.Model)}
	}
	c.Usable = c.Usable && news.usable
	others, own := f.othersUses(at)[w.ID], f.own[w.ID]
	c.FreeSlots = max(0, engine.AdapterSlots-len(news.slots))
	for _, s := range news.slots {
		used := others.adapters[s.Adapter] > 0 || own != nil && own.adapters[s.Adapter] > 0
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
	if n, found := f.notes[adapterAt{w.ID, r.Adapter}]; found && at < n.until {
		c.Residency = balance.Absent
		if n.present {
			c.Residency = balance.Resident
		}
	}
}

// slotNews returns the newest word of an instance that orders the worker.
func (f *fleet) slotNews(at time.Duration, w *worker.Worker) (slotNews, bool) {
	if s, mine := f.mine[w.ID]; mine && s.born == w.Born {
		return s, true
	}
	s, told := f.told[w.ID]
	return s, told && s.born == w.Born && at <= s.until
}

// entrySlots reads the adapters of a model from a worker's own entry.
func entrySlots(w *worker.Worker, model string) []slots.Slot {
	var held []slots.Slot
	for _, m := range w.Models {
		if m.Name != model {
			continue
		}
		for _, adapter := range m.Adapters {
			held = append(held, slots.Slot{Adapter: adapterName(adapter), Ready: true})
		}
	}
	return held
}

// adapterName strips the version of NAME@VERSION.
func adapterName(listed string) string {
	name, _, _ := strings.Cut(listed, "@")
	return name
}

// distance is the time to a worker of a data centre and back.
func (f *fleet) distance(dataCentre string) time.Duration {
	switch {
	case dataCentre == f.settings.DataCentre:
		return 0
	case f.settings.DataCentres[dataCentre] == f.settings.Region:
		return neighbourRTT
	}
	return remoteRTT
}
