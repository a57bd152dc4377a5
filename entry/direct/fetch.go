package direct

import (
	"context"
	"sync"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/revision"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/decision"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
)

// Limits on fetches of state from peers.
const (
	// maxFetches bounds the fetches in progress; each may transfer a whole
	// configuration.
	maxFetches = 3
	// fetchHedgeDelay is how long the latest fetch may take before another peer
	// is asked: several times what a large configuration takes over a slow link.
	fetchHedgeDelay = 400 * time.Millisecond
)

// fetchLimiter decides which peers are asked for state. It is safe for concurrent
// use.
type fetchLimiter struct {
	mu sync.Mutex
	// inProgress holds the peers that are being asked.
	inProgress map[string]bool
	latestAt   time.Duration
}

func newFetchLimiter() *fetchLimiter { return &fetchLimiter{inProgress: make(map[string]bool)} }

// begin reports whether a fetch from peer may start now; end must be called after
// it then.
func (l *fetchLimiter) begin(at time.Duration, peer string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	running := len(l.inProgress)
	if l.inProgress[peer] || running >= maxFetches || running > 0 && at-l.latestAt < fetchHedgeDelay {
		return false
	}
	l.inProgress[peer], l.latestAt = true, at
	return true
}

func (l *fetchLimiter) end(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inProgress, peer)
}

// startFetch fetches a newer configuration, and the directory if asked to, from a
// peer in the background, unless the limits on fetches forbid it.
func (i *Instance) startFetch(peer string, directory bool) {
	if !i.fetches.begin(now(), peer) {
		return
	}
	go func() {
		defer i.fetches.end(peer)
		recovery.Run(i.gateway.reportPanic, "fetch", func() { i.fetch(peer, directory) })
	}()
}

func (i *Instance) fetch(peer string, directory bool) {
	began := now()
	request := &clusterpb.FetchStateRequest{ConfigVersion: i.gateway.configVersion(), Directory: directory}
	state, err := i.cluster.FetchState(context.Background(), peer, request)
	if err != nil {
		i.log.Warn(decision.ConfigRejected, err).Str(decision.FieldSource, peer).Dur(decision.FieldTookMS, now()-began).Send()
		return
	}
	if len(state.GetConfig()) > 0 {
		i.acceptCompressedConfig(state.GetConfig(), peer)
	}
	if directory {
		i.replaceListing(state)
	}
}

// replaceListing replaces the known workers by a reader's whole listing.
func (i *Instance) replaceListing(state *clusterpb.FetchStateResponse) {
	listed := make(map[string]bool)
	var newest revision.Version
	for _, entry := range state.GetWorkers() {
		listed[entry.GetId()] = true
		newest = revision.Latest(newest, revision.Decode(entry.GetRevision()))
	}
	i.applyEntries(state.GetWorkers(), state.GetVersions())
	for _, w := range i.fleet.workers.all() {
		if !listed[w.ID] {
			i.handleWorkerChanges(i.fleet.changeWorkers(func(r *worker.Registry) []worker.Event { return r.DeleteFromPeer(w.ID, newest) }))
		}
	}
}
