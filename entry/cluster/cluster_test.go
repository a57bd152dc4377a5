package cluster

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bulrushwick/bulrushwick/coord/quorum"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
)

// quietLocal tells nothing and notes what it hears.
type quietLocal struct {
	version uint64
	heard   chan uint64
}

func (*quietLocal) Outgoing() *clusterpb.News                       { return &clusterpb.News{} }
func (*quietLocal) Incoming(time.Duration, string, *clusterpb.News) {}
func (*quietLocal) RightsChanged(time.Duration, []quorum.Action)    {}
func (l *quietLocal) Version() uint64                               { return l.version }

func (l *quietLocal) Reply(time.Duration, string) *clusterpb.News {
	return &clusterpb.News{ConfigVersion: l.version}
}

func (l *quietLocal) State(*clusterpb.FetchStateRequest) *clusterpb.FetchStateResponse {
	return &clusterpb.FetchStateResponse{ConfigVersion: l.version}
}

func (l *quietLocal) PeerVersion(_ string, version uint64) {
	select {
	case l.heard <- version:
	default: // enough was heard
	}
}

func (*quietLocal) LoadAdapter(context.Context, *clusterpb.LoadAdapterRequest) (*clusterpb.LoadAdapterResponse, error) {
	return &clusterpb.LoadAdapterResponse{Ready: true}, nil
}

var started = time.Now()

func clock() time.Duration { return time.Since(started) }

// newCluster returns a cluster that knows members others and serves its calls.
func newCluster(t testing.TB, address string, members int, local Local) *Cluster {
	t.Helper()
	self := quorum.Member{Address: address, DataCentre: "a", Incarnation: 1}
	var seeds []string
	for i := range members {
		seeds = append(seeds, fmt.Sprintf("10.1.%d.%d:8144", i/200, i%200))
	}
	machine := quorum.NewMachine(clock(), self, seeds, []string{"a/0", "a/1", "a/2", "a/3"}, quorum.DefaultConfig(time.Second),
		func() uint64 { return quorum.Fence(1, 7) })
	c, err := New(DefaultConfig(), machine, clock, local)
	require.NoError(t, err)
	return c
}

func serve(t testing.TB, c *Cluster) string {
	t.Helper()
	server := httptest.NewServer(c.Handler())
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestAPeersConfigurationVersionIsHeard(t *testing.T) {
	receiver := newCluster(t, "10.0.0.1:1", 0, &quietLocal{version: 9})
	local := &quietLocal{heard: make(chan uint64, 10)}
	sender := newCluster(t, "10.0.0.2:1", 0, local)
	sender.call(t.Context(), serve(t, receiver), &clusterpb.BeatRequest{From: &clusterpb.Member{Address: "10.0.0.2:1", Incarnation: 1}})
	require.EqualValues(t, 9, <-local.heard)
	require.Equal(t, 2, receiver.Members(), "the sender has joined the receiver's roster")
}

func TestAnAdapterIsAskedForAtAPeer(t *testing.T) {
	receiver := newCluster(t, "10.0.0.1:1", 0, &quietLocal{})
	sender := newCluster(t, "10.0.0.2:1", 0, &quietLocal{})
	response, err := sender.LoadAdapter(t.Context(), serve(t, receiver), &clusterpb.LoadAdapterRequest{Adapter: "a"})
	require.NoError(t, err)
	require.True(t, response.GetReady())
}

func TestABeatKeepsItsContent(t *testing.T) {
	beat := quorum.Heartbeat{
		From:     quorum.Member{Address: "x", DataCentre: "a", Region: "r", Weak: true, Since: 8, Incarnation: 3, Left: true},
		Sequence: 4, Settled: true, VotersDigest: 5, MembersDigest: 6,
		Members: []quorum.Member{{Address: "y", Incarnation: 6}}, VoteRequests: []quorum.VoteRequest{{Right: "a/0", Fence: 7}},
		Held: []string{"a/1"}, Released: []string{"a/2"}, Silent: []string{"z"},
	}
	require.Equal(t, beat, decodeBeat(encodeBeat(beat)))
	reply := quorum.Reply{
		From: quorum.Member{Address: "x"}, Sequence: 4, Settled: true, VotersDigest: 5, MembersDigest: 6, Held: []string{"a/2"},
		Members: []quorum.Member{{Address: "y", Left: true}},
		Votes:   []quorum.Vote{{Right: "a/0", Granted: true, ClearAfter: 8, Fence: 9}},
	}
	require.Equal(t, reply, decodeReply(encodeReply(reply)))
}

// BenchmarkBeat is one beat between two instances over loopback, both sides
// together, by the size of the roster.
func BenchmarkBeat(b *testing.B) {
	for _, members := range []int{6, 30, 81} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			receiver := newCluster(b, "10.0.0.1:1", members, &quietLocal{})
			sender := newCluster(b, "10.0.0.2:1", members, &quietLocal{})
			target := serve(b, receiver)
			size := 0
			for b.Loop() {
				var beat quorum.Heartbeat
				sender.With(func(now time.Duration, m *quorum.Machine) { beat, _ = m.NextHeartbeat(now) })
				beat.Members = nil // as between peers with the same roster
				request := encodeBeat(beat)
				size = proto.Size(request)
				sender.call(b.Context(), target, request)
			}
			b.ReportMetric(float64(size), "B/beat")
		})
	}
}
