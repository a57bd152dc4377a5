// Package cluster runs coord/quorum between the instances: beats over twirp,
// and the calls that go with them.
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
)

// Config bounds the calls to other instances.
type Config struct {
	// CallTimeout bounds a beat; a later answer would hardly count.
	CallTimeout time.Duration
	// FetchTimeout bounds the transfer of a configuration.
	FetchTimeout time.Duration
	// Concurrency bounds the calls in progress.
	Concurrency int
}

// DefaultConfig returns the bounds that quorum.DefaultConfig is made for.
func DefaultConfig() Config {
	return Config{
		CallTimeout:  600 * time.Millisecond, // half of a lease
		FetchTimeout: 2 * time.Second,
		Concurrency:  256,
	}
}

// RegionConfig returns the bounds that quorum.RegionConfig is made for.
func RegionConfig() Config {
	c := DefaultConfig()
	c.CallTimeout = time.Second
	return c
}

// Local is what the instance tells others and learns from them.
type Local interface {
	// Outgoing returns the news for the next beat.
	Outgoing() *clusterpb.News
	// Reply returns the news for a member that hears the voters only.
	Reply(now time.Duration, to string) *clusterpb.News
	// Incoming takes a member's news.
	Incoming(now time.Duration, from string, news *clusterpb.News)
	// PeerVersion tells the configuration version that a peer has in force.
	PeerVersion(from string, version uint64)
	// LoadAdapter serves the call of that name.
	LoadAdapter(context.Context, *clusterpb.LoadAdapterRequest) (*clusterpb.LoadAdapterResponse, error)
	// State serves FetchState.
	State(*clusterpb.FetchStateRequest) *clusterpb.FetchStateResponse
	// Version is the configuration version in force.
	Version() uint64
	// RightsChanged reports what changed in rights and in the roster.
	RightsChanged(now time.Duration, actions []quorum.Action)
}

// Cluster exchanges beats. It is safe for concurrent use.
type Cluster struct {
	config  Config
	now     func() time.Duration
	local   Local
	client  *http.Client
	pool    *ants.Pool
	mu      sync.Mutex
	machine *quorum.Machine
	// busy holds the peers with a beat in progress.
	busy map[string]bool
}

// New returns a cluster over a machine. Call Run to begin.
func New(config Config, machine *quorum.Machine, now func() time.Duration, local Local) (*Cluster, error) {
	pool, err := ants.NewPool(config.Concurrency, ants.WithNonblocking(true))
	if err != nil {
		return nil, oops.Code("cluster_pool").Wrap(err)
	}
	return &Cluster{
		config: config, now: now, local: local, pool: pool, machine: machine, busy: make(map[string]bool),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: config.CallTimeout}).DialContext,
			MaxIdleConnsPerHost: 2,
			IdleConnTimeout:     4 * config.FetchTimeout,
		}},
	}, nil
}

// Handler serves the calls of other instances.
func (c *Cluster) Handler() http.Handler { return clusterpb.NewClusterServer(&server{c}) }

// With runs f on the machine, which must not be used outside of it.
func (c *Cluster) With(f func(now time.Duration, m *quorum.Machine)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.now(), c.machine)
}

// Step runs f on the machine and reports the actions that follow from it.
func (c *Cluster) Step(f func(now time.Duration, m *quorum.Machine) []quorum.Action) {
	c.mu.Lock()
	now := c.now()
	actions := f(now, c.machine)
	c.mu.Unlock()
	if len(actions) > 0 {
		c.local.RightsChanged(now, actions)
	}
}

// Held returns the fencing number of a right that is held and clear now.
func (c *Cluster) Held(right string) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Held(c.now(), right)
}

// Holder returns the address of the instance that holds a right.
func (c *Cluster) Holder(right string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Holder(c.now(), right)
}

// Members counts the instances that have not left, this one included.
func (c *Cluster) Members() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Size()
}

// Voting tells whether this instance is a voter, which hears every member.
func (c *Cluster) Voting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Voting()
}

// HeldRights lists the rights that this instance holds.
func (c *Cluster) HeldRights() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.HeldRights(c.now())
}

// interval is the time until the next beat.
func (c *Cluster) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Interval()
}

// Run sends beats until ctx ends.
func (c *Cluster) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer c.pool.Release()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		next := c.now() + c.interval()
		c.beat(ctx)
		timer.Reset(max(next-c.now(), 0))
	}
}

// beat sends one beat to every peer without one in progress.
func (c *Cluster) beat(ctx context.Context) {
	var beat quorum.Heartbeat
	var targets []string
	c.Step(func(now time.Duration, m *quorum.Machine) []quorum.Action {
		actions := m.Tick(now)
		beat, targets = m.NextHeartbeat(now)
		return actions
	})
	request := encodeBeat(beat)
	request.News = c.local.Outgoing()
	request.News.IntervalNs = int64(c.interval())
	for _, target := range targets {
		if !c.reserve(target) {
			continue
		}
		err := c.pool.Submit(func() {
			defer c.unreserve(target)
			c.call(ctx, target, request)
		})
		if err != nil {
			c.unreserve(target)
		}
	}
}

func (c *Cluster) reserve(target string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[target] {
		return false
	}
	c.busy[target] = true
	return true
}

func (c *Cluster) unreserve(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, target)
}

// call sends a beat; a peer that does not answer shows in its silence.
func (c *Cluster) call(ctx context.Context, target string, request *clusterpb.BeatRequest) {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	response, err := c.peer(target).Beat(ctx, request)
	if err != nil {
		return
	}
	var at time.Duration
	follows := false
	c.Step(func(now time.Duration, m *quorum.Machine) []quorum.Action {
		at, follows = now, !m.Voting()
		return m.HandleReply(now, decodeReply(response))
	})
	if news := response.GetNews(); news != nil {
		if follows {
			c.local.Incoming(at, target, news)
		}
		c.local.PeerVersion(target, news.GetConfigVersion())
	}
}

func (c *Cluster) peer(address string) clusterpb.Cluster {
	return clusterpb.NewClusterProtobufClient("http://"+address, c.client)
}

// LoadAdapter asks a peer to have an adapter loaded.
func (c *Cluster) LoadAdapter(ctx context.Context, address string, r *clusterpb.LoadAdapterRequest) (*clusterpb.LoadAdapterResponse, error) {
	return c.peer(address).LoadAdapter(ctx, r)
}

// FetchState asks a peer for what the caller lacks.
func (c *Cluster) FetchState(ctx context.Context, address string, request *clusterpb.FetchStateRequest) (*clusterpb.FetchStateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.FetchTimeout)
	defer cancel()
	return c.peer(address).FetchState(ctx, request)
}

// Live lists the other instances of the cluster that were heard lately.
func (c *Cluster) Live() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.LiveVoters(c.now())
}

// Leave releases all rights and tells every peer, for as long as ctx allows.
func (c *Cluster) Leave(ctx context.Context) {
	c.Step(func(now time.Duration, m *quorum.Machine) []quorum.Action { return m.Leave(now) })
	c.beat(ctx)
}

// server answers the calls of other instances.
type server struct{ *Cluster }

// Beat implements clusterpb.Cluster.
func (s *server) Beat(_ context.Context, in *clusterpb.BeatRequest) (*clusterpb.BeatResponse, error) {
	var reply quorum.Reply
	var at time.Duration
	from, follower := in.GetFrom().GetAddress(), false
	s.Step(func(now time.Duration, m *quorum.Machine) []quorum.Action {
		var actions []quorum.Action
		at = now
		reply, actions = m.HandleHeartbeat(now, decodeBeat(in))
		follower = m.IsFollower(from)
		return actions
	})
	s.local.Incoming(at, from, in.GetNews())
	s.local.PeerVersion(from, in.GetNews().GetConfigVersion())
	response := encodeReply(reply)
	response.News = &clusterpb.News{ConfigVersion: s.local.Version()}
	if follower {
		response.News = s.local.Reply(at, from)
		response.News.IntervalNs = in.GetNews().GetIntervalNs()
	}
	return response, nil
}

// LoadAdapter implements clusterpb.Cluster.
func (s *server) LoadAdapter(ctx context.Context, in *clusterpb.LoadAdapterRequest) (*clusterpb.LoadAdapterResponse, error) {
	return s.local.LoadAdapter(ctx, in)
}

// FetchState implements clusterpb.Cluster.
func (s *server) FetchState(_ context.Context, in *clusterpb.FetchStateRequest) (*clusterpb.FetchStateResponse, error) {
	return s.local.State(in), nil
}
