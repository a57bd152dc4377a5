// Package cluster connects the quorum.Machine of this instance with those of
// its peers. It exchanges heartbeats over Twirp, which also carry state updates,
// and serves and sends the calls LoadAdapter and FetchState.
package cluster

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/samber/oops"

	"github.com/bulrushwick/bulrushwick/coord/quorum"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// Config limits the calls to other instances.
type Config struct {
	// CallTimeout limits a heartbeat call. Votes count from when they were
	// requested, so a later reply would hardly extend a lease.
	CallTimeout time.Duration
	// FetchTimeout limits a FetchState call, which may transfer a configuration.
	FetchTimeout time.Duration
	// Concurrency is the maximum number of heartbeat calls in progress.
	Concurrency int
}

// DefaultConfig returns the limits that match quorum.DefaultConfig.
func DefaultConfig() Config {
	return Config{
		CallTimeout:  600 * time.Millisecond, // half of a lease
		FetchTimeout: 2 * time.Second,
		Concurrency:  256,
	}
}

// RegionConfig returns the limits that match quorum.RegionConfig.
func RegionConfig() Config {
	c := DefaultConfig()
	c.CallTimeout = time.Second
	return c
}

// Local provides the state of this instance that its peers receive, and handles
// what they send. Its methods are called concurrently.
type Local interface {
	// HeartbeatUpdate returns the update for the next heartbeat, with the latest changes of
	// the store's contents if withDirectory is set.
	HeartbeatUpdate(withDirectory bool) *clusterpb.News
	// PeerHasDirectory reports whether a peer knows the same contents of the store as this
	// instance, so that heartbeats need not carry changes of them.
	PeerHasDirectory(peer string) bool
	// ReplyUpdate returns the update for the reply to a member that isn't a voter. Such
	// members learn the state of others only from the replies of voters.
	ReplyUpdate(now time.Duration, peer string) *clusterpb.News
	// ApplyUpdate applies an update that was received from a peer at now.
	ApplyUpdate(now time.Duration, peer string, update *clusterpb.News)
	// HandlePeerVersion handles the version of the configuration in force at a peer.
	HandlePeerVersion(peer string, version uint64)
	// LoadAdapter serves a peer's LoadAdapter call.
	LoadAdapter(context.Context, *clusterpb.LoadAdapterRequest) (*clusterpb.LoadAdapterResponse, error)
	// TakeQuota serves a peer's TakeQuota call.
	TakeQuota(*clusterpb.TakeQuotaRequest) *clusterpb.TakeQuotaResponse
	// State serves a peer's FetchState call.
	State(*clusterpb.FetchStateRequest) *clusterpb.FetchStateResponse
	// ConfigVersion returns the version of the configuration in force.
	ConfigVersion() uint64
	// RightsChanged handles changes of rights and of the member list. A right is
	// the exclusive, leased permission to send control commands to a part of the
	// workers.
	RightsChanged(now time.Duration, actions []quorum.Action)
}

// Cluster exchanges heartbeats with the other instances. It is safe for
// concurrent use.
type Cluster struct {
	config  Config
	now     func() time.Duration
	local   Local
	client  *http.Client
	pool    *ants.Pool
	mu      sync.Mutex
	machine *quorum.Machine
	// inFlight holds the addresses of the peers with a heartbeat in progress.
	inFlight map[string]bool
}

// New returns a cluster that drives machine, with now as its clock. Run starts
// the heartbeats.
func New(config Config, machine *quorum.Machine, now func() time.Duration, local Local) (*Cluster, error) {
	pool, err := ants.NewPool(config.Concurrency, ants.WithNonblocking(true))
	if err != nil {
		return nil, oops.Code("cluster_pool").Wrap(err)
	}
	return &Cluster{
		config: config, now: now, local: local, pool: pool, machine: machine, inFlight: make(map[string]bool),
		client: &http.Client{Transport: boundedTransport{httpx.StrictTransport{Next: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: config.CallTimeout}).DialContext,
			MaxIdleConnsPerHost:    2,
			IdleConnTimeout:        4 * config.FetchTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true, // saves a header; no peer compresses
		}}}},
	}, nil
}

// Bounds on what a peer, or what answers at its address, may send.
const (
	maxHeaderBytes = 64 << 10
	// maxMessageBytes bounds a call and a response: a configuration of 16 MB, and the
	// entries of all workers and versions of all adapters.
	maxMessageBytes = 32 << 20
)

// boundedTransport bounds the bodies of responses, which Twirp reads whole.
type boundedTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper. It leaves out the headers that a Twirp server
// does not need: most messages are heartbeats of a few hundred bytes, and traffic between
// data centres is expensive.
func (t boundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header = http.Header{"Content-Type": request.Header["Content-Type"], "User-Agent": {""}}
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, maxMessageBytes)
	return response, nil
}

// Handler returns the handler for the calls of other instances.
func (c *Cluster) Handler() http.Handler {
	next := http.MaxBytesHandler(clusterpb.NewClusterServer(&server{c}), maxMessageBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil // left out for the size of the response
		next.ServeHTTP(w, r)
	})
}

// With runs f on the machine while holding the lock. f must not retain the
// machine or call methods of c.
func (c *Cluster) With(f func(now time.Duration, m *quorum.Machine)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.now(), c.machine)
}

// Step runs f on the machine while holding the lock, then passes the actions
// that f returns to Local.RightsChanged.
func (c *Cluster) Step(f func(now time.Duration, m *quorum.Machine) []quorum.Action) {
	c.mu.Lock()
	now := c.now()
	actions := f(now, c.machine)
	c.mu.Unlock()
	if len(actions) > 0 {
		c.local.RightsChanged(now, actions)
	}
}

// Held returns the fencing token of a right, and whether this instance holds it
// and may already act under it.
func (c *Cluster) Held(right string) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Held(c.now(), right)
}

// Holder returns the address of the instance that holds a right, or "" if none is
// known.
func (c *Cluster) Holder(right string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Holder(c.now(), right)
}

// MemberCount returns the number of instances that have not left, including this one.
func (c *Cluster) MemberCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Size()
}

// IsHub reports whether this instance receives heartbeats from every member.
func (c *Cluster) IsHub() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.IsHub()
}

// WatchesOrders reports whether this instance may soon found a cluster and needs to
// know since when nobody has sent orders to workers.
func (c *Cluster) WatchesOrders() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.WatchesOrders(c.now())
}

// HeldRights lists the rights that this instance holds, including those that it
// may not act under yet.
func (c *Cluster) HeldRights() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.HeldRights(c.now())
}

// interval returns the time between heartbeats.
func (c *Cluster) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Interval()
}

// Run sends heartbeats until ctx ends, then releases the goroutine pool.
func (c *Cluster) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.pool.Release()
			return
		case <-timer.C:
		}
		next := c.now() + c.interval()
		c.sendHeartbeats(ctx)
		timer.Reset(max(next-c.now(), 0))
	}
}

// sendHeartbeats sends a heartbeat to every target that has none in progress. It
// doesn't wait for the replies.
func (c *Cluster) sendHeartbeats(ctx context.Context) {
	var heartbeat quorum.Heartbeat
	var targets []string
	c.Step(func(now time.Duration, m *quorum.Machine) []quorum.Action {
		actions := m.Tick(now)
		heartbeat, targets = m.NextHeartbeat(now)
		return actions
	})
	requests := make(map[bool]*clusterpb.BeatRequest, 2)
	for _, target := range targets {
		if !c.beginHeartbeat(target) {
			continue
		}
		withDirectory := !c.local.PeerHasDirectory(target)
		request := requests[withDirectory]
		if request == nil {
			request = encodeHeartbeat(heartbeat)
			request.News = c.local.HeartbeatUpdate(withDirectory)
			request.News.IntervalNs = int64(c.interval())
			requests[withDirectory] = request
		}
		err := c.pool.Submit(func() {
			defer c.endHeartbeat(target)
			c.sendHeartbeat(ctx, target, request)
		})
		if err != nil {
			c.endHeartbeat(target)
		}
	}
}

// beginHeartbeat marks a heartbeat to target as in progress. It returns false if
// one already is.
func (c *Cluster) beginHeartbeat(target string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[target] {
		return false
	}
	c.inFlight[target] = true
	return true
}

func (c *Cluster) endHeartbeat(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inFlight, target)
}

// sendHeartbeat sends a heartbeat and handles the reply. Errors are dropped: the
// quorum machine notices peers that don't reply.
func (c *Cluster) sendHeartbeat(ctx context.Context, target string, request *clusterpb.BeatRequest) {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	response, err := c.peerClient(target).Beat(ctx, request)
	if err != nil {
		return
	}
	var at time.Duration
	isFollower := false
	c.Step(func(now time.Duration, m *quorum.Machine) []quorum.Action {
		at, isFollower = now, !m.Voting()
		return m.HandleReply(now, decodeReply(response))
	})
	if update := response.GetNews(); update != nil {
		if isFollower {
			c.local.ApplyUpdate(at, target, update)
		}
		c.local.HandlePeerVersion(target, update.GetConfigVersion())
	}
}

func (c *Cluster) peerClient(address string) clusterpb.Cluster {
	return clusterpb.NewClusterProtobufClient("http://"+address, c.client)
}

// LoadAdapter requests a peer to load an adapter at a worker that the peer
// controls. ctx limits the call, and Config.CallTimeout the connection attempt.
func (c *Cluster) LoadAdapter(ctx context.Context, address string, r *clusterpb.LoadAdapterRequest) (*clusterpb.LoadAdapterResponse, error) {
	return c.peerClient(address).LoadAdapter(ctx, r)
}

// TakeQuota takes quota from the meter that a peer runs. ctx limits the call.
func (c *Cluster) TakeQuota(ctx context.Context, address string, r *clusterpb.TakeQuotaRequest) (*clusterpb.TakeQuotaResponse, error) {
	return c.peerClient(address).TakeQuota(ctx, r)
}

// FetchState requests from a peer the configuration, if the peer's is newer, and
// optionally the workers and adapter versions that it knows.
func (c *Cluster) FetchState(ctx context.Context, address string, request *clusterpb.FetchStateRequest) (*clusterpb.FetchStateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.FetchTimeout)
	defer cancel()
	return c.peerClient(address).FetchState(ctx, request)
}

// Live lists the addresses of the other hubs whose heartbeats or replies were
// received recently.
func (c *Cluster) Live() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.LiveHubs(c.now())
}

// Followers lists the addresses of the other members that do not vote.
func (c *Cluster) Followers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addresses []string
	for _, m := range c.machine.Members() {
		if m.Address != c.machine.Self().Address && !c.machine.IsVoter(m.Address) {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// MembersIn lists the addresses of the known instances of a region that have not left.
func (c *Cluster) MembersIn(region string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addresses []string
	for _, m := range c.machine.Members() {
		if m.Region == region && !m.Left {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// Leave releases all rights and announces the departure in a last heartbeat to
// each peer that has none in progress. It doesn't wait for these calls, which end
// with ctx at the latest.
func (c *Cluster) Leave(ctx context.Context) {
	c.Step(func(now time.Duration, m *quorum.Machine) []quorum.Action { return m.Leave(now) })
	c.sendHeartbeats(ctx)
}

// server implements clusterpb.Cluster for the calls of other instances.
type server struct{ *Cluster }

// Beat implements clusterpb.Cluster: it handles a heartbeat.
func (s *server) Beat(_ context.Context, in *clusterpb.BeatRequest) (*clusterpb.BeatResponse, error) {
	var reply quorum.Reply
	var at time.Duration
	from, isFollower := in.GetFrom().GetAddress(), false
	s.Step(func(now time.Duration, m *quorum.Machine) []quorum.Action {
		var actions []quorum.Action
		at = now
		reply, actions = m.HandleHeartbeat(now, decodeHeartbeat(in))
		isFollower = m.IsFollower(from)
		return actions
	})
	s.local.ApplyUpdate(at, from, in.GetNews())
	s.local.HandlePeerVersion(from, in.GetNews().GetConfigVersion())
	response := encodeReply(reply)
	response.News = &clusterpb.News{ConfigVersion: s.local.ConfigVersion()}
	if isFollower {
		response.News = s.local.ReplyUpdate(at, from)
		response.News.IntervalNs = in.GetNews().GetIntervalNs()
	}
	return response, nil
}

// LoadAdapter implements clusterpb.Cluster.
func (s *server) LoadAdapter(ctx context.Context, in *clusterpb.LoadAdapterRequest) (*clusterpb.LoadAdapterResponse, error) {
	return s.local.LoadAdapter(ctx, in)
}

// TakeQuota implements clusterpb.Cluster.
func (s *server) TakeQuota(_ context.Context, in *clusterpb.TakeQuotaRequest) (*clusterpb.TakeQuotaResponse, error) {
	return s.local.TakeQuota(in), nil
}

// FetchState implements clusterpb.Cluster.
func (s *server) FetchState(_ context.Context, in *clusterpb.FetchStateRequest) (*clusterpb.FetchStateResponse, error) {
	return s.local.State(in), nil
}
