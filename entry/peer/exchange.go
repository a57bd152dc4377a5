package peer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"github.com/bulrushwick/bulrushwick/coord/gossip"
	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/peer/peerpb"
)

// Config times the exchange.
type Config struct {
	// HeartbeatEvery is the interval between heartbeats to each peer.
	HeartbeatEvery time.Duration
	// Concurrency bounds the control calls that run at once.
	Concurrency int
}

// Exchange sends heartbeats and carries the other control calls to peers.
type Exchange struct {
	config  Config
	fleet   *fleet.Fleet
	records *Records
	log     zerolog.Logger
	http    *http.Client
	tables  *http.Client
	pool    *ants.Pool
	beats   atomic.Uint64
	calls   sync.WaitGroup

	mu    sync.Mutex
	links map[string]*link
}

// link is what this instance knows of its exchange with one address.
type link struct {
	client peerpb.Peer

	mu       sync.Mutex
	epoch    uint64          // the peer's log, which a new process changes
	sent     gossip.Position // of the own log
	received gossip.Position // of the peer's log
}

// NewExchange returns an exchange that passes on records.
func NewExchange(config Config, f *fleet.Fleet, records *Records, log zerolog.Logger) (*Exchange, error) {
	pool, err := ants.NewPool(config.Concurrency, ants.WithNonblocking(true))
	if err != nil {
		return nil, oops.Wrap(err)
	}
	return &Exchange{
		config:  config,
		fleet:   f,
		records: records,
		log:     log,
		http:    newControlClient(config.HeartbeatEvery),
		tables:  newTablesClient(tablesTimeout),
		pool:    pool,
		links:   make(map[string]*link),
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

// Beat sends one heartbeat to every target and does not wait for the answers.
func (e *Exchange) Beat(ctx context.Context) {
	e.fleet.Refresh()
	e.records.refresh()
	reports := encodeReports(e.fleet.Reports())
	for _, p := range e.fleet.Targets(e.beats.Add(1)) {
		e.calls.Add(1)
		err := e.pool.Submit(func() {
			defer e.calls.Done()
			e.beat(ctx, p, e.message(reports))
		})
		if err != nil {
			e.calls.Done()
			e.log.Warn().Err(err).Str("event", "heartbeat_skipped").Str("peer", p.Name).Send()
		}
	}
}

// Wait returns when every heartbeat that was sent is over.
func (e *Exchange) Wait() { e.calls.Wait() }

func (e *Exchange) message(reports []*peerpb.MemberReport) *peerpb.HeartbeatRequest {
	message := &peerpb.HeartbeatRequest{
		Instance: e.fleet.Self(),
		Leaving:  e.fleet.Leaving(),
		Reports:  reports,
	}
	if t := e.fleet.Table(); t != nil {
		message.Revision = t.Revision
		message.Digest = t.Digest()
	}
	return message
}

func (e *Exchange) link(address string) *link {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, found := e.links[address]
	if !found {
		l = &link{client: peerpb.NewPeerProtobufClient("http://"+address, e.http)}
		e.links[address] = l
	}
	return l
}

func (e *Exchange) beat(ctx context.Context, p member.Instance, message *peerpb.HeartbeatRequest) {
	l := e.link(p.ControlAddress)
	out, err := e.swap(ctx, p.Name, l, message)
	if err != nil {
		e.log.Debug().Err(err).Str("event", "heartbeat_failed").Str("peer", p.Name).Send()
		return
	}
	e.fleet.RecordHeartbeat(p.Name, out.Leaving)
	e.fleet.Receive(decodeReports(out.Reports))
	e.fleet.PeerHolds(p.Name, table.Stamp{Revision: out.Revision, Digest: out.Digest})
}

// swap exchanges the records that either side lacks.
func (e *Exchange) swap(ctx context.Context, name string, l *link, message *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	l.mu.Lock()
	epoch, sent := l.epoch, l.sent
	message.ReceiverEpoch, message.ReceiverPosition = l.epoch, uint64(l.received)
	l.mu.Unlock()
	workers, reached := e.records.after(sent, name)
	message.Workers = workers
	out, err := l.client.Heartbeat(ctx, message)
	if err != nil {
		return nil, err
	}
	e.records.take(out.Workers, name)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received = gossip.Position(out.Position)
	if out.Epoch == epoch || epoch == 0 {
		l.sent = reached
	} else {
		l.sent = 0 // a new process, which has none of what its predecessor had
	}
	l.epoch = out.Epoch
	return out, nil
}
