package cluster

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bulrushwick/bulrushwick/coord/quorum"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// stubLocal sends empty updates and records the configuration versions of peers.
type stubLocal struct {
	version      uint64
	peerVersions chan uint64
}

func (*stubLocal) HeartbeatUpdate(bool) *clusterpb.News               { return &clusterpb.News{} }
func (*stubLocal) PeerHasDirectory(string) bool                       { return false }
func (*stubLocal) ApplyUpdate(time.Duration, string, *clusterpb.News) {}
func (*stubLocal) RightsChanged(time.Duration, []quorum.Action)       {}
func (l *stubLocal) ConfigVersion() uint64                            { return l.version }

func (l *stubLocal) ReplyUpdate(time.Duration, string) *clusterpb.News {
	return &clusterpb.News{ConfigVersion: l.version}
}

func (l *stubLocal) TakeQuota(*clusterpb.TakeQuotaRequest) *clusterpb.TakeQuotaResponse {
	return &clusterpb.TakeQuotaResponse{}
}
func (l *stubLocal) State(*clusterpb.FetchStateRequest) *clusterpb.FetchStateResponse {
	return &clusterpb.FetchStateResponse{ConfigVersion: l.version}
}

func (l *stubLocal) HandlePeerVersion(_ string, version uint64) {
	select {
	case l.peerVersions <- version:
	default: // the channel is full
	}
}

func (*stubLocal) LoadAdapter(context.Context, *clusterpb.LoadAdapterRequest) (*clusterpb.LoadAdapterResponse, error) {
	return &clusterpb.LoadAdapterResponse{Ready: true}, nil
}

var started = time.Now()

func clock() time.Duration { return time.Since(started) }

// newCluster returns a cluster with the given number of seeds as peers.
func newCluster(t testing.TB, address string, members int, local Local) *Cluster {
	t.Helper()
	self := quorum.Member{Address: address, DataCentre: "a", Incarnation: 1}
	var seeds []string
	for i := range members {
		seeds = append(seeds, fmt.Sprintf("10.1.%d.%d:8144", i/200, i%200))
	}
	machine := quorum.NewMachine(clock(), self, seeds, []string{"a/0", "a/1", "a/2", "a/3"}, quorum.DefaultConfig(time.Second),
		func() uint64 { return quorum.Fence(1, 7) }, nil)
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

func TestHeartbeatReplyCarriesConfigurationVersion(t *testing.T) {
	receiver := newCluster(t, "10.0.0.1:1", 0, &stubLocal{version: 9})
	local := &stubLocal{peerVersions: make(chan uint64, 10)}
	sender := newCluster(t, "10.0.0.2:1", 0, local)
	sender.sendHeartbeat(t.Context(), serve(t, receiver), &clusterpb.BeatRequest{From: &clusterpb.Member{Address: "10.0.0.2:1", Incarnation: 1}})
	require.EqualValues(t, 9, <-local.peerVersions)
	require.Equal(t, 2, receiver.MemberCount(), "the receiver's member list includes the sender")
}

func TestLoadAdapterCallsThePeer(t *testing.T) {
	receiver := newCluster(t, "10.0.0.1:1", 0, &stubLocal{})
	sender := newCluster(t, "10.0.0.2:1", 0, &stubLocal{})
	response, err := sender.LoadAdapter(t.Context(), serve(t, receiver), &clusterpb.LoadAdapterRequest{Adapter: "a"})
	require.NoError(t, err)
	require.True(t, response.GetReady())
}

// TestEndlessResponseOfAPeerIsNotKept guards against reading without a limit what answers
// at the address of a peer.
func TestEndlessResponseOfAPeerIsNotKept(t *testing.T) {
	written := make(chan int64, 1)
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		total, block := int64(0), make([]byte, 1<<20)
		for total < 8*maxMessageBytes {
			n, err := w.Write(block)
			total += int64(n)
			if err != nil {
				break
			}
		}
		written <- total
	}))
	defer peer.Close()
	c := newCluster(t, "10.0.0.1:1", 0, &stubLocal{})
	_, err := c.FetchState(t.Context(), strings.TrimPrefix(peer.URL, "http://"), &clusterpb.FetchStateRequest{})
	require.Error(t, err)
	require.Less(t, <-written, int64(2*maxMessageBytes))
}

func TestCodecRoundTrip(t *testing.T) {
	heartbeat := quorum.Heartbeat{
		From:     quorum.Member{Address: "x", DataCentre: "a", Region: "r", Weak: true, Since: 8, Incarnation: 3, Left: true},
		Sequence: 4, Served: true, VotersDigest: 5, MembersDigest: 6,
		VoterSet: quorum.VoterSet{Term: 9, Version: 2, Rushed: true, Voters: []quorum.Voter{{Address: "x", Incarnation: 3}, {Address: "y", Incarnation: 6}}},
		Members:  []quorum.Member{{Address: "y", Incarnation: 6}}, VoteRequests: []quorum.VoteRequest{{Right: "a/0", Fence: 7}},
		Held: []string{"a/1"}, Released: []string{"a/2"}, Silent: []string{"z"},
	}
	require.Equal(t, heartbeat, decodeHeartbeat(encodeHeartbeat(heartbeat)))
	reply := quorum.Reply{
		From: quorum.Member{Address: "x"}, Sequence: 4, Served: true, VotersDigest: 5, MembersDigest: 6, Held: []string{"a/2"},
		VoterSet: quorum.VoterSet{Term: 9, Version: 2, Voters: []quorum.Voter{{Address: "x", Incarnation: 3}}},
		Members:  []quorum.Member{{Address: "y", Left: true}},
		Votes:    []quorum.Vote{{Right: "a/0", Granted: true, ClearAfter: 8, Fence: 9}},
	}
	require.Equal(t, reply, decodeReply(encodeReply(reply)))
}

// BenchmarkBeat measures one heartbeat between two instances over loopback, both
// sides together, by the size of the member list.
func BenchmarkBeat(b *testing.B) {
	for _, members := range []int{6, 30, 81} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			receiver := newCluster(b, "10.0.0.1:1", members, &stubLocal{})
			sender := newCluster(b, "10.0.0.2:1", members, &stubLocal{})
			target := serve(b, receiver)
			requestBytes := 0
			for b.Loop() {
				var heartbeat quorum.Heartbeat
				sender.With(func(now time.Duration, m *quorum.Machine) { heartbeat, _ = m.NextHeartbeat(now) })
				heartbeat.Members = nil // as between peers with the same member list
				request := encodeHeartbeat(heartbeat)
				requestBytes = proto.Size(request)
				sender.sendHeartbeat(b.Context(), target, request)
			}
			b.ReportMetric(float64(requestBytes), "B/beat")
		})
	}
}

// TestATruncatedResponseOfAPeerIsNotDecoded guards against a part of a message that is
// taken for all of it: what answers at the address of a peer states no length, and its
// connection ends.
func TestATruncatedResponseOfAPeerIsNotDecoded(t *testing.T) {
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n")
			_ = conn.Close()
		}
	}))
	defer peer.Close()
	c := newCluster(t, "10.0.0.1:1", 0, &stubLocal{})
	_, err := c.FetchState(t.Context(), strings.TrimPrefix(peer.URL, "http://"), &clusterpb.FetchStateRequest{})
	require.ErrorIs(t, err, httpx.ErrUnframed)
}

// TestAnInvalidFieldNameOfAPeerIsNotDecoded guards against a message of what answers at the
// address of a peer that is used though a field name is not a token.
func TestAnInvalidFieldNameOfAPeerIsNotDecoded(t *testing.T) {
	for _, line := range []string{"X Odd: 1", "X-Odd : 1", "Transfer-Encoding : chunked"} {
		peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: 0\r\n"+line+"\r\n\r\n")
				_ = conn.Close()
			}
		}))
		c := newCluster(t, "10.0.0.1:1", 0, &stubLocal{})
		_, err := c.FetchState(t.Context(), strings.TrimPrefix(peer.URL, "http://"), &clusterpb.FetchStateRequest{})
		require.ErrorIs(t, err, httpx.ErrInvalidFieldName, line)
		peer.Close()
	}
}
