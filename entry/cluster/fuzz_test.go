package cluster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bulrushwick/bulrushwick/coord/quorum"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
)

// FuzzHeartbeat feeds the bytes of a peer, as a heartbeat and as a reply, to an
// instance that goes on afterwards.
func FuzzHeartbeat(f *testing.F) {
	heartbeat := encodeHeartbeat(quorum.Heartbeat{
		From: quorum.Member{Address: "10.0.0.2:1", DataCentre: "a", Incarnation: 3}, Sequence: 4, Served: true,
		VoterSet: quorum.VoterSet{Term: 9, Version: 2, Voters: []quorum.Voter{{Address: "10.0.0.1:1", Incarnation: 1}}},
		Members:  []quorum.Member{{Address: "10.0.0.3:1", Incarnation: 6, Left: true}}, VoteRequests: []quorum.VoteRequest{{Right: "a/0", Fence: 7}},
		Held: []string{"a/1"}, Released: []string{"a/2"}, Silent: []string{"z"},
	})
	encoded, err := proto.Marshal(heartbeat)
	require.NoError(f, err)
	f.Add(encoded)
	reply, err := proto.Marshal(encodeReply(quorum.Reply{From: quorum.Member{Address: "10.0.0.2:1"}, Votes: []quorum.Vote{{Right: "a/0", Granted: true, ClearAfter: -1}}}))
	require.NoError(f, err)
	f.Add(reply)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newCluster(t, "10.0.0.1:1", 2, &stubLocal{})
		var request clusterpb.BeatRequest
		if proto.Unmarshal(data, &request) == nil {
			_, _ = (&server{c}).Beat(t.Context(), &request)
		}
		var response clusterpb.BeatResponse
		if proto.Unmarshal(data, &response) == nil {
			c.Step(func(now time.Duration, m *quorum.Machine) []quorum.Action {
				return m.HandleReply(now, decodeReply(&response))
			})
		}
		c.Step(func(now time.Duration, m *quorum.Machine) []quorum.Action { return m.Tick(now) })
		require.Positive(t, c.MemberCount())
	})
}
