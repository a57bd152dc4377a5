package quota

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/quorum"
	"github.com/bulrushwick/bulrushwick/coord/quota"
	"github.com/bulrushwick/bulrushwick/entry/cluster"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
)

var benchBegan = time.Now()

func benchClock() time.Duration { return time.Since(benchBegan) + time.Hour }

// holder holds every right.
type holder struct{}

func (holder) Held(string) (uint64, bool) { return 1, true }
func (holder) Holder(string) string       { return "" }
func (holder) MembersIn(string) []string  { return nil }
func (holder) TakeQuota(context.Context, string, *clusterpb.TakeQuotaRequest) (*clusterpb.TakeQuotaResponse, error) {
	return nil, errCut
}

func benchServer() *Server {
	config := Config{Bound: simBound, Region: "east", Regions: []string{"east", "west"}, TurnGap: time.Minute, Now: benchClock}
	limit := quota.Limit{Rate: 1e12, Burst: 1e12, Largest: largestTokens}
	return NewServer(config, holder{}, func(string) (quota.Limit, bool) { return limit, true }, func() uint64 { return 1 })
}

// BenchmarkTake measures a request that finds its tokens in the pool, which is refilled
// by a meter of this instance.
func BenchmarkTake(b *testing.B) {
	server := benchServer()
	client := NewClient(server.config, holder{}, server, func() int { return 76 }, func(p *recovery.Panic) { panic(p) }, func(string, error) {})
	o := tokens(quota.Limit{Rate: 1e12, Burst: 1e12})
	refused := 0
	b.ReportAllocs()
	for b.Loop() {
		if _, result := client.Take(context.Background(), o, 1000, 0); !result.Admitted {
			refused++
		}
	}
	require.Zero(b, refused)
}

// meterLocal serves TakeQuota.
type meterLocal struct {
	cluster.Local
	server *Server
}

func (l meterLocal) TakeQuota(r *clusterpb.TakeQuotaRequest) *clusterpb.TakeQuotaResponse {
	return l.server.Take(r)
}

// BenchmarkCall measures a call to a meter of another instance over loopback, both sides
// together.
func BenchmarkCall(b *testing.B) {
	machine := quorum.NewMachine(benchClock(), quorum.Member{Address: "10.0.0.1:1", Incarnation: 1}, nil, nil, quorum.DefaultConfig(time.Second),
		func() uint64 { return 1 }, nil)
	c, err := cluster.New(cluster.DefaultConfig(), machine, benchClock, meterLocal{server: benchServer()})
	require.NoError(b, err)
	listener := httptest.NewServer(c.Handler())
	defer listener.Close()
	address := strings.TrimPrefix(listener.URL, "http://")
	request := &clusterpb.TakeQuotaRequest{Meter: "quota/0", Asks: []*clusterpb.QuotaAsk{{Organisation: "o", Amount: 2400, Least: 2400}}}
	b.ReportAllocs()
	for b.Loop() {
		response, err := c.TakeQuota(context.Background(), address, request)
		require.NoError(b, err)
		require.Len(b, response.GetGrants(), 1)
	}
}
