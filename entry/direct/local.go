package direct

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/quorum"
	"github.com/bulrushwick/bulrushwick/coord/revision"
	"github.com/bulrushwick/bulrushwick/coord/slots"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/decision"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
)

// HeartbeatUpdate implements cluster.Local: the update for the next heartbeat.
func (i *Instance) HeartbeatUpdate(withDirectory bool) *clusterpb.News {
	update := i.peerUpdate(withDirectory)
	at := now()
	i.fleet.usage.appendOwn(at, update, i.fleet.conditions.holdOffs(at))
	i.fleet.costs.appendOwn(at, update)
	i.fleet.organisations.appendOwn(at, update)
	return update
}

// PeerHasDirectory implements cluster.Local.
func (i *Instance) PeerHasDirectory(peer string) bool {
	return i.directorySync.peerHas(peer, i.fleet.directoryDigest())
}

// ReplyUpdate implements cluster.Local. For the workers that this instance controls,
// the update carries the use by all instances but the one it goes to.
func (i *Instance) ReplyUpdate(at time.Duration, peer string) *clusterpb.News {
	update := i.peerUpdate(!i.PeerHasDirectory(peer))
	heldRights := toSet(i.cluster.HeldRights())
	i.fleet.usage.appendExcept(at, update, peer, i.fleet.workers.all(), i.fleet.conditions.holdOffs(at), func(w *worker.Worker) bool { return heldRights[rightOf(w)] })
	i.fleet.costs.appendExcept(at, update, peer)
	i.fleet.organisations.appendExcept(at, update, peer, heldRights)
	return update
}

// peerUpdate returns the part of an update that heartbeats and replies to them
// have in common.
func (i *Instance) peerUpdate(withDirectory bool) *clusterpb.News {
	update := &clusterpb.News{DirectoryDigest: i.fleet.directoryDigest()}
	update.ConfigVersion = i.fleet.config.version()
	i.fleet.residency.appendOwn(update)
	i.directorySync.appendUpdates(now(), update, withDirectory)
	i.gateway.guard.appendUpdate(now(), update)
	return update
}

func toSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}

// ApplyUpdate implements cluster.Local: it applies a peer's update.
func (i *Instance) ApplyUpdate(at time.Duration, peer string, update *clusterpb.News) {
	i.fleet.applyPeerUpdate(at, peer, update)
	i.gateway.guard.applyUpdate(at, update)
	i.applyEntries(update.GetWorkers(), update.GetVersions())
	if i.directorySync.observePeer(at, peer, update, i.fleet.directoryDigest()) {
		i.startFetch(peer, true)
	}
}

// applyEntries applies workers and adapter versions that a reader of the store
// passed on.
func (i *Instance) applyEntries(workers []*clusterpb.WorkerEntry, versions []*clusterpb.AdapterVersion) {
	for _, entry := range workers {
		w, err := decodeWorker(entry)
		if err != nil && !entry.GetGone() {
			i.EntryRejected(entry.GetId(), err)
			continue
		}
		i.handleWorkerChanges(i.fleet.changeWorkers(func(r *worker.Registry) []worker.Event {
			if entry.GetGone() {
				return r.DeleteFromPeer(entry.GetId(), revision.Decode(entry.GetRevision()))
			}
			return r.PutFromPeer(w, revision.Decode(entry.GetRevision()))
		}))
	}
	for _, v := range versions {
		i.fleet.versions.set(v.GetModel(), v.GetAdapter(), v.GetVersion())
	}
}

// HandlePeerVersion implements cluster.Local. It fetches a configuration that is
// newer than this instance's.
func (i *Instance) HandlePeerVersion(peer string, version uint64) {
	i.gateway.revocation.HearPeer(version)
	if version <= i.gateway.configVersion() {
		return
	}
	i.versionLag.observe(now(), version)
	i.startFetch(peer, false)
}

// ConfigVersion implements cluster.Local: the version of the configuration in force.
func (i *Instance) ConfigVersion() uint64 { return i.gateway.configVersion() }

// LoadAdapter implements cluster.Local: it loads an adapter for another
// instance.
func (i *Instance) LoadAdapter(ctx context.Context, in *clusterpb.LoadAdapterRequest) (*clusterpb.LoadAdapterResponse, error) {
	wait := time.Duration(in.GetWaitNs())
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	began := now()
	ready, reason := i.orders.loadAdapter(ctx, loadRequest{
		worker: in.GetWorker(), born: in.GetBorn(), adapter: in.GetAdapter(),
		priority: slots.Priority{Rank: int(in.GetRank()) + resumeRank, Share: int(in.GetShare())}, deadline: began + wait, denied: in.GetMissing(),
	})
	i.log.Line(decision.LoadServed).Str(decision.FieldRequest, in.GetRequestId()).Str(decision.FieldWorker, in.GetWorker()).
		Str(decision.FieldAdapter, in.GetAdapter()).Bool(decision.FieldReady, ready).Str(decision.FieldReason, reason).
		Str(decision.FieldOrganisation, in.GetOrganisation()).Uint32(decision.FieldShareClass, in.GetShare()).
		Int(decision.FieldWaiting, i.orders.waitingAdapters(in.GetWorker(), in.GetBorn())).Dur(decision.FieldTookMS, now()-began).Send()
	return &clusterpb.LoadAdapterResponse{Ready: ready, Reason: reason}, nil
}

// State implements cluster.Local. It returns the configuration if it is newer
// than the peer's, and the directory if asked for.
func (i *Instance) State(in *clusterpb.FetchStateRequest) *clusterpb.FetchStateResponse {
	// The age is read first: a version that is installed in between was not confirmed by it.
	age, confirmed := i.gateway.revocation.Age()
	own := i.gateway.configVersion()
	response := &clusterpb.FetchStateResponse{ConfigVersion: own}
	if own > in.GetConfigVersion() {
		response.Config = i.fleet.config.compressedDocument()
	}
	if confirmed {
		response.Confirmed, response.ConfirmedAgeNs = true, int64(age)
	}
	if in.GetDirectory() {
		response.Workers, response.Versions = i.fleet.workers.entries(), i.fleet.versions.entries()
	}
	return response
}

// RightsChanged implements cluster.Local: it logs changes of rights and
// members.
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
func (i *Instance) Config(document []byte, silence time.Duration) {
	i.acceptConfig(document, "store", silence)
}

// acceptCompressedConfig installs a configuration in the gzipped form that
// peers send.
func (i *Instance) acceptCompressedConfig(compressed []byte, source string) {
	document, err := gunzip(compressed)
	if err != nil {
		i.log.Warn(decision.ConfigRejected, err).Str(decision.FieldSource, source).Send()
		return
	}
	i.acceptConfig(document, source, 0)
}

// maxLoggedFindings bounds the findings of a configuration in a log line, in bytes;
// bulrushctl check lists them all.
const maxLoggedFindings = 4000

// maxDocumentBytes bounds a configuration document: the store holds values of up to a
// megabyte.
const maxDocumentBytes = 16 << 20

func gunzip(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	document, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes+1))
	if err == nil && len(document) > maxDocumentBytes {
		err = fmt.Errorf("the document is over %d bytes", maxDocumentBytes)
	}
	return document, err
}

// acceptConfig installs a configuration if it is newer than the one in force.
// silence is how long the source had not responded before.
func (i *Instance) acceptConfig(document []byte, source string, silence time.Duration) {
	config, err := i.ports.Codec.DecodeConfig(document)
	if err == nil && len(config.Organisations) > 0 {
		document, err = i.ports.Codec.ShareableConfig(document)
	}
	if err != nil {
		text := err.Error()
		i.log.Warn(decision.ConfigRejected, errors.New(text[:min(len(text), maxLoggedFindings)])).Str(decision.FieldSource, source).Send()
		return
	}
	if !i.fleet.config.install(config, document) {
		return
	}
	behind := i.versionLag.installed(now(), config.Version)
	i.log.Line(decision.ConfigAccepted).Uint64(decision.FieldConfig, config.Version).Str(decision.FieldSource, source).
		Dur(decision.FieldSilenceMS, silence).Dur(decision.FieldBehindMS, behind).
		Int(decision.FieldRoutes, len(config.Routes)).Int(decision.FieldServices, len(config.Services)).Send()
}

// Workers implements DirectorySink.
func (i *Instance) Workers(entries []worker.Entry, at revision.Version) {
	i.handleWorkerChanges(i.fleet.changeWorkers(func(r *worker.Registry) []worker.Event { return r.Replace(now(), entries, at) }))
}

// WorkerPut implements DirectorySink.
func (i *Instance) WorkerPut(w worker.Worker, version revision.Version) {
	i.handleWorkerChanges(i.fleet.changeWorkers(func(r *worker.Registry) []worker.Event { return r.Put(w, version) }))
}

// WorkerDeleted implements DirectorySink.
func (i *Instance) WorkerDeleted(id string, version revision.Version) {
	i.handleWorkerChanges(i.fleet.changeWorkers(func(r *worker.Registry) []worker.Event { return r.Delete(now(), id, version) }))
}

// EraBegan implements DirectorySink.
func (i *Instance) EraBegan(before, at revision.Version) {
	i.fleet.changeWorkers(func(r *worker.Registry) []worker.Event { r.EraBegan(now(), at.Era()); return nil })
	i.metrics.countStoreEra()
	i.log.Line(decision.StoreEra).Stringer(decision.FieldVersionBefore, before).Stringer(decision.FieldVersion, at).Send()
}

// EraRejected implements DirectorySink.
func (i *Instance) EraRejected(err error) { i.log.Warn(decision.StoreEraRejected, err).Send() }

// tickWorkers ends the grace periods of workers whose entry is missing.
func (i *Instance) tickWorkers() {
	var summary worker.EraSummary
	settled := false
	i.handleWorkerChanges(i.fleet.changeWorkers(func(r *worker.Registry) []worker.Event {
		events := r.Tick(now())
		summary, settled = r.TakeEraSummary()
		return events
	}))
	if settled {
		i.log.Line(decision.StoreEraSettled).Int(decision.FieldKept, summary.Known-summary.Dropped).Int(decision.FieldDropped, summary.Dropped).
			Int(decision.FieldRegained, summary.Regained).Int(decision.FieldHeldBack, summary.HeldBack).Int(decision.FieldApplied, summary.Applied).Send()
	}
}

// handleWorkerChanges shares and logs changes of workers, and closes
// connections to those that are gone or restarted: their addresses may be given
// to other workers.
func (i *Instance) handleWorkerChanges(changes []worker.Event) {
	i.directorySync.addWorkerChanges(now(), changes)
	for _, c := range changes {
		if c.Change == worker.Gone || c.Change == worker.Restarted {
			i.gateway.pool.CloseIdle(c.Worker.Address)
		}
		if c.Change != worker.Updated {
			i.log.Line(decision.WorkerChanged).Str(decision.FieldWorker, c.Worker.ID).Str(decision.FieldService, c.Worker.Service).Str(decision.FieldChange, c.Change.String()).
				Str(decision.FieldAddress, c.Worker.Address).Int64(decision.FieldBorn, c.Worker.Born).Int(decision.FieldModels, len(c.Worker.Models)).Send()
		}
	}
}

// workerLeaves records that a worker process said in a response that it leaves, and
// tells peers with the next heartbeats. request is empty for a response to a control
// call.
func (i *Instance) workerLeaves(w worker.Worker, request string) {
	changes := i.fleet.changeWorkers(func(r *worker.Registry) []worker.Event { return r.MarkLeaving(w.ID, w.Born) })
	if len(changes) == 0 {
		return
	}
	i.log.Line(decision.WorkerLeaves).Str(decision.FieldWorker, w.ID).Int64(decision.FieldBorn, w.Born).Str(decision.FieldRequest, request).Send()
	i.handleWorkerChanges(changes)
}

// Panicked implements DirectorySink.
func (i *Instance) Panicked(p *recovery.Panic) { i.gateway.reportPanic(p) }

// AdapterVersion implements DirectorySink.
func (i *Instance) AdapterVersion(model, adapter string, version int64) {
	i.fleet.versions.set(model, adapter, version)
	i.directorySync.addVersion(now(), &clusterpb.AdapterVersion{Model: model, Adapter: adapter, Version: version})
}

// maxLoggedError bounds the text of an error that quotes what others wrote, in bytes.
const maxLoggedError = 300

// EntryRejected implements DirectorySink. An entry is logged once until it is rejected
// for another reason: it is read again with each listing, and may be written again
// many times.
func (i *Instance) EntryRejected(key string, err error) {
	text := err.Error()
	text = text[:min(len(text), maxLoggedError)]
	if i.rejected.isNew(key, text) {
		i.log.Warn(decision.EntryRejected, errors.New(text)).Str(decision.FieldKey, key).Send()
	}
}

// maxRejectedEntries is the number of rejected entries that are remembered. Further
// ones are logged each time, within the rate limit of the log.
const maxRejectedEntries = 1024

// rejectedEntries remembers why entries were rejected. It is safe for concurrent use.
type rejectedEntries struct {
	mu      sync.Mutex
	reasons map[string]string
}

// isNew reports whether the entry was not rejected for this reason before.
func (r *rejectedEntries) isNew(key, reason string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.reasons[key]
	if found && known == reason {
		return false
	}
	if found || len(r.reasons) < maxRejectedEntries {
		r.reasons[key] = reason
	}
	return true
}

// CallFailed implements DirectorySink.
func (i *Instance) CallFailed(openFor time.Duration) {
	since := now() - openFor
	i.fleet.changeWorkers(func(r *worker.Registry) []worker.Event { r.CallFailed(since); return nil })
}

// StoreResponded implements DirectorySink.
func (i *Instance) StoreResponded() {
	outage := time.Duration(0)
	i.fleet.changeWorkers(func(r *worker.Registry) []worker.Event { outage = r.StoreResponded(now()); return nil })
	if outage > 0 {
		i.metrics.countStoreOutage()
		i.log.Line(decision.StoreOutage).Dur(decision.FieldTookMS, outage).Send()
	}
}

// StoreLost implements DirectorySink.
func (i *Instance) StoreLost(err error) {
	i.directorySync.setStoreUnavailable(true)
	if !errors.Is(err, context.Canceled) {
		i.log.Warn(decision.StoreLost, err).Send()
	}
}

// StoreReturned implements DirectorySink.
func (i *Instance) StoreReturned() {
	i.directorySync.setStoreUnavailable(false)
	i.log.Line(decision.StoreReturned).Send()
}

// FirstListingDelay implements DirectorySink. In an outage every instance tries to
// read the store. Those that have its contents from their peers leave the listing to
// the instances that read it before, and stop when these are back.
func (i *Instance) FirstListingDelay() time.Duration {
	if i.fleet.config.table() == nil || len(i.fleet.workers.all()) == 0 {
		return 0
	}
	return surplusReaderGrace + firstListingMargin
}
