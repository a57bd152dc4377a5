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
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/quorum"
	"github.com/bulrushwick/bulrushwick/entry/cluster"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/decision"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
	"github.com/bulrushwick/bulrushwick/entry/intake"
	"github.com/bulrushwick/bulrushwick/entry/quota"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
	"github.com/bulrushwick/bulrushwick/entry/revocation"
	"github.com/bulrushwick/bulrushwick/entry/upstream"
)

// Ports are the interfaces to outside systems: the wire formats of callers and
// workers, worker control and the metadata store.
type Ports struct {
	Codec     Codec
	Orderer   Orderer
	Directory Directory
}

// Instance is one process that dispatches requests directly to workers. Its
// methods are safe for concurrent use, but Run must be called once only.
type Instance struct {
	settings     Settings
	ports        Ports
	log          *decision.Log
	metrics      *metrics
	fleet        *fleet
	cluster      *cluster.Cluster
	orderWatch   *orderWatch
	orders       *orderDispatcher
	gateway      *gateway
	callerServer *fasthttp.Server
	// cancelCalls ends every call in progress.
	cancelCalls context.CancelCauseFunc

	directorySync *directorySync
	versionLag    versionLag
	fetches       *fetchLimiter
	rejected      rejectedEntries

	// quotaServer runs quota meters; nil if quotas are not enforced.
	quotaServer *quota.Server
}

// orderInFlightTime is added to the operators' gap between the orders of two
// successive holders of a right, for orders still in flight when a lease ends;
// see orderTimeout.
const orderInFlightTime = 500 * time.Millisecond

// New returns an instance; Run starts it.
func New(s Settings, ports Ports, decisions *decision.Log) (*Instance, error) {
	i := &Instance{settings: s, ports: ports, log: decisions, metrics: newMetrics(), fleet: newFleet(s), directorySync: newDirectorySync(), fetches: newFetchLimiter(), rejected: rejectedEntries{reasons: make(map[string]string)}}
	incarnation := uint64(time.Now().UnixMilli())
	self := quorum.Member{
		Address: s.ControlAddress, DataCentre: s.DataCentre, Region: s.Region, Weak: s.isWeak(),
		Since: quorum.Seniority(time.Now().Unix()), Incarnation: incarnation,
	}
	turnGap := s.OrderTurnGap.Std() + orderInFlightTime
	leaseConfig, heartbeatConfig := quorum.DefaultConfig(turnGap), cluster.DefaultConfig()
	if s.isRegional() {
		leaseConfig, heartbeatConfig = quorum.RegionConfig(turnGap), cluster.RegionConfig()
	}
	i.orderWatch = newOrderWatch(i.fleet, ports.Orderer, s.controlledDataCentres())
	machine := quorum.NewMachine(now(), self, s.Seeds, append(rightsOf(s.controlledDataCentres()), s.quotaRights()...), leaseConfig, fenceFloor(s.ControlAddress), i.orderWatch.quietSince)
	c, err := cluster.New(heartbeatConfig, machine, now, i)
	if err != nil {
		return nil, err
	}
	i.cluster = c
	i.orders = newOrderDispatcher(i.fleet, c, i.instanceCount, ports.Orderer, decisions, i.metrics)
	i.orders.workerLeaves, i.orders.reportPanic = i.workerLeaves, func(p *recovery.Panic) { i.gateway.reportPanic(p) }
	baseContext, cancelCalls := context.WithCancelCause(context.Background())
	i.cancelCalls = cancelCalls
	pool := upstream.NewPool(upstream.DefaultConfig())
	i.gateway = &gateway{
		baseContext: baseContext, fleet: i.fleet, codec: ports.Codec, pool: pool, loader: i,
		log: decisions, metrics: i.metrics, workerLeaves: i.workerLeaves, admission: defaultAdmission(), guard: newPromptGuard(decisions, pool.CanConnect),
		versionLag: &i.versionLag,
	}
	i.gateway.revocation = revocation.New(revocationConfig(s), now, i)
	i.startQuota()
	i.gateway.intake = intake.New(i.intakeConfig())
	i.gateway.guard.reportPanic, i.orderWatch.reportPanic = i.gateway.reportPanic, i.gateway.reportPanic
	return i, nil
}

// fenceEpoch is the Unix second from which fencing tokens count, so that they
// fit in 53 bits.
const fenceEpoch = 1_577_836_800 // 2020-01-01

// fenceFloor returns a function that gives the lowest fencing token to issue
// next. The values rise with the wall clock, and are unique to the instance's
// IPv4 address within a 24-bit network.
func fenceFloor(address string) func() uint64 {
	ordinal := addressOrdinal(address)
	return func() uint64 {
		return quorum.Fence(uint64(max(time.Now().Unix()-fenceEpoch, 1)), ordinal)
	}
}

// addressOrdinal returns the low 24 bits of an IPv4 address, and a hash of any
// other address.
func addressOrdinal(address string) uint32 {
	parsed, err := netip.ParseAddrPort(address)
	if err == nil && parsed.Addr().Is4() {
		b := parsed.Addr().As4()
		return uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(address)) // Write of a hash.Hash never fails
	return h.Sum32()
}

// Limits of the server that receives callers' requests.
const (
	// maxCallerHeaderBytes bounds a request's header before the configuration's
	// own limit is checked: twice what the operators' documents allow.
	maxCallerHeaderBytes = 32 << 10
	// callerReadTimeout bounds the reading of a header, and the idle time of a connection,
	// while no configuration is in force.
	callerReadTimeout = 60 * time.Second
	// callerWriteTimeout is how long a caller may read nothing of its response.
	callerWriteTimeout = 20 * time.Second
	// readHeaderTimeout bounds reading the header of a request on the control,
	// readiness and metrics ports.
	readHeaderTimeout = 3 * time.Second
)

// Run serves until ctx ends, and then stops gracefully. An error means that the
// instance could not listen or serve.
func (i *Instance) Run(ctx context.Context) error {
	if ctx.Err() != nil {
		return nil // stopped before a listener was open
	}
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
	go recovery.Loop(background, i.gateway.reportPanic, "cluster", i.cluster.Run)
	go recovery.Loop(background, i.gateway.reportPanic, "housekeeping", i.runHousekeeping)
	go recovery.Loop(background, i.gateway.reportPanic, "order watch", func(ctx context.Context) { i.orderWatch.run(ctx, i.cluster.WatchesOrders) })
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
	i.callerServer = &fasthttp.Server{
		Handler: i.gateway.handle, Name: "bulrushwick", NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		DisableHeaderNamesNormalizing: true, ReadBufferSize: maxCallerHeaderBytes,
		IdleTimeout: callerReadTimeout, ReadTimeout: callerReadTimeout, DisablePreParseMultipartForm: true,
		ReduceMemoryUsage: true, CloseOnShutdown: true, Logger: callerErrorLog{i.log}, SecureErrorLogMessage: true,
		StreamRequestBody: true, HeaderReceived: i.gateway.intake.HeaderReceived, ConnState: intake.ConnState, ErrorHandler: intake.HandleReadError,
	}
	go func() {
		failed <- i.callerServer.Serve(httpx.WatchIdleListener(i.gateway.intake.Listener(l.callers), callerWriteTimeout, i.callerIdleTimeout))
	}()
	serve := func(listener net.Listener, handler http.Handler) {
		server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: log.New(i.log, "", 0)}
		go func() { failed <- server.Serve(listener) }()
	}
	ready := http.NewServeMux()
	ready.HandleFunc(i.ports.Codec.ReadinessPath(), i.readiness)
	serve(l.readiness, ready)
	serve(l.control, i.cluster.Handler())
	if l.metrics != nil {
		serve(l.metrics, i.metricsHandler())
	}
}

// callerIdleTimeout returns how long a caller's connection may be idle; 0 while
// no configuration is in force.
func (i *Instance) callerIdleTimeout() time.Duration {
	table := i.fleet.config.table()
	if table == nil {
		return 0
	}
	return table.Config.Limits.IdleTimeout
}

// readiness serves the load balancer's health check.
func (i *Instance) readiness(w http.ResponseWriter, _ *http.Request) {
	if i.gateway.draining.Load() || i.gateway.servingTable() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Durations of a graceful stop.
const (
	// balancerDetectionTime is how long the load balancer may send new
	// connections after readiness was withdrawn: it checks once per second and
	// needs two failures.
	balancerDetectionTime = 2500 * time.Millisecond
	// stopMargin is the time between the end of the calls and the kill, for
	// responses still in flight.
	stopMargin = 800 * time.Millisecond
	// minServiceTime is the time before the end of the calls from which requests are
	// not passed on any more: they could hardly end, and those that may not be repeated
	// would be lost.
	minServiceTime = 1500 * time.Millisecond
	// lastResponsesTime is how long the responses of canceled calls may take.
	lastResponsesTime = 300 * time.Millisecond
	stopPollInterval  = 50 * time.Millisecond
)

// errStopping is the cancellation cause of calls that outlast the grace period
// of a stop.
var errStopping = errors.New("the instance stops")

// stop finishes the requests in progress. New ones are admitted until the load
// balancer has noticed, and refused afterwards.
func (i *Instance) stop() error {
	i.gateway.draining.Store(true)
	began := now()
	i.log.Line(decision.Stopping).Int64(decision.FieldRequests, i.gateway.activeRequests.Load()).Send()
	leaveContext, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	i.cluster.Leave(leaveContext)
	admissionEnds := began + balancerDetectionTime
	deadline := began + i.settings.StopGrace.Std() - stopMargin
	i.gateway.dispatchEnds.Store(int64(max(admissionEnds, deadline-minServiceTime)))
	i.sleepUntil(admissionEnds)
	i.gateway.closed.Store(true)
	for i.gateway.activeRequests.Load() > 0 && now() < deadline {
		time.Sleep(stopPollInterval)
	}
	i.log.Line(decision.Stopped).Int64(decision.FieldCut, i.gateway.activeRequests.Load()).Dur(decision.FieldTookMS, now()-began).Send()
	i.cancelCalls(errStopping)
	i.sleepUntil(now() + lastResponsesTime)
	return nil
}

func (i *Instance) sleepUntil(at time.Duration) { time.Sleep(at - now()) }

// errReloadInStop is logged for settings that change during a graceful stop.
var errReloadInStop = errors.New("the instance is stopping; the settings take effect at the next start")

// Reload applies changed settings to a running instance: only the seeds. Every
// other change takes effect at the next start. An instance that is stopping has left
// its cluster, and ignores the change.
func (i *Instance) Reload(s Settings) {
	if i.gateway.draining.Load() {
		i.ReloadFailed(errReloadInStop)
		return
	}
	i.cluster.With(func(at time.Duration, m *quorum.Machine) { m.SetSeeds(at, s.Seeds) })
	i.setQuotaSeeds(s.Seeds)
	i.log.Line(decision.Reloaded).Strs(decision.FieldSeeds, s.Seeds).Send()
}

// ReloadFailed logs that changed settings are invalid; the former ones stay in
// force.
func (i *Instance) ReloadFailed(err error) { i.log.Warn(decision.Reloaded, err).Send() }

// Intervals of housekeeping.
const (
	refreshInterval    = 100 * time.Millisecond
	logSummaryInterval = 5 * time.Second
	// gaugeInterval is how often gauges are updated; metrics are scraped every
	// few seconds.
	gaugeInterval = time.Second
)

func (i *Instance) runHousekeeping(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	summaryAt, gaugesAt := now(), now()
	store := &storeReader{Instance: i, startedAt: now()}
	defer store.close() // a panic starts housekeeping, and with it the reader, again
	for {
		store.refresh(ctx)
		i.refreshConfirmation()
		select {
		case <-ctx.Done():
			return
		case due := <-ticker.C:
			i.metrics.recordLoopDelay(time.Since(due))
		}
		i.tickWorkers()
		i.orders.refresh(ctx)
		i.fleet.setInstanceCount(i.cluster.MemberCount())
		at := now()
		if at-gaugesAt >= gaugeInterval {
			gaugesAt = at
			i.updateGauges(at)
		}
		if at-summaryAt >= logSummaryInterval {
			summaryAt = at
			i.gateway.pool.CloseExpired(time.Now())
			i.logQuota()
			i.log.Summarize()
		}
	}
}

// instanceCount implements adapterLoader. It returns the number of instances in
// all clusters, estimated from the size of this instance's own.
func (i *Instance) instanceCount() int {
	return i.cluster.MemberCount() * i.settings.clusterCount()
}

// requestLoad implements adapterLoader. The load runs here if this instance
// controls the worker, else at the instance that does.
func (i *Instance) requestLoad(ctx context.Context, r *Request, load loadRequest) (bool, string) {
	w, known := i.fleet.workers.find(load.worker)
	if !known {
		return false, "the worker is gone"
	}
	right := rightOf(&w)
	if _, held := i.cluster.Held(right); held {
		return i.orders.loadAdapter(ctx, load)
	}
	holder := i.cluster.Holder(right)
	if holder == "" || holder == i.settings.ControlAddress {
		return false, "no instance orders the worker now"
	}
	response, err := i.cluster.LoadAdapter(ctx, holder, &clusterpb.LoadAdapterRequest{
		RequestId: r.ID, Worker: load.worker, Born: load.born, Model: r.Model, Adapter: load.adapter,
		Rank: uint32(load.priority.Rank - resumeRank), WaitNs: int64(load.deadline - now()), Missing: load.denied,
		Organisation: r.organisationName(), Share: uint32(load.priority.Share),
	})
	if err != nil {
		i.log.Warn(decision.AttemptFailed, err).Str(decision.FieldRequest, r.ID).Str(decision.FieldHolder, holder).Str(decision.FieldCall, "load_adapter").Send()
		return false, "the instance that orders the worker did not answer"
	}
	return response.GetReady(), response.GetReason()
}
