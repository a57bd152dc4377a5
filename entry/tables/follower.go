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

// tickEvery is the resolution of the replica's timeouts.
const tickEvery = 100 * time.Millisecond

// membersEvery is the number of ticks between looks at the live instances, once
// some are known.
const membersEvery = 5

// eventsLimit bounds the events that wait for the replica.
const eventsLimit = 256

// Platform reads the configuration service.
type Platform interface {
	GetWithin(key string, index uint64, wait, timeout time.Duration) (platform.Value, error)
	Reconnect()
}

// Peers carries calls to other instances.
type Peers interface {
	CompareTables(ctx context.Context, address string, have table.Stamp) (table.Stamp, []byte, error)
	FetchChunks(ctx context.Context, address string, digests []string) ([][]byte, error)
}

// Config sizes a Follower.
type Config struct {
	// Replica times the exchange.
	Replica replica.Config
	// Concurrency bounds the calls that run at once.
	Concurrency int
}

// Follower keeps a fleet's tables up to date.
type Follower struct {
	config   Config
	fleet    *fleet.Fleet
	platform Platform
	peers    Peers
	log      zerolog.Logger
	pool     *ants.Pool
	events   chan replica.Event
	refusals atomic.Uint64

	// What follows belongs to Run.
	replica *replica.Replica
	members []replica.Peer
	ticks   int
}

// NewFollower returns a follower that learns from the fleet what peers hold.
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
		events:   make(chan replica.Event, eventsLimit),
		replica:  replica.New(config.Replica),
	}
	f.OnAnnounced(follower.heard)
	return follower, nil
}

// heard passes on what a peer holds; peers repeat it, so it may be dropped.
func (f *Follower) heard(peer string, stamp table.Stamp) {
	select {
	case f.events <- replica.PeerHolds{Peer: peer, Stamp: stamp}:
	default:
	}
}

// Run follows until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	defer f.pool.Release()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.observe(ctx)
			f.step(ctx, replica.Tick{})
		case e := <-f.events:
			f.step(ctx, e)
		}
	}
}

// observe tells the replica when the live instances have changed.
func (f *Follower) observe(ctx context.Context) {
	f.ticks++
	if len(f.members) > 0 && f.ticks%membersEvery != 0 {
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
		f.act(ctx, action)
	}
}

func (f *Follower) act(ctx context.Context, action replica.Action) {
	switch a := action.(type) {
	case replica.Install:
		if f.fleet.Offer(a.Table) {
			f.log.Info().Str("event", "tables_accepted").Uint64("revision", a.Table.Revision).
				Str("digest", a.Table.Digest()).Str("from", source(a.From)).Send()
		}
	case replica.Reject:
		f.rejected(a)
	case replica.WatchManifest:
		f.call(ctx, a.Call, func() (replica.Event, error) { return f.watch(a) })
	case replica.ReadChunk:
		f.call(ctx, a.Call, func() (replica.Event, error) { return f.read(a) })
	case replica.QueryPeer:
		f.call(ctx, a.Call, func() (replica.Event, error) { return f.ask(ctx, a) })
	case replica.FetchChunks:
		f.call(ctx, a.Call, func() (replica.Event, error) { return f.fetch(ctx, a) })
	}
}

// call runs a call on the pool and feeds its answer, or its failure, back.
func (f *Follower) call(ctx context.Context, id replica.Call, run func() (replica.Event, error)) {
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
	if err != nil { // the replica's own timeout ends the call
		f.log.Warn().Err(err).Str("event", "tables_call_skipped").Send()
	}
}

func (f *Follower) watch(a replica.WatchManifest) (replica.Event, error) {
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

func (f *Follower) read(a replica.ReadChunk) (replica.Event, error) {
	value, err := f.platform.GetWithin(a.Key, 0, 0, f.config.Replica.CallTimeout)
	if err != nil {
		return nil, err
	}
	return replica.ChunkRead{Call: a.Call, Data: value.Data}, nil
}

func (f *Follower) ask(ctx context.Context, a replica.QueryPeer) (replica.Event, error) {
	address, err := f.address(a.Peer)
	if err != nil {
		return nil, err
	}
	stamp, manifest, err := f.peers.CompareTables(ctx, address, a.Have)
	if err != nil {
		return nil, err
	}
	return replica.PeerResponded{Call: a.Call, Stamp: stamp, Manifest: manifest}, nil
}

func (f *Follower) fetch(ctx context.Context, a replica.FetchChunks) (replica.Event, error) {
	address, err := f.address(a.Peer)
	if err != nil {
		return nil, err
	}
	chunks, err := f.peers.FetchChunks(ctx, address, a.Digests)
	if err != nil {
		return nil, err
	}
	return replica.ChunksFetched{Call: a.Call, Chunks: chunks}, nil
}

func (f *Follower) address(peer string) (string, error) {
	instance, found := f.fleet.Instance(peer)
	if !found {
		return "", oops.Code("unknown_peer").With("peer", peer).Errorf("the peer is not published")
	}
	return instance.ControlAddress, nil
}

// source names where a table came from.
func source(peer string) string {
	if peer == "" {
		return "platform"
	}
	return peer
}

// findingsLimit bounds the findings of one rejected table that are logged.
const findingsLimit = 100

// Rejected returns how many tables with findings were passed over so far.
func (f *Follower) Rejected() uint64 { return f.refusals.Load() }

func (f *Follower) rejected(a replica.Reject) {
	f.refusals.Add(1)
	for _, finding := range a.Findings[:min(findingsLimit, len(a.Findings))] {
		f.log.Error().Str("event", "tables_finding").Uint64("revision", a.Stamp.Revision).
			Str("chunk", finding.Chunk).Int("line", finding.Line).Int("column", finding.Column).
			Str("path", finding.Path).Str("message", finding.Message).Send()
	}
	f.log.Error().Str("event", "tables_rejected").Uint64("revision", a.Stamp.Revision).
		Str("digest", a.Stamp.Digest).Str("from", source(a.From)).Int("findings", len(a.Findings)).
		Uint64("in_force", f.fleet.Stamp().Revision).Send()
}
