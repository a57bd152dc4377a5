package direct

import (
	"sync/atomic"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/balance"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
)

// Round-trip times by distance: twice the one-way times in the operators'
// specification.
const (
	sameRegionRTT  = 3 * time.Millisecond
	crossRegionRTT = 40 * time.Millisecond
)

// fleet is what an instance believes of the configuration, the workers and its
// peers. Each part owns one belief with its rules of ageing and its own lock; the
// fleet combines them. It is safe for concurrent use.
type fleet struct {
	settings Settings
	balance  balance.Config

	config     *configuration
	workers    *knownWorkers
	conditions *conditions
	usage      *usage
	costs      *costs
	residency  *residency
	versions   *adapterVersions
	demand     *demand
	// organisations holds the work of organisations; it is empty without them.
	organisations *organisations
	bodies        *workerBodies
	// instanceCount is the number of instances in the cluster, this one
	// included.
	instanceCount atomic.Int64
}

func newFleet(s Settings) *fleet {
	f := &fleet{
		settings: s, balance: balance.DefaultConfig(), config: &configuration{}, workers: newKnownWorkers(worker.DefaultConfig(s.WorkerHeartbeat.Std())), conditions: newConditions(),
		usage: newUsage(), costs: newCosts(s.LearnedCost), residency: newResidency(), versions: newAdapterVersions(), demand: newDemand(s), organisations: newOrganisations(s),
		bodies: newWorkerBodies(s.MaxWorkerBodyMB),
	}
	f.usage.agePrompts = s.LearnedCost
	f.setInstanceCount(1)
	return f
}

// changeWorkers applies change to the registry and drops what is believed of
// workers that are gone or restarted.
func (f *fleet) changeWorkers(change func(*worker.Registry) []worker.Event) []worker.Event {
	events := f.workers.change(change)
	for _, e := range events {
		if e.Change == worker.Gone || e.Change == worker.Restarted {
			f.conditions.forget(e.Worker.ID)
			f.costs.forget(e.Worker.ID)
			f.residency.forget(e.Worker.ID)
		}
		if e.Change == worker.Gone {
			f.usage.forget(e.Worker.ID)
		}
	}
	return events
}

// setInstanceCount sets the number of instances in the cluster, at least 1.
func (f *fleet) setInstanceCount(count int) { f.instanceCount.Store(int64(max(count, 1))) }

// beginAttempt counts an attempt as in progress at a worker until end is called on
// the result. outputTokens is the expected length of the response, and work the expected
// time at the worker. The request's body must have been counted at the worker.
func (f *fleet) beginAttempt(id string, r *Request, outputTokens float64, work time.Duration) *attemptUse {
	f.conditions.sent(id)
	endWork := f.organisations.begin(f.config.table(), r, work)
	return f.usage.begin(id, r.Adapter, r.PromptTokens, r.PromptTokens+r.OutputTokens, outputTokens, func() {
		f.bodies.end(id, len(r.Body))
		f.conditions.ended(id)
		endWork()
	})
}

// claim reports whether a worker process may be sent a request at this moment. What
// is known of it may have changed since it was chosen.
func (f *fleet) claim(at time.Duration, w worker.Worker) bool {
	current, known := f.workers.find(w.ID)
	return known && !current.Draining && f.conditions.claim(at, w.ID)
}

// applyPeerUpdate stores the worker use and slots that a peer sent with a
// heartbeat.
func (f *fleet) applyPeerUpdate(at time.Duration, peer string, update *clusterpb.News) {
	f.usage.apply(at, peer, update)
	f.costs.applyPeer(at, peer, update)
	f.organisations.apply(at, peer, update)
	f.residency.apply(at, update)
}

// directoryDigest returns a hash of the workers and adapter versions read from
// the store.
func (f *fleet) directoryDigest() uint64 {
	return f.workers.digest() ^ f.versions.hash()
}
