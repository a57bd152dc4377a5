package direct

import (
	"context"
	"errors"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/quorum"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/decision"
)

// Outgoing implements cluster.Local.
func (i *Instance) Outgoing(beat *clusterpb.BeatRequest) { i.fleet.outgoing(beat) }

// Incoming implements cluster.Local.
func (i *Instance) Incoming(at time.Duration, from string, beat *clusterpb.BeatRequest) {
	i.fleet.heard(at, from, beat)
}

// PeerVersion implements cluster.Local: a newer configuration is fetched.
func (i *Instance) PeerVersion(from string, version uint64) {
	if version <= i.gateway.version() {
		return
	}
	i.fetchMu.Lock()
	defer i.fetchMu.Unlock()
	if i.fetching {
		return
	}
	i.fetching = true
	go i.fetch(from)
}

func (i *Instance) fetch(from string) {
	defer func() {
		i.fetchMu.Lock()
		defer i.fetchMu.Unlock()
		i.fetching = false
	}()
	state, err := i.cluster.FetchState(context.Background(), from, i.gateway.version())
	if err != nil {
		i.log.Warn(decision.ConfigRejected, err).Str("source", from).Send()
		return
	}
	if len(state.GetConfig()) > 0 {
		i.accept(state.GetConfig(), from)
	}
}

// LoadAdapter implements cluster.Local.
func (i *Instance) LoadAdapter(ctx context.Context, in *clusterpb.LoadAdapterRequest) (*clusterpb.LoadAdapterResponse, error) {
	wait := time.Duration(in.GetWaitNs())
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ready, reason := i.orders.load(ctx, loadWant{
		worker: in.GetWorker(), born: in.GetBorn(), adapter: in.GetAdapter(), rank: int(in.GetRank()) + resumeRank,
		until: now() + wait, missing: in.GetMissing(),
	})
	return &clusterpb.LoadAdapterResponse{Ready: ready, Reason: reason}, nil
}

// State implements cluster.Local.
func (i *Instance) State(version uint64) *clusterpb.FetchStateResponse {
	own, document := i.fleet.published()
	response := &clusterpb.FetchStateResponse{ConfigVersion: own}
	if own > version {
		response.Config = document
	}
	return response
}

// RightsChanged implements cluster.Local.
func (i *Instance) RightsChanged(at time.Duration, actions []quorum.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case quorum.Acquired:
			i.log.Line(decision.RightAcquired).Str("right", a.Right).Uint64("fence", a.Fence).Dur("clear_in_ms", a.ClearAt-at).Send()
		case quorum.Lost:
			i.log.Line(decision.RightLost).Str("right", a.Right).Send()
		case quorum.MemberChanged:
			i.log.Line(decision.MemberChanged).Str("member", a.Member.Address).Str("change", a.Reason).
				Uint64("incarnation", a.Member.Incarnation).Send()
		}
	}
}

// Config implements DirectorySink.
func (i *Instance) Config(document []byte) { i.accept(document, "store") }

func (i *Instance) accept(document []byte, source string) {
	config, err := i.ports.Codec.DecodeConfig(document)
	if err != nil {
		i.log.Warn(decision.ConfigRejected, err).Str("source", source).Send()
		return
	}
	if !i.fleet.offer(config, document) {
		return
	}
	i.log.Line(decision.ConfigAccepted).Uint64("config", config.Version).Str("source", source).Int("routes", len(config.Routes)).
		Int("services", len(config.Services)).Send()
}

// Workers implements DirectorySink.
func (i *Instance) Workers(entries []worker.Entry, at uint64) {
	i.workersChanged(i.fleet.changeWorkers(func(r *worker.Registry) []worker.News { return r.Replace(now(), entries, at) }))
}

// WorkerPut implements DirectorySink.
func (i *Instance) WorkerPut(w worker.Worker, revision uint64) {
	i.workersChanged(i.fleet.changeWorkers(func(r *worker.Registry) []worker.News { return r.Put(w, revision) }))
}

// WorkerDeleted implements DirectorySink.
func (i *Instance) WorkerDeleted(id string, revision uint64) {
	i.workersChanged(i.fleet.changeWorkers(func(r *worker.Registry) []worker.News { return r.Delete(now(), id, revision) }))
}

func tickRegistry(r *worker.Registry) []worker.News { return r.Tick(now()) }

// workersChanged logs news of workers and closes connections to those that are
// gone: their addresses may be given to others.
func (i *Instance) workersChanged(news []worker.News) {
	for _, n := range news {
		if n.Change == worker.Gone || n.Change == worker.Restarted {
			i.gateway.pool.Forget(n.Worker.Address)
		}
		if n.Change != worker.Updated {
			i.log.Line(decision.WorkerChanged).Str("worker", n.Worker.ID).Str("service", n.Worker.Service).Str("change", n.Change.String()).
				Str("address", n.Worker.Address).Int64("born", n.Worker.Born).Int("models", len(n.Worker.Models)).Send()
		}
	}
}

// AdapterVersion implements DirectorySink.
func (i *Instance) AdapterVersion(model, adapter string, version int64) {
	i.fleet.setVersion(model, adapter, version)
}

// EntryRejected implements DirectorySink.
func (i *Instance) EntryRejected(key string, err error) {
	i.log.Warn(decision.EntryRejected, err).Str("key", key).Send()
}

// Lost implements DirectorySink.
func (i *Instance) Lost(err error) {
	i.fleet.changeWorkers(func(r *worker.Registry) []worker.News { r.StoreLost(); return nil })
	if !errors.Is(err, context.Canceled) {
		i.log.Warn(decision.StoreLost, err).Send()
	}
}

// Returned implements DirectorySink.
func (i *Instance) Returned() {
	i.fleet.changeWorkers(func(r *worker.Registry) []worker.News { r.StoreReturned(now()); return nil })
	i.log.Line(decision.StoreReturned).Send()
}
