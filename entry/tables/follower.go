package tables

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/coord/table/replica"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/platform"
)

// tickInterval is the interval between ticks, the resolution of the replica's timeouts.
const tickInterval = 100 * time.Millisecond

// membersCheckTicks is the number of ticks between checks of the usable instances. Until
// some are known they are checked at every tick.
const membersCheckTicks = 5

// eventQueueSize is the size of the queue of events for the replica.
const eventQueueSize = 256

// Platform reads the configuration service.
type Platform interface {
	// GetWithin reads a key. With an index above 0 it waits, at most for wait, until
	// the index of the value is above it. It fails after timeout.
	GetWithin(key string, index uint64, wait, timeout time.Duration) (platform.Value, error)
	// Reconnect makes the next call use a new connection.
	Reconnect()
}

// Peers sends calls to other instances.
type Peers interface {
	// CompareTables returns the stamp of the peer's table and, when that is above
	// have, its manifest.
	CompareTables(ctx context.Context, address string, have table.Stamp) (table.Stamp, []byte, error)
	// FetchChunks returns the chunks with those digests.
	FetchChunks(ctx context.Context, address string, digests []string) ([][]byte, error)
}

// Config is the configuration of a Follower.
type Config struct {
	// Replica has the intervals and timeouts of the exchange.
	Replica replica.Config
	// Concurrency is the maximum number of concurrent calls to the platform and peers.
	Concurrency int
}

// Follower keeps the table of a fleet up to date. Run must be called once. Rejected is
// safe for concurrent use.
type Follower struct {
	config        Config
	fleet         *fleet.Fleet
	platform      Platform
	peers         Peers
	log           zerolog.Logger
	pool          *ants.Pool
	events        chan replica.Event
	rejectedCount atomic.Uint64

	// The fields below are accessed only by the goroutine of Run.
	replica *replica.Replica
	members []replica.Peer
	ticks   int
}

// NewFollower returns a follower of the fleet f. It registers itself with f for the
// tables that peers announce.
func NewFollower(config Config, f *fleet.Fleet, p Platform, peers Peers, log zerolog.Logger) (*Follower, error) {
	pool, err := ants.NewPool(config.Concurrency, ants.WithNonblocking(true))
	if err != nil {
		return nil, oops.Wrap(err)
	}
	follower := &Follower{
		config:   config,
		fleet:    f,
		platform: p,
		peers:    peers,
		log:      log,
		pool:     pool,
		events:   make(chan replica.Event, eventQueueSize),
		replica:  replica.New(config.Replica),
	}
	f.OnPeerHolds(follower.peerHolds)
	return follower, nil
}

// peerHolds queues the stamp of the table that a peer holds. It drops it when the queue
// is full, since peers announce it again with each heartbeat.
func (f *Follower) peerHolds(peer string, stamp table.Stamp) {
	select {
	case f.events <- replica.PeerHolds{Peer: peer, Stamp: stamp}:
	default:
	}
}

// Run keeps the table up to date until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	defer f.pool.Release()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.updateMembers(ctx)
			f.step(ctx, replica.Tick{})
		case e := <-f.events:
			f.step(ctx, e)
		}
	}
}

// updateMembers passes the usable instances on to the replica when they have changed.
func (f *Follower) updateMembers(ctx context.Context) {
	f.ticks++
	if len(f.members) > 0 && f.ticks%membersCheckTicks != 0 {
		return
	}
	usable := f.fleet.Usable()
	peers := make([]replica.Peer, len(usable))
	for i, instance := range usable {
		peers[i] = replica.Peer{Name: instance.Name, DataCentre: instance.DataCentre}
	}
	if !slices.Equal(peers, f.members) {
		f.members = peers
		f.step(ctx, replica.Members{Peers: peers})
	}
}

func (f *Follower) step(ctx context.Context, e replica.Event) {
	for _, action := range f.replica.Step(f.fleet.Now(), e) {
		f.execute(ctx, action)
	}
}

func (f *Follower) execute(ctx context.Context, action replica.Action) {
	switch a := action.(type) {
	case replica.Install:
		if f.fleet.Offer(a.Table) {
			f.log.Info().Str("event", "tables_accepted").Uint64("revision", a.Table.Revision).
				Str("digest", a.Table.Digest()).Str("from", sourceName(a.From)).Send()
		}
	case replica.Reject:
		f.recordRejection(a)
	case replica.WatchManifest:
		f.submitCall(ctx, a.Call, func() (replica.Event, error) { return f.watchManifest(a) })
	case replica.ReadChunk:
		f.submitCall(ctx, a.Call, func() (replica.Event, error) { return f.readChunk(a) })
	case replica.QueryPeer:
		f.submitCall(ctx, a.Call, func() (replica.Event, error) { return f.queryPeer(ctx, a) })
	case replica.FetchChunks:
		f.submitCall(ctx, a.Call, func() (replica.Event, error) { return f.fetchChunks(ctx, a) })
	}
}

// submitCall runs a call on the pool, and queues its response or its failure as an
// event.
func (f *Follower) submitCall(ctx context.Context, id replica.Call, run func() (replica.Event, error)) {
	err := f.pool.Submit(func() {
		e, err := run()
		if err != nil {
			f.log.Debug().Err(err).Str("event", "tables_call_failed").Send()
			e = replica.CallFailed{Call: id}
		}
		select {
		case f.events <- e:
		case <-ctx.Done():
		}
	})
	if err != nil { // the pool is full; the replica's own timeout ends the call
		f.log.Warn().Err(err).Str("event", "tables_call_skipped").Send()
	}
}

func (f *Follower) watchManifest(a replica.WatchManifest) (replica.Event, error) {
	if a.NewConnection {
		f.platform.Reconnect()
	}
	timeout := f.config.Replica.CallTimeout
	if a.Index > 0 {
		timeout = a.Wait + f.config.Replica.WatchMargin
	}
	value, err := f.platform.GetWithin(platform.ManifestKey, a.Index, a.Wait, timeout)
	if err != nil {
		return nil, err
	}
	return replica.ManifestRead{Call: a.Call, Data: value.Data, Index: value.Index}, nil
}

func (f *Follower) readChunk(a replica.ReadChunk) (replica.Event, error) {
	value, err := f.platform.GetWithin(a.Key, 0, 0, f.config.Replica.CallTimeout)
	if err != nil {
		return nil, err
	}
	return replica.ChunkRead{Call: a.Call, Data: value.Data}, nil
}

func (f *Follower) queryPeer(ctx context.Context, a replica.QueryPeer) (replica.Event, error) {
	address, err := f.controlAddress(a.Peer)
	if err != nil {
		return nil, err
	}
	stamp, manifest, err := f.peers.CompareTables(ctx, address, a.Have)
	if err != nil {
		return nil, err
	}
	return replica.PeerResponded{Call: a.Call, Stamp: stamp, Manifest: manifest}, nil
}

func (f *Follower) fetchChunks(ctx context.Context, a replica.FetchChunks) (replica.Event, error) {
	address, err := f.controlAddress(a.Peer)
	if err != nil {
		return nil, err
	}
	chunks, err := f.peers.FetchChunks(ctx, address, a.Digests)
	if err != nil {
		return nil, err
	}
	return replica.ChunksFetched{Call: a.Call, Chunks: chunks}, nil
}

// controlAddress returns the address of a peer for control calls.
func (f *Follower) controlAddress(peer string) (string, error) {
	instance, found := f.fleet.Instance(peer)
	if !found {
		return "", oops.Code("unknown_peer").With("peer", peer).Errorf("the peer is not in the published list of instances")
	}
	return instance.ControlAddress, nil
}

// sourceName returns where a table came from: the name of a peer, or "platform" for "".
func sourceName(peer string) string {
	if peer == "" {
		return "platform"
	}
	return peer
}

// maxLoggedFindings is the maximum number of findings logged for one rejected table.
const maxLoggedFindings = 100

// Rejected returns the number of tables rejected so far because of findings.
func (f *Follower) Rejected() uint64 { return f.rejectedCount.Load() }

// recordRejection counts and logs a rejected table.
func (f *Follower) recordRejection(a replica.Reject) {
	f.rejectedCount.Add(1)
	for _, finding := range a.Findings[:min(maxLoggedFindings, len(a.Findings))] {
		f.log.Error().Str("event", "tables_finding").Uint64("revision", a.Stamp.Revision).
			Str("chunk", finding.Chunk).Int("line", finding.Line).Int("column", finding.Column).
			Str("path", finding.Path).Str("message", finding.Message).Send()
	}
	f.log.Error().Str("event", "tables_rejected").Uint64("revision", a.Stamp.Revision).
		Str("digest", a.Stamp.Digest).Str("from", sourceName(a.From)).Int("findings", len(a.Findings)).
		Uint64("in_force", f.fleet.Stamp().Revision).Send()
}
