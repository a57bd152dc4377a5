package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/owner"
	"github.com/bulrushwick/bulrushwick/entry/peer/peerpb"
)

// Config times the exchange.
type Config struct {
	// HeartbeatEvery is the interval between heartbeats to each peer.
	HeartbeatEvery time.Duration
	// Concurrency bounds the control calls that run at once.
	Concurrency int
}

// Exchange sends heartbeats and fetches newer tables from peers.
type Exchange struct {
	config    Config
	fleet     *fleet.Fleet
	summaries func() []owner.Summary
	log       zerolog.Logger
	http      *http.Client
	pool      *ants.Pool

	mu      sync.Mutex
	clients map[string]peerpb.Peer
}

// NewExchange returns an exchange that describes this instance's workers by
// summaries.
func NewExchange(config Config, f *fleet.Fleet, summaries func() []owner.Summary, log zerolog.Logger) (*Exchange, error) {
	pool, err := ants.NewPool(config.Concurrency, ants.WithNonblocking(true))
	if err != nil {
		return nil, oops.Wrap(err)
	}
	return &Exchange{
		config:    config,
		fleet:     f,
		summaries: summaries,
		log:       log,
		http:      &http.Client{Timeout: 2 * config.HeartbeatEvery},
		pool:      pool,
		clients:   make(map[string]peerpb.Peer),
	}, nil
}

// Run sends heartbeats until ctx is done.
func (e *Exchange) Run(ctx context.Context) {
	defer e.pool.Release()
	ticker := time.NewTicker(e.config.HeartbeatEvery)
	defer ticker.Stop()
	for {
		e.Beat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Beat sends one heartbeat to every peer.
func (e *Exchange) Beat(ctx context.Context) {
	e.fleet.Refresh()
	message := e.message()
	for _, p := range e.fleet.Peers() {
		if err := e.pool.Submit(func() { e.beat(ctx, p, message) }); err != nil {
			e.log.Warn().Err(err).Str("event", "heartbeat_skipped").Str("peer", p.Name).Send()
		}
	}
}

func (e *Exchange) message() *peerpb.HeartbeatRequest {
	message := &peerpb.HeartbeatRequest{Instance: e.fleet.Self(), Leaving: e.fleet.Leaving()}
	if t := e.fleet.Table(); t != nil {
		message.Revision = t.Revision
		message.Digest = t.Digest()
	}
	for _, s := range e.summaries() {
		w := &peerpb.WorkerSummary{Worker: s.Worker, Waiting: uint32(s.Waiting), Running: uint32(s.Running)}
		for _, adapter := range s.Resident {
			w.Resident = append(w.Resident, adapter.String())
		}
		message.Workers = append(message.Workers, w)
	}
	return message
}

func (e *Exchange) client(address string) peerpb.Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	client, found := e.clients[address]
	if !found {
		client = peerpb.NewPeerProtobufClient("http://"+address, e.http)
		e.clients[address] = client
	}
	return client
}

func (e *Exchange) beat(ctx context.Context, p member.Instance, message *peerpb.HeartbeatRequest) {
	client := e.client(p.ControlAddress)
	out, err := client.Heartbeat(ctx, message)
	if err != nil {
		e.log.Debug().Err(err).Str("event", "heartbeat_failed").Str("peer", p.Name).Send()
		return
	}
	e.fleet.Heard(p.Name, out.Leaving)
	if out.Revision > message.Revision {
		if err := e.fetch(ctx, client, message.Revision); err != nil {
			e.log.Warn().Err(err).Str("event", "fetch_failed").Str("peer", p.Name).Send()
		}
	}
}

func (e *Exchange) fetch(ctx context.Context, client peerpb.Peer, have uint64) error {
	out, err := client.FetchTables(ctx, &peerpb.FetchTablesRequest{HaveRevision: have})
	if err != nil {
		return oops.Code("fetch_failed").Wrap(err)
	}
	if out.Revision == 0 {
		return nil
	}
	snapshot := table.Snapshot{Chunks: make(map[string][]byte, len(out.Chunks))}
	if err := json.Unmarshal(out.Manifest, &snapshot.Manifest); err != nil {
		return oops.Code("manifest_malformed").Wrap(err)
	}
	for _, chunk := range out.Chunks {
		snapshot.Chunks[chunk.Key] = chunk.Data
	}
	t, err := table.Build(snapshot)
	if err != nil {
		return oops.Code("tables_rejected").Wrap(err)
	}
	if e.fleet.Offer(t) {
		e.log.Info().Str("event", "tables_accepted_from_peer").Uint64("revision", t.Revision).Send()
	}
	return nil
}
