// Package daemon assembles one entry instance from its slices.
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
	"github.com/bulrushwick/bulrushwick/entry/keys"
	"github.com/bulrushwick/bulrushwick/entry/lease"
	"github.com/bulrushwick/bulrushwick/entry/operator"
	"github.com/bulrushwick/bulrushwick/entry/owner"
	"github.com/bulrushwick/bulrushwick/entry/peer"
	"github.com/bulrushwick/bulrushwick/entry/peer/peerpb"
	"github.com/bulrushwick/bulrushwick/entry/platform"
	"github.com/bulrushwick/bulrushwick/entry/settings"
	"github.com/bulrushwick/bulrushwick/entry/tables"
	"github.com/bulrushwick/bulrushwick/entry/telemetry"
)

// tickEvery is the resolution of deadlines in the owners' queues.
const tickEvery = 20 * time.Millisecond

// drainLimit bounds how long a planned stop waits for requests in progress.
const drainLimit = time.Hour

// Timeouts and limits of the listeners.
const (
	headerReadTimeout = 10 * time.Second
	idleTimeout       = 60 * time.Second
	callerConnsLimit  = 65536
	// stallTimeout is how long a caller may take nothing of its answer.
	stallTimeout = 30 * time.Second
)

// Daemon is one entry instance.
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

	listeners []net.Listener
}

// Addresses are where an instance listens.
type Addresses struct {
	Callers string
	Peers   string
	Control string
	// Operator is empty where the settings name no operator address.
	Operator string
}

// New builds an instance; nothing listens before Run.
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
	reads := platform.NewClient(s.PlatformAddress)
	follower, err := tables.NewFollower(followerConfig(s), f, reads, exchange, log)
	if err != nil {
		return nil, err
	}
	keeper, err := newKeeper(s, f, exchange, own, log)
	if err != nil {
		return nil, err
	}
	peers := forward.NewClient(clients)
	front := ingress.NewServer(f, own, peers, flooded(log))
	observed, err := observe(s, own, peers, front)
	if err != nil {
		return nil, err
	}
	keyed, err := keys.New(keys.Config{Record: s.Keys.Record(), Concurrency: s.DispatchConcurrency}, f, f, peers, front.Run, log)
	if err != nil {
		return nil, err
	}
	front.UseKeyed(keyed)
	keeper.Handle(ownership.KeyRightPrefix, keyed)
	caughtUp := func(inner forward.Server) forward.Server {
		return tables.NewCatchUp(f, inner, s.TableCatchUp.Std())
	}
	return &Daemon{
		telemetry: observed,
		operator:  newOperator(operator.NewServer(f, front, observed.Handler())),
		settings:  s,
		log:       log,
		fleet:     f,
		owner:     own,
		keys:      keyed,
		exchange:  exchange,
		follower:  follower,
		keeper:    keeper,
		platform:  reads,
		reader:    platform.NewReader(reads, f, s.WatchWait.Std(), log),
		callers:   newServer(front.Handle, s.BodyLimit, log),
		peers:     newServer(forward.Handler(caughtUp(own), caughtUp(keyed)), s.BodyLimit, log),
		control:   newControl(f, records, keeper, own),
	}, nil
}

// newControl returns the server of the peers' control calls.
func newControl(f *fleet.Fleet, records *peer.Records, voter peer.Voter, lender peer.Lender) *http.Server {
	control := peer.NewServer(f, records, voter)
	control.UseLender(lender)
	return peer.NewControlServer(peerpb.NewPeerServer(control), headerReadTimeout)
}

// followerConfig seeds the choice of peers, which need not repeat.
func followerConfig(s settings.Settings) tables.Config {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	config := replica.DefaultConfig(s.Instance, s.DataCentre, random)
	config.Readers = s.TableReaders
	config.WatchWait = s.TableWatchWait.Std()
	config.QueryInterval = s.TableAskEvery.Std()
	return tables.Config{Replica: config, Concurrency: s.ControlConcurrency}
}

func newServer(handler fasthttp.RequestHandler, bodyLimit int, log zerolog.Logger) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      handler,
		ErrorHandler:                 ingress.HandleReadError,
		Logger:                       serverLog{log: flooded(log)},
		NoDefaultServerHeader:        true,
		MaxRequestBodySize:           bodyLimit,
		ReadTimeout:                  headerReadTimeout,
		IdleTimeout:                  idleTimeout,
		Concurrency:                  callerConnsLimit,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
	}
}

// Listen opens the listeners and returns their addresses, which tell the ports
// that were taken where the settings name port 0.
func (d *Daemon) Listen() (Addresses, error) {
	wanted := []string{d.settings.CallerAddress, d.settings.PeerAddress, d.settings.ControlAddress}
	if d.settings.OperatorAddress != "" {
		wanted = append(wanted, d.settings.OperatorAddress)
	}
	listeners, err := listenAll(wanted...)
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

// Run serves until ctx is done, then stops gracefully: it finishes every
// request in progress before it returns. Listen must have been called.
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
	go d.reader.Run(background)
	go d.follower.Run(background)
	go d.exchange.Run(background)
	go d.keeper.Run(background)
	go d.exchange.RunLoans(background, d.owner)
	go d.tick(background)
	go d.observe(background)
	select {
	case <-ctx.Done():
		return d.drain()
	case err := <-failed:
		return oops.Code("listener_failed").Wrap(err)
	}
}

// Ready tells whether the instance takes new work.
func (d *Daemon) Ready() bool {
	return d.fleet.Ready() && d.keeper.Settled() && d.keys.Ready()
}

// Revision returns the revision in force, or 0 before the first.
func (d *Daemon) Revision() uint64 {
	t := d.fleet.Table()
	if t == nil {
		return 0
	}
	return t.Revision
}

// Snapshot returns the published bytes of the tables in force.
func (d *Daemon) Snapshot() table.Snapshot { return d.fleet.Table().Snapshot() }

// Waiting returns the number of requests that wait for a worker here.
func (d *Daemon) Waiting() int {
	waiting := 0
	for _, s := range d.owner.Summaries() {
		waiting += s.Waiting
	}
	return waiting
}

func (d *Daemon) drain() error {
	d.log.Info().Str("event", "leaving").Send()
	d.fleet.Leave()
	limit, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	d.exchange.Beat(limit)
	d.handOver()
	err := errors.Join(d.callers.ShutdownWithContext(limit), d.peers.ShutdownWithContext(limit), d.control.Shutdown(limit))
	d.owner.Close()
	d.keys.Close()
	err = errors.Join(err, d.operator.Close(), d.telemetry.Close())
	d.log.Info().Str("event", "stopped").Send()
	return oops.Wrap(err)
}

func (d *Daemon) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
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

func listenAll(addresses ...string) ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(addresses))
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, oops.Code("listen_failed").With("address", address).Wrap(err)
		}
		listeners = append(listeners, httpx.WatchListener(listener, stallTimeout))
	}
	return listeners, nil
}
