package quota

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/quota"
	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
)

// Round trips and bound of the larger deployment.
const (
	ownRegionRTT   = 2 * time.Millisecond
	otherRegionRTT = 40 * time.Millisecond
)

var simBound = quota.Config{Window: 8 * time.Second, Overage: 0.25, Slack: 17000, Clusters: 2, MetersPerCluster: MetersPerCluster}

// simWorld is the instances of two regions with the clock of a synctest bubble. The
// first two instances of each region hold its rights.
type simWorld struct {
	began     time.Time
	nodes     []*simNode
	mu        sync.Mutex
	cut       func(from, to *simNode) bool
	limit     quota.Limit
	spent     []spend
	callsMade int
}

type spend struct {
	at     time.Duration
	amount int64
}

type simNode struct {
	world  *simWorld
	index  int
	region string
	held   map[string]uint64
	server *Server
	client *Client
}

func (n *simNode) address() string { return fmt.Sprint("10.0.0.", n.index, ":1") }

func (n *simNode) Held(right string) (uint64, bool) {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	fence, held := n.held[right]
	return fence, held
}

func (n *simNode) Holder(right string) string {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	for _, other := range n.world.nodes {
		if _, held := other.held[right]; held && other.region == n.region {
			return other.address()
		}
	}
	return ""
}

func (n *simNode) MembersIn(region string) []string {
	var addresses []string
	for _, other := range n.world.nodes {
		if other.region == region {
			addresses = append(addresses, other.address())
		}
	}
	return addresses
}

// runningServer returns the server of the instance since its last restart.
func (n *simNode) runningServer() *Server {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return n.server
}

var errCut = errors.New("no connection")

func (n *simNode) TakeQuota(ctx context.Context, address string, r *clusterpb.TakeQuotaRequest) (*clusterpb.TakeQuotaResponse, error) {
	i := slices.IndexFunc(n.world.nodes, func(o *simNode) bool { return o.address() == address })
	other, rtt := n.world.nodes[i], ownRegionRTT
	server := other.runningServer()
	if other.region != n.region {
		rtt = otherRegionRTT
	}
	n.world.mu.Lock()
	n.world.callsMade++
	cut := n.world.cut
	n.world.mu.Unlock()
	if cut != nil && cut(n, other) {
		<-ctx.Done()
		return nil, errCut
	}
	time.Sleep(rtt / 2)
	response := server.Take(r)
	time.Sleep(rtt / 2)
	return response, ctx.Err()
}

// calls returns the number of calls between instances so far.
func (w *simWorld) calls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.callsMade
}

// setCut sets which calls get no response.
func (w *simWorld) setCut(cut func(from, to *simNode) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

func newSimWorld(instances int, limit quota.Limit) *simWorld {
	w := &simWorld{began: time.Now(), limit: limit}
	for i := range instances {
		n := &simNode{world: w, index: i, region: []string{"east", "west"}[i%2], held: make(map[string]uint64)}
		config := Config{
			Bound: simBound, Address: n.address(), Region: n.region, Regions: []string{"east", "west"}, TurnGap: 3 * time.Second,
			Seeds: simSeeds(), Now: func() time.Duration { return time.Since(w.began) + time.Hour },
		}
		n.server = NewServer(config, n, func(string) (quota.Limit, bool) { return w.limit, true }, func() uint64 { return 1 })
		n.client = NewClient(config, n, n.server, func() int { return instances }, func(p *recovery.Panic) { panic(p) }, func(string, error) {})
		w.nodes = append(w.nodes, n)
	}
	for i, right := range Rights() {
		w.nodes[2*i].held[right], w.nodes[2*i+1].held[right] = 1, 1
	}
	for _, n := range w.nodes {
		n.server.Refresh()
	}
	return w
}

// simSeeds are the addresses of instances that hold no rights, two in one region.
func simSeeds() []string { return []string{"10.0.0.4:1", "10.0.0.5:1", "10.0.0.6:1"} }

// restartAll restarts all instances: what they held is lost and nobody holds a right.
func (w *simWorld) restartAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		n.held = make(map[string]uint64)
		n.server = NewServer(n.server.config, n, n.server.limits, n.server.version)
		n.client = NewClient(n.client.config, n, n.server, n.client.instances, n.client.reportPanic, n.client.reportError)
	}
}

// load is the traffic of an organisation.
type load struct {
	// share is the offered load as a fraction of the limit.
	share float64
	// spread sends the requests to all instances instead of one.
	spread bool
	// sizes are the sizes of requests with their weights.
	sizes map[int]float64
	// reject is the share of admitted requests that do not run and return their quota.
	reject float64
}

type simResult struct {
	requests, admitted, refused, unreachable int
	tokens, admittedTokens                   int64
	waits                                    []time.Duration
	bySize                                   map[int][2]int
}

// play sends requests at random times for a duration.
func (w *simWorld) play(random *rand.Rand, l load, duration time.Duration) *simResult {
	organisation := &routing.Organisation{Name: "o", Unit: routing.QuotaTokens, Rate: w.limit.Rate, Burst: w.limit.Burst}
	mean, sizes := 0.0, make([]int, 0, len(l.sizes))
	for size, weight := range l.sizes {
		mean += weight * float64(size)
		sizes = append(sizes, size)
	}
	slices.Sort(sizes)
	result := &simResult{bySize: make(map[int][2]int)}
	var group sync.WaitGroup
	for end := time.Since(w.began) + duration; time.Since(w.began) < end; {
		time.Sleep(time.Duration(random.ExpFloat64() * mean / (l.share * w.limit.Rate) * float64(time.Second)))
		size, at := sizes[len(sizes)-1], random.Float64()
		for _, s := range sizes {
			if at -= l.sizes[s]; at < 0 {
				size = s
				break
			}
		}
		node := w.nodes[len(w.nodes)-1]
		if l.spread {
			node = w.nodes[random.IntN(len(w.nodes))]
		}
		runs := random.Float64() >= l.reject
		group.Go(func() { w.request(node, organisation, size, runs, result) })
	}
	group.Wait()
	return result
}

func (w *simWorld) request(n *simNode, o *routing.Organisation, size int, runs bool, r *simResult) {
	began := time.Now()
	spending, result := n.client.Take(context.Background(), o, size, 0)
	if result.Admitted && !runs {
		n.client.Return(spending)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r.requests++
	r.tokens += int64(size)
	r.waits = append(r.waits, time.Since(began))
	counts := r.bySize[size]
	counts[0]++
	switch {
	case result.Admitted:
		r.admitted++
		counts[1]++
		if runs {
			r.admittedTokens += int64(size)
			w.spent = append(w.spent, spend{time.Since(w.began), int64(size)})
		}
	case result.Unreachable:
		r.unreachable++
	default:
		r.refused++
	}
	r.bySize[size] = counts
}

// mostSpent returns the most tokens spent within a window.
func (w *simWorld) mostSpent() int64 {
	most, sum, first := int64(0), int64(0), 0
	for _, s := range w.spent {
		sum += s.amount
		for s.at-w.spent[first].at > simBound.Window {
			sum -= w.spent[first].amount
			first++
		}
		most = max(most, sum)
	}
	return most
}

// TestServedShareOfTheQuota guards against quota that is lost between meters and
// instances, with an organisation's requests all at one instance or spread over all.
//
// A single bucket with the capacity that all meters had before the seeds had a reserve
// refuses 1.2 in 100 of these requests at
// 0.9 of a limit of 4,200 tokens per second, and 0.1 in 100 at 16,800: the requests are
// large for the burst and the bound. Hence the higher limits on refusals there.
func TestServedShareOfTheQuota(t *testing.T) {
	for _, rate := range []float64{4200, 16800, 42000, 420000} {
		for _, spread := range []bool{false, true} {
			for _, share := range []float64{0.55, 0.9, 3} {
				t.Run(fmt.Sprint(rate, " spread ", spread, " share ", share), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { checkServedShare(t, rate, spread, share) })
				})
			}
		}
	}
}

func checkServedShare(t *testing.T, rate float64, spread bool, share float64) {
	defer time.Sleep(time.Second) // calls in progress end
	w := newSimWorld(76, quota.Limit{Rate: rate, Burst: rate, Largest: largestTokens})
	time.Sleep(5 * time.Second)
	duration := time.Duration(8e6/rate) * time.Second
	r := w.play(rand.New(rand.NewPCG(1, 2)), load{share: share, spread: spread, sizes: map[int]float64{200: 0.5, 2400: 0.48, 7500: 0.02}}, duration)
	slices.Sort(r.waits)
	refused, served := float64(r.refused+r.unreachable)/float64(r.requests), float64(r.admittedTokens)/(rate*duration.Seconds())
	t.Logf("refused %.4f, served %.3f of the limit, calls per request %.2f, wait p50 %v p99 %v, window %.3f of the bound, by size %v",
		refused, served, float64(w.calls())/float64(r.requests), r.waits[len(r.waits)/2], r.waits[len(r.waits)*99/100],
		float64(w.mostSpent())/simBound.Bound(w.limit), r.bySize)
	require.LessOrEqual(t, float64(w.mostSpent()), simBound.Bound(w.limit))
	require.Zero(t, r.unreachable)
	mostRefused := 0.01
	if share > 0.55 && rate < 42000 {
		mostRefused = 0.04
	}
	if share < 1 {
		require.Less(t, refused, mostRefused)
		return
	}
	// The buckets are full at the start.
	full := (simBound.Bound(w.limit) - rate*simBound.Window.Seconds()) / (rate * duration.Seconds())
	require.Greater(t, served, 0.9)
	require.Less(t, served, 1+full)
	require.Greater(t, float64(r.bySize[2400][1])/float64(r.bySize[2400][0]), 0.5*float64(r.bySize[200][1])/float64(r.bySize[200][0]),
		"large requests are served as well")
}
