package direct

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/quorum"
	"github.com/bulrushwick/bulrushwick/entry/cluster"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/decision"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
	"github.com/bulrushwick/bulrushwick/entry/upstream"
)

// Ports are the outside systems that an instance speaks to.
type Ports struct {
	Codec     Codec
	Orderer   Orderer
	Directory Directory
}

// Instance is one process that dispatches directly.
type Instance struct {
	settings Settings
	ports    Ports
	log      *decision.Log
	metrics  *metrics
	fleet    *fleet
	cluster  *cluster.Cluster
	orders   *orders
	gateway  *gateway
	callers  *fasthttp.Server
	// endCalls ends every call in progress.
	endCalls context.CancelCauseFunc

	shared   *shared
	fetchMu  sync.Mutex
	fetching bool
}

// orderFlight is added to the operators' gap between two holders' orders, for
// orders on their way when a lease ends; see orderTimeout.
const orderFlight = 500 * time.Millisecond

// New returns an instance that Run starts.
func New(s Settings, ports Ports, decisions *decision.Log) (*Instance, error) {
	i := &Instance{settings: s, ports: ports, log: decisions, metrics: newMetrics(), fleet: newFleet(s), shared: newShared()}
	incarnation := uint64(time.Now().UnixMilli())
	self := quorum.Member{
		Address: s.ControlAddress, DataCentre: s.DataCentre, Region: s.Region, Weak: s.weak(),
		Since: quorum.Seniority(time.Now().Unix()), Incarnation: incarnation,
	}
	turnGap := s.OrderTurnGap.Std() + orderFlight
	leases, beats := quorum.DefaultConfig(turnGap), cluster.DefaultConfig()
	if s.regional() {
		leases, beats = quorum.RegionConfig(turnGap), cluster.RegionConfig()
	}
	machine := quorum.NewMachine(now(), self, s.Seeds, rightsOf(s.orderedDataCentres()), leases, fenceFloor(s.ControlAddress))
	c, err := cluster.New(beats, machine, now, i)
	if err != nil {
		return nil, err
	}
	i.cluster = c
	i.orders = newOrders(i.fleet, c, i.members, ports.Orderer, decisions, i.metrics)
	base, endCalls := context.WithCancelCause(context.Background())
	i.endCalls = endCalls
	i.gateway = &gateway{
		base: base, fleet: i.fleet, codec: ports.Codec, pool: upstream.NewPool(upstream.DefaultConfig()), loads: i,
		log: decisions, metrics: i.metrics, policy: defaultAdmission(),
	}
	return i, nil
}

// fenceEpoch is the Unix second from which fencing numbers count, so that they
// stay within 53 bits.
const fenceEpoch = 1_577_836_800 // 2020-01-01

// fenceFloor returns numbers that rise with the wall clock and are unique to
// the instance's IPv4 address within a network of 24 bits.
func fenceFloor(address string) func() uint64 {
	ordinal := ordinalOf(address)
	return func() uint64 {
		return quorum.Fence(uint64(max(time.Now().Unix()-fenceEpoch, 1)), ordinal)
	}
}

func ordinalOf(address string) uint32 {
	parsed, err := netip.ParseAddrPort(address)
	if err == nil && parsed.Addr().Is4() {
		b := parsed.Addr().As4()
		return uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(address)) // a hash.Hash never fails
	return h.Sum32()
}

// Limits of the callers' server.
const (
	// callerHeaderBytes bounds a request's header before a configuration's own
	// bound is looked at: twice what the operators' documents allow.
	callerHeaderBytes = 32 << 10
	// callerBodyBytes bounds a request's body before its route is known.
	callerBodyBytes = 8 << 20
	// callerRead bounds the reading of one request, and the rest of a connection
	// while no configuration is in force.
	callerRead = 60 * time.Second
	// callerStall is how long a caller may take nothing of its answer.
	callerStall = 20 * time.Second
	// headerTimeout bounds the header of a call on the control and readiness ports.
	headerTimeout = 3 * time.Second
)

// Run serves until ctx ends, and then stops gracefully.
func (i *Instance) Run(ctx context.Context) error {
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 4)
	i.serveAll(listeners, failed)
	i.log.Line(decision.Started).Str(decision.FieldDataCentre, i.settings.DataCentre).Str(decision.FieldCallers, i.settings.CallerAddress).
		Strs(decision.FieldSeeds, i.settings.Seeds).Send()
	go i.cluster.Run(background)
	go i.housekeep(background)
	select {
	case <-ctx.Done():
		return i.stop()
	case err := <-failed:
		return err
	}
}

type listeners struct{ callers, readiness, control, metrics net.Listener }

func (i *Instance) listen() (listeners, error) {
	var l listeners
	var errs []error
	open := func(address string) net.Listener {
		if address == "" {
			return nil
		}
		opened, err := net.Listen("tcp", address)
		if err != nil {
			errs = append(errs, oops.Code("listen").With("address", address).Wrap(err))
		}
		return opened
	}
	l.callers = open(i.settings.CallerAddress)
	l.readiness = open(i.settings.ReadinessAddress)
	l.control = open(cmp.Or(i.settings.ControlListenAddress, i.settings.ControlAddress))
	l.metrics = open(i.settings.MetricsAddress)
	return l, errors.Join(errs...)
}

func (i *Instance) serveAll(l listeners, failed chan<- error) {
	i.callers = &fasthttp.Server{
		Handler: i.gateway.handle, Name: "bulrushwick", NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		DisableHeaderNamesNormalizing: true, ReadBufferSize: callerHeaderBytes, MaxRequestBodySize: callerBodyBytes,
		IdleTimeout: callerRead, ReadTimeout: callerRead, DisablePreParseMultipartForm: true, StreamRequestBody: false,
		ReduceMemoryUsage: true, CloseOnShutdown: true, Logger: i.log,
	}
	go func() { failed <- i.callers.Serve(httpx.WatchIdleListener(l.callers, callerStall, i.callerIdle)) }()
	serve := func(listener net.Listener, handler http.Handler) {
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: log.New(i.log, "", 0)}
		go func() { failed <- server.Serve(listener) }()
	}
	ready := http.NewServeMux()
	ready.HandleFunc(i.ports.Codec.ReadinessPath(), i.readiness)
	serve(l.readiness, ready)
	serve(l.control, i.cluster.Handler())
	if l.metrics != nil {
		serve(l.metrics, i.metrics.handler())
	}
}

// callerIdle is how long a caller's connection may rest.
func (i *Instance) callerIdle() time.Duration {
	table := i.fleet.table()
	if table == nil {
		return 0
	}
	return table.Config.Limits.IdleTimeout
}

// readiness answers the load balancer.
func (i *Instance) readiness(w http.ResponseWriter, _ *http.Request) {
	if i.gateway.draining.Load() || i.fleet.table() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Times of a graceful stop.
const (
	// balancerNotices is how long the load balancer may send new connections
	// after readiness was withdrawn: it asks once a second and wants two misses.
	balancerNotices = 2500 * time.Millisecond
	// stopMargin is left between the end of the calls and the kill, for answers
	// on their way.
	stopMargin = 800 * time.Millisecond
	// lastAnswers is how long the answers of ended calls may take.
	lastAnswers = 300 * time.Millisecond
	stopPoll    = 50 * time.Millisecond
)

// errStopping ends the calls that outlast the grace of a stop.
var errStopping = errors.New("the instance stops")

// stop finishes the requests in progress. New ones are taken until the load
// balancer has noticed, and refused afterwards.
func (i *Instance) stop() error {
	i.gateway.draining.Store(true)
	began := now()
	i.log.Line(decision.Stopping).Int64(decision.FieldRequests, i.gateway.active.Load()).Send()
	leave, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	i.cluster.Leave(leave)
	i.await(began + balancerNotices)
	i.gateway.closed.Store(true)
	limit := began + i.settings.StopGrace.Std() - stopMargin
	for i.gateway.active.Load() > 0 && now() < limit {
		time.Sleep(stopPoll)
	}
	i.log.Line(decision.Stopped).Int64(decision.FieldCut, i.gateway.active.Load()).Dur(decision.FieldTookMS, now()-began).Send()
	i.endCalls(errStopping)
	i.await(now() + lastAnswers)
	return nil
}

func (i *Instance) await(at time.Duration) { time.Sleep(at - now()) }

// Reload takes changed settings into use while the instance runs: the seeds.
// Every other change counts from the next start.
func (i *Instance) Reload(s Settings) {
	i.cluster.With(func(at time.Duration, m *quorum.Machine) { m.SetSeeds(at, s.Seeds) })
	i.log.Line(decision.Reloaded).Strs(decision.FieldSeeds, s.Seeds).Send()
}

// ReloadFailed logs settings that can't be used; the former stay in force.
func (i *Instance) ReloadFailed(err error) { i.log.Warn(decision.Reloaded, err).Send() }

// Intervals of housekeeping.
const (
	refreshEvery = 100 * time.Millisecond
	summaryEvery = 5 * time.Second
	// levelsEvery is the interval of gauges; metrics are read every few seconds.
	levelsEvery = time.Second
)

func (i *Instance) housekeep(ctx context.Context) {
	ticker := time.NewTicker(refreshEvery)
	defer ticker.Stop()
	summary, levels := now(), now()
	store := &reader{Instance: i, started: now()}
	for {
		store.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case due := <-ticker.C:
			i.metrics.loopLate(time.Since(due))
		}
		i.workersChanged(i.fleet.changeWorkers(tickRegistry))
		i.orders.refresh(ctx)
		i.fleet.setInstances(i.cluster.Members())
		at := now()
		if at-levels >= levelsEvery {
			levels = at
			i.observeLevels(at)
		}
		if at-summary >= summaryEvery {
			summary = at
			i.gateway.pool.Trim(time.Now())
			i.log.Summarize()
		}
	}
}

// members implements loader: the instances of all clusters, as far as known.
func (i *Instance) members() int {
	return i.cluster.Members() * i.settings.clusters()
}

// load implements loader: here where this instance orders the worker, else at
// the instance that does.
func (i *Instance) load(ctx context.Context, r *Request, want loadWant) (bool, string) {
	w, known := i.fleet.worker(want.worker)
	if !known {
		return false, "the worker is gone"
	}
	right := rightOf(&w)
	if _, held := i.cluster.Held(right); held {
		return i.orders.load(ctx, want)
	}
	holder := i.cluster.Holder(right)
	if holder == "" || holder == i.settings.ControlAddress {
		return false, "no instance orders the worker now"
	}
	response, err := i.cluster.LoadAdapter(ctx, holder, &clusterpb.LoadAdapterRequest{
		RequestId: r.ID, Worker: want.worker, Born: want.born, Model: r.Model, Adapter: want.adapter,
		Rank: uint32(want.rank - resumeRank), WaitNs: int64(want.until - now()), Missing: want.missing,
	})
	if err != nil {
		i.log.Warn(decision.AttemptFailed, err).Str(decision.FieldRequest, r.ID).Str(decision.FieldHolder, holder).Str(decision.FieldCall, "load_adapter").Send()
		return false, "the instance that orders the worker did not answer"
	}
	return response.GetReady(), response.GetReason()
}
