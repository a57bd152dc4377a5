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

// Config sets the interval and the concurrency of control calls.
type Config struct {
	// HeartbeatEvery is the interval between heartbeats to each peer.
	HeartbeatEvery time.Duration
	// Concurrency is the most heartbeats and loan calls that run at once. A call
	// beyond it is skipped, not queued.
	Concurrency int
}

// Exchange is the client side of the control calls: it sends heartbeats, lease
// messages, loan calls and table queries to peers. It is safe for concurrent use.
type Exchange struct {
	config      Config
	fleet       *fleet.Fleet
	records     *Records
	log         zerolog.Logger
	controlHTTP *http.Client
	tablesHTTP  *http.Client
	pool        *ants.Pool
	round       atomic.Uint64
	heartbeats  sync.WaitGroup

	mu    sync.Mutex
	links map[string]*link
}

// link is the state of the record exchange with the peer at one control address.
type link struct {
	client peerpb.Peer

	mu           sync.Mutex
	peerEpoch    uint64          // identifies the peer's log; changes when its process restarts
	sentUpTo     gossip.Position // position in the own log up to which the peer has the records
	receivedUpTo gossip.Position // position in the peer's log up to which they are merged here
}

// NewExchange returns an exchange that sends and merges records.
func NewExchange(config Config, f *fleet.Fleet, records *Records, log zerolog.Logger) (*Exchange, error) {
	pool, err := ants.NewPool(config.Concurrency, ants.WithNonblocking(true))
	if err != nil {
		return nil, oops.Wrap(err)
	}
	return &Exchange{
		config:      config,
		fleet:       f,
		records:     records,
		log:         log,
		controlHTTP: newControlClient(config.HeartbeatEvery),
		tablesHTTP:  newTablesClient(tablesTimeout),
		pool:        pool,
		links:       make(map[string]*link),
	}, nil
}

// Run sends heartbeats at once and then every HeartbeatEvery until ctx is done.
// It then releases the pool, after which no heartbeat or loan call can be sent.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(e.config.HeartbeatEvery)
	defer ticker.Stop()
	for {
		e.SendHeartbeats(ctx)
		select {
		case <-ctx.Done():
			e.pool.Release()
			return
		case <-ticker.C:
		}
	}
}

// SendHeartbeats sends one heartbeat to every target of this round and does not
// wait for the responses. A heartbeat that finds the pool full is skipped.
func (e *Exchange) SendHeartbeats(ctx context.Context) {
	e.fleet.Refresh()
	e.records.refresh()
	reports := encodeReports(e.fleet.Reports())
	for _, p := range e.fleet.Targets(e.round.Add(1)) {
		e.heartbeats.Add(1)
		err := e.pool.Submit(func() {
			defer e.heartbeats.Done()
			e.sendHeartbeat(ctx, p, e.newHeartbeat(reports))
		})
		if err != nil {
			e.heartbeats.Done()
			e.log.Warn().Err(err).Str("event", "heartbeat_skipped").Str("peer", p.Name).Send()
		}
	}
}

// Wait blocks until every heartbeat that was sent has succeeded or failed.
func (e *Exchange) Wait() { e.heartbeats.Wait() }

// newHeartbeat returns the heartbeat for one peer, still without records.
func (e *Exchange) newHeartbeat(reports []*peerpb.MemberReport) *peerpb.HeartbeatRequest {
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

// linkTo returns the link to a control address, created at its first use.
func (e *Exchange) linkTo(address string) *link {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, found := e.links[address]
	if !found {
		l = &link{client: peerpb.NewPeerProtobufClient("http://"+address, e.controlHTTP)}
		e.links[address] = l
	}
	return l
}

// sendHeartbeat sends a heartbeat to p and applies its response.
func (e *Exchange) sendHeartbeat(ctx context.Context, p member.Instance, message *peerpb.HeartbeatRequest) {
	l := e.linkTo(p.ControlAddress)
	out, err := e.exchangeRecords(ctx, p.Name, l, message)
	if err != nil {
		e.log.Debug().Err(err).Str("event", "heartbeat_failed").Str("peer", p.Name).Send()
		return
	}
	e.fleet.RecordHeartbeat(p.Name, out.Leaving)
	e.fleet.Receive(decodeReports(out.Reports))
	e.fleet.PeerHolds(p.Name, table.Stamp{Revision: out.Revision, Digest: out.Digest})
}

// exchangeRecords sends a heartbeat with the records that the peer lacks and
// merges those of its response. The link is unlocked during the call.
func (e *Exchange) exchangeRecords(ctx context.Context, name string, l *link, message *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	l.mu.Lock()
	epoch, sent := l.peerEpoch, l.sentUpTo
	message.ReceiverEpoch, message.ReceiverPosition = l.peerEpoch, uint64(l.receivedUpTo)
	l.mu.Unlock()
	workers, reached := e.records.after(sent, name)
	message.Workers = workers
	out, err := l.client.Heartbeat(ctx, message)
	if err != nil {
		return nil, err
	}
	e.records.merge(out.Workers, name)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receivedUpTo = gossip.Position(out.Position)
	if out.Epoch == epoch || epoch == 0 {
		l.sentUpTo = reached
	} else {
		l.sentUpTo = 0 // the peer restarted and has lost the records of its predecessor
	}
	l.peerEpoch = out.Epoch
	return out, nil
}
