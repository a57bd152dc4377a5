package direct

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/quorum"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/decision"
)

// Outgoing implements cluster.Local.
func (i *Instance) Outgoing() *clusterpb.News {
	news := i.news()
	i.fleet.addOwnUses(news)
	return news
}

// Reply implements cluster.Local.
func (i *Instance) Reply(at time.Duration, to string) *clusterpb.News {
	news := i.news()
	held := setOf(i.cluster.HeldRights())
	i.fleet.addOthersUses(at, news, to, func(w *worker.Worker) bool { return held[rightOf(w)] })
	return news
}

// news is what goes with beats and with answers to them alike.
func (i *Instance) news() *clusterpb.News {
	news := &clusterpb.News{DirectoryDigest: i.fleet.digest()}
	i.fleet.addSlots(news)
	i.shared.outgoing(now(), news)
	return news
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}

// Incoming implements cluster.Local.
func (i *Instance) Incoming(at time.Duration, from string, news *clusterpb.News) {
	i.fleet.heard(at, from, news)
	i.learn(news.GetWorkers(), news.GetVersions())
	if i.shared.heard(at, from, news, i.fleet.digest()) {
		i.fetchFrom(from, true)
	}
}

// learn takes news that a reader of the store passed on.
func (i *Instance) learn(workers []*clusterpb.WorkerEntry, versions []*clusterpb.AdapterVersion) {
	for _, entry := range workers {
		i.workersChanged(i.fleet.changeWorkers(func(r *worker.Registry) []worker.Event {
			if entry.GetGone() {
				return r.DeleteFromPeer(entry.GetId(), entry.GetRevision())
			}
			return r.PutFromPeer(decodeWorker(entry), entry.GetRevision())
		}))
	}
	for _, v := range versions {
		i.fleet.setVersion(v.GetModel(), v.GetAdapter(), v.GetVersion())
	}
}

// PeerVersion implements cluster.Local: a newer configuration is fetched.
func (i *Instance) PeerVersion(from string, version uint64) {
	if version > i.gateway.version() {
		i.fetchFrom(from, false)
	}
}

// Version implements cluster.Local.
func (i *Instance) Version() uint64 { return i.gateway.version() }

// fetchFrom fetches what this instance lacks from a peer, one fetch at a time.
func (i *Instance) fetchFrom(from string, directory bool) {
	i.fetchMu.Lock()
	defer i.fetchMu.Unlock()
	if i.fetching {
		return
	}
	i.fetching = true
	go i.fetch(from, directory)
}

func (i *Instance) fetch(from string, directory bool) {
	defer func() {
		i.fetchMu.Lock()
		defer i.fetchMu.Unlock()
		i.fetching = false
	}()
	request := &clusterpb.FetchStateRequest{ConfigVersion: i.gateway.version(), Directory: directory}
	state, err := i.cluster.FetchState(context.Background(), from, request)
	if err != nil {
		i.log.Warn(decision.ConfigRejected, err).Str(decision.FieldSource, from).Send()
		return
	}
	if len(state.GetConfig()) > 0 {
		i.acceptPacked(state.GetConfig(), from)
	}
	if directory {
		i.adopt(state)
	}
}

// adopt takes a reader's whole listing in place of the own.
func (i *Instance) adopt(state *clusterpb.FetchStateResponse) {
	listed := make(map[string]bool)
	newest := uint64(0)
	for _, entry := range state.GetWorkers() {
		listed[entry.GetId()] = true
		newest = max(newest, entry.GetRevision())
	}
	i.learn(state.GetWorkers(), state.GetVersions())
	for _, w := range i.fleet.allWorkers() {
		if !listed[w.ID] {
			i.workersChanged(i.fleet.changeWorkers(func(r *worker.Registry) []worker.Event { return r.DeleteFromPeer(w.ID, newest) }))
		}
	}
}

// LoadAdapter implements cluster.Local.
func (i *Instance) LoadAdapter(ctx context.Context, in *clusterpb.LoadAdapterRequest) (*clusterpb.LoadAdapterResponse, error) {
	wait := time.Duration(in.GetWaitNs())
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	began := now()
	ready, reason := i.orders.load(ctx, loadWant{
		worker: in.GetWorker(), born: in.GetBorn(), adapter: in.GetAdapter(), rank: int(in.GetRank()) + resumeRank,
		until: began + wait, missing: in.GetMissing(),
	})
	i.log.Line(decision.LoadServed).Str(decision.FieldRequest, in.GetRequestId()).Str(decision.FieldWorker, in.GetWorker()).
		Str(decision.FieldAdapter, in.GetAdapter()).Bool(decision.FieldReady, ready).Str(decision.FieldReason, reason).
		Int(decision.FieldWaiting, i.orders.waiting(in.GetWorker(), in.GetBorn())).Dur(decision.FieldTookMS, now()-began).Send()
	return &clusterpb.LoadAdapterResponse{Ready: ready, Reason: reason}, nil
}

// State implements cluster.Local.
func (i *Instance) State(in *clusterpb.FetchStateRequest) *clusterpb.FetchStateResponse {
	own := i.gateway.version()
	response := &clusterpb.FetchStateResponse{ConfigVersion: own}
	if own > in.GetConfigVersion() {
		response.Config = i.fleet.packedDocument()
	}
	if in.GetDirectory() {
		response.Workers, response.Versions = i.fleet.directory()
	}
	return response
}

// RightsChanged implements cluster.Local.
func (i *Instance) RightsChanged(at time.Duration, actions []quorum.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case quorum.Acquired:
			i.log.Line(decision.RightAcquired).Str(decision.FieldRight, a.Right).Uint64(decision.FieldFence, a.Fence).Dur(decision.FieldClearInMS, a.ClearAt-at).Send()
		case quorum.Lost:
			i.log.Line(decision.RightLost).Str(decision.FieldRight, a.Right).Send()
		case quorum.MemberChanged:
			i.log.Line(decision.MemberChanged).Str(decision.FieldMember, a.Member.Address).Str(decision.FieldChange, a.Reason).
				Uint64(decision.FieldIncarnation, a.Member.Incarnation).Send()
		}
	}
}

// Config implements DirectorySink.
func (i *Instance) Config(document []byte) { i.accept(document, "store") }

// acceptPacked takes a configuration as a peer sends it.
func (i *Instance) acceptPacked(packed []byte, source string) {
	var document bytes.Buffer
	if _, err := fasthttp.WriteGunzip(&document, packed); err != nil {
		i.log.Warn(decision.ConfigRejected, err).Str(decision.FieldSource, source).Send()
		return
	}
	i.accept(document.Bytes(), source)
}

func (i *Instance) accept(document []byte, source string) {
	config, err := i.ports.Codec.DecodeConfig(document)
	if err != nil {
		i.log.Warn(decision.ConfigRejected, err).Str(decision.FieldSource, source).Send()
		return
	}
	if !i.fleet.offer(config, document) {
		return
	}
	i.log.Line(decision.ConfigAccepted).Uint64(decision.FieldConfig, config.Version).Str(decision.FieldSource, source).Int(decision.FieldRoutes, len(config.Routes)).
		Int(decision.FieldServices, len(config.Services)).Send()
}

// Workers implements DirectorySink.
func (i *Instance) Workers(entries []worker.Entry, at uint64) {
	i.workersChanged(i.fleet.changeWorkers(func(r *worker.Registry) []worker.Event { return r.Replace(now(), entries, at) }))
}

// WorkerPut implements DirectorySink.
func (i *Instance) WorkerPut(w worker.Worker, revision uint64) {
	i.workersChanged(i.fleet.changeWorkers(func(r *worker.Registry) []worker.Event { return r.Put(w, revision) }))
}

// WorkerDeleted implements DirectorySink.
func (i *Instance) WorkerDeleted(id string, revision uint64) {
	i.workersChanged(i.fleet.changeWorkers(func(r *worker.Registry) []worker.Event { return r.Delete(now(), id, revision) }))
}

func tickRegistry(r *worker.Registry) []worker.Event { return r.Tick(now()) }

// workersChanged logs news of workers and closes connections to those that are
// gone: their addresses may be given to others.
func (i *Instance) workersChanged(news []worker.Event) {
	i.shared.share(now(), news)
	for _, n := range news {
		if n.Change == worker.Gone || n.Change == worker.Restarted {
			i.gateway.pool.Forget(n.Worker.Address)
		}
		if n.Change != worker.Updated {
			i.log.Line(decision.WorkerChanged).Str(decision.FieldWorker, n.Worker.ID).Str(decision.FieldService, n.Worker.Service).Str(decision.FieldChange, n.Change.String()).
				Str(decision.FieldAddress, n.Worker.Address).Int64(decision.FieldBorn, n.Worker.Born).Int(decision.FieldModels, len(n.Worker.Models)).Send()
		}
	}
}

// AdapterVersion implements DirectorySink.
func (i *Instance) AdapterVersion(model, adapter string, version int64) {
	i.fleet.setVersion(model, adapter, version)
	i.shared.shareVersion(now(), &clusterpb.AdapterVersion{Model: model, Adapter: adapter, Version: version})
}

// EntryRejected implements DirectorySink.
func (i *Instance) EntryRejected(key string, err error) {
	i.log.Warn(decision.EntryRejected, err).Str(decision.FieldKey, key).Send()
}

// Lost implements DirectorySink.
func (i *Instance) Lost(err error) {
	i.fleet.changeWorkers(func(r *worker.Registry) []worker.Event { r.StoreLost(); return nil })
	i.shared.setAway(true)
	if !errors.Is(err, context.Canceled) {
		i.log.Warn(decision.StoreLost, err).Send()
	}
}

// Returned implements DirectorySink.
func (i *Instance) Returned() {
	i.fleet.changeWorkers(func(r *worker.Registry) []worker.Event { r.StoreReturned(now()); return nil })
	i.shared.setAway(false)
	i.log.Line(decision.StoreReturned).Send()
}
