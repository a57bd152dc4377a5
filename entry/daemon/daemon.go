// Package daemon assembles one entry instance from the other packages of this
// module and runs it.
package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/coord/table/replica"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/forward"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
	"github.com/bulrushwick/bulrushwick/entry/ingress"
	"github.com/bulrushwick/bulrushwick/entry/intake"
	"github.com/bulrushwick/bulrushwick/entry/keys"
	"github.com/bulrushwick/bulrushwick/entry/lease"
	"github.com/bulrushwick/bulrushwick/entry/operator"
	"github.com/bulrushwick/bulrushwick/entry/owner"
	"github.com/bulrushwick/bulrushwick/entry/peer"
	"github.com/bulrushwick/bulrushwick/entry/peer/peerpb"
	"github.com/bulrushwick/bulrushwick/entry/platform"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
	"github.com/bulrushwick/bulrushwick/entry/settings"
	"github.com/bulrushwick/bulrushwick/entry/tables"
	"github.com/bulrushwick/bulrushwick/entry/telemetry"
)

// tickInterval is the resolution of the deadlines in the queues of the workers'
// owners.
const tickInterval = 20 * time.Millisecond

// drainTimeout bounds how long a graceful stop waits for requests in progress.
const drainTimeout = time.Hour

// Timeouts and limits of the HTTP listeners.
const (
	headerReadTimeout = 10 * time.Second
	idleTimeout       = 60 * time.Second
	// connsLimit bounds the connections of one listener; those of callers have a lower
	// limit of their own.
	connsLimit = 65536
	// stallTimeout is how long a caller may go without reading any of its response.
	stallTimeout = 30 * time.Second
)

// Daemon is one entry instance. Listen and Run are called once, in this order; the
// other methods are safe for concurrent use.
type Daemon struct {
	settings settings.Settings
	log      zerolog.Logger
	fleet    *fleet.Fleet
	owner    *owner.Owner
	keys     *keys.Keys
	exchange *peer.Exchange
	keeper   *lease.Keeper
	reader   *platform.Reader
	platform *platform.Client
	follower *tables.Follower
	callers  *fasthttp.Server
	peers    *fasthttp.Server
	control  *http.Server

	telemetry *telemetry.Telemetry
	operator  *http.Server

	memory intakes

	listeners []net.Listener
}

// Addresses holds the listen addresses of an instance.
type Addresses struct {
	Callers string
	Peers   string
	Control string
	// Operator is empty where the settings name no operator address.
	Operator string
}

// New returns an instance that is not listening yet; Listen opens its listeners.
func New(s settings.Settings, log zerolog.Logger) (*Daemon, error) {
	log = log.With().Str("instance", s.Instance).Logger()
	f := fleet.New(s.Instance, s.DataCentre)
	clients := httpx.ClientConfig{
		ConnectTimeout:  s.ConnectTimeout.Std(),
		ProgressTimeout: s.ProgressTimeout.Std(),
	}
	own, err := newOwner(s, f, clients, log)
	if err != nil {
		return nil, err
	}
	records := peer.NewRecords(f, own.Summaries)
	exchange, err := peer.NewExchange(peer.Config{
		HeartbeatEvery: s.HeartbeatEvery.Std(),
		Concurrency:    s.ControlConcurrency,
	}, f, records, log)
	if err != nil {
		return nil, err
	}
	platformClient := platform.NewClient(s.PlatformAddress)
	follower, err := tables.NewFollower(followerConfig(s), f, platformClient, exchange, log)
	if err != nil {
		return nil, err
	}
	keeper, err := newKeeper(s, f, exchange, own, log)
	if err != nil {
		return nil, err
	}
	peers := forward.NewClient(clients)
	memory := newIntakes(s)
	ingressServer := ingress.NewServer(f, own, peers, ingress.ReadBody(memory.callers, s.BodyLimit), memory.callers.Responses(), sampled(log), recovery.Log(log))
	observed, err := newTelemetry(s, own, peers, ingressServer)
	if err != nil {
		return nil, err
	}
	keyed, err := keys.New(keys.Config{Record: s.Keys.Record(), Concurrency: s.DispatchConcurrency}, f, f, peers, ingressServer.Run, log)
	if err != nil {
		return nil, err
	}
	ingressServer.UseKeyed(keyed)
	keeper.Handle(ownership.KeyRightPrefix, keyed)
	return &Daemon{
		telemetry: observed,
		operator:  newOperator(operator.NewServer(f, ingressServer, observed.Handler())),
		settings:  s,
		memory:    memory,
		log:       log,
		fleet:     f,
		owner:     own,
		keys:      keyed,
		exchange:  exchange,
		follower:  follower,
		keeper:    keeper,
		platform:  platformClient,
		reader:    platform.NewReader(platformClient, f, s.WatchWait.Std(), log),
		callers:   newServer(ingressServer.Handle, memory.callers, log),
		peers:     newPeerServer(s, f, own, keyed, memory.peers, log),
		control:   newControl(f, records, keeper, own),
	}, nil
}

// newPeerServer returns the server for requests that peers forward.
func newPeerServer(s settings.Settings, f *fleet.Fleet, own, keyed forward.Server, i *intake.Intake, log zerolog.Logger) *fasthttp.Server {
	withCatchUp := func(inner forward.Server) forward.Server {
		return tables.NewCatchUp(f, inner, s.TableCatchUp.Std())
	}
	return newServer(forward.Handler(withCatchUp(own), withCatchUp(keyed), ingress.ReadBody(i, s.BodyLimit), i.Responses(), recovery.Log(log)), i, log)
}

// newControl returns the server for the control calls of peers.
func newControl(f *fleet.Fleet, records *peer.Records, voter peer.Voter, lender peer.Lender) *http.Server {
	control := peer.NewServer(f, records, voter)
	control.UseLender(lender)
	return peer.NewControlServer(peerpb.NewPeerServer(control), headerReadTimeout)
}

// followerConfig returns the configuration of the table follower. Its choice of peers
// is seeded at random, since it need not be reproducible.
func followerConfig(s settings.Settings) tables.Config {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	config := replica.DefaultConfig(s.Instance, s.DataCentre, random)
	config.Readers = s.TableReaders
	config.WatchWait = s.TableWatchWait.Std()
	config.QueryInterval = s.TableAskEvery.Std()
	return tables.Config{Replica: config, Concurrency: s.ControlConcurrency}
}

// newServer returns a server for requests of callers or forwarded requests, whose bodies
// are read through an intake.
func newServer(handler fasthttp.RequestHandler, i *intake.Intake, log zerolog.Logger) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      confinePanics(log, handler),
		ErrorHandler:                 ingress.HandleReadError,
		Logger:                       serverLog{log: sampled(log)},
		NoDefaultServerHeader:        true,
		StreamRequestBody:            true,
		HeaderReceived:               i.HeaderReceived,
		ConnState:                    intake.ConnState,
		ReadTimeout:                  headerReadTimeout,
		IdleTimeout:                  idleTimeout,
		Concurrency:                  connsLimit,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
	}
}

// Listen opens the listeners and returns their addresses. Where the settings have
// port 0, the address has the port that was assigned.
func (d *Daemon) Listen() (Addresses, error) {
	wanted := []string{d.settings.CallerAddress, d.settings.PeerAddress, d.settings.ControlAddress}
	if d.settings.OperatorAddress != "" {
		wanted = append(wanted, d.settings.OperatorAddress)
	}
	listeners, err := listenAll(d.wrapListener, wanted...)
	if err != nil {
		return Addresses{}, err
	}
	d.listeners = listeners
	addresses := Addresses{
		Callers: listeners[0].Addr().String(),
		Peers:   listeners[1].Addr().String(),
		Control: listeners[2].Addr().String(),
	}
	if len(listeners) > operatorListener {
		addresses.Operator = listeners[operatorListener].Addr().String()
	}
	return addresses, nil
}

// Run serves until ctx is done or a listener fails. When ctx is done it stops
// gracefully: it hands over its rights and waits for the requests in progress, up
// to drainTimeout. Listen must have been called.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, len(d.listeners))
	go func() { failed <- d.callers.Serve(d.listeners[0]) }()
	go func() { failed <- d.peers.Serve(d.listeners[1]) }()
	go func() { failed <- d.control.Serve(d.listeners[2]) }()
	if len(d.listeners) > operatorListener {
		go func() { failed <- d.operator.Serve(d.listeners[operatorListener]) }()
	}
	go d.loop(background, "platform", d.reader.Run)
	go d.loop(background, "tables", d.follower.Run)
	go d.loop(background, "heartbeats", d.exchange.Run)
	go d.loop(background, "leases", d.keeper.Run)
	go d.loop(background, "loans", func(ctx context.Context) { d.exchange.RunLoans(ctx, d.owner) })
	go d.loop(background, "tick", d.tick)
	go d.loop(background, "state", d.observeState)
	select {
	case <-ctx.Done():
		return d.drain()
	case err := <-failed:
		return oops.Code("listener_failed").Wrap(err)
	}
}

// Ready reports whether the instance accepts new requests.
func (d *Daemon) Ready() bool {
	return d.fleet.Ready() && d.keeper.Settled() && d.keys.Ready()
}

// Revision returns the revision of the tables in force, or 0 before the first.
func (d *Daemon) Revision() uint64 {
	t := d.fleet.Table()
	if t == nil {
		return 0
	}
	return t.Revision
}

// Snapshot returns the published bytes of the tables in force. It must not be called
// before the first revision.
func (d *Daemon) Snapshot() table.Snapshot { return d.fleet.Table().Snapshot() }

// Waiting returns the number of requests that are queued for the workers of this
// instance.
func (d *Daemon) Waiting() int {
	waiting := 0
	for _, s := range d.owner.Summaries() {
		waiting += s.Waiting
	}
	return waiting
}

// drain stops gracefully. Peers learn of it by a heartbeat, and the rights are
// handed over, before the listeners wait for the requests in progress.
func (d *Daemon) drain() error {
	d.log.Info().Str("event", "leaving").Send()
	d.fleet.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	d.exchange.SendHeartbeats(ctx)
	d.handOverRights()
	err := errors.Join(d.callers.ShutdownWithContext(ctx), d.peers.ShutdownWithContext(ctx), d.control.Shutdown(ctx))
	d.owner.Close()
	d.keys.Close()
	err = errors.Join(err, d.operator.Close(), d.telemetry.Close())
	d.log.Info().Str("event", "stopped").Send()
	return oops.Wrap(err)
}

// tick runs the periodic work of the owner and of the keys until ctx is done, and
// logs once when the instance becomes ready.
func (d *Daemon) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	ready := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.owner.Tick()
			d.keys.Tick()
			if !ready && d.Ready() {
				ready = true
				d.log.Info().Str("event", "ready").Send()
			}
		}
	}
}

// wrapListener has the connections of callers and of peers belong to their intakes.
func (d *Daemon) wrapListener(index int, inner net.Listener) net.Listener {
	switch index {
	case 0:
		return d.memory.callers.Listener(inner)
	case 1:
		return d.memory.peers.Listener(inner)
	}
	return inner
}

// listenAll opens a listener at each address, or none if one of them fails. wrap wraps
// the listener with an index.
func listenAll(wrap func(int, net.Listener) net.Listener, addresses ...string) ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(addresses))
	for n, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, oops.Code("listen_failed").With("address", address).Wrap(err)
		}
		listeners = append(listeners, httpx.WatchListener(wrap(n, listener), stallTimeout))
	}
	return listeners, nil
}
