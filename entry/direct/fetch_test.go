package direct

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/revision"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/decision"
)

// fetchPeer serves FetchState with a configuration of the given version, after the
// channel is closed.
type fetchPeer struct {
	clusterpb.Cluster
	version int
	release chan struct{}
}

func (p *fetchPeer) FetchState(ctx context.Context, _ *clusterpb.FetchStateRequest) (*clusterpb.FetchStateResponse, error) {
	select {
	case <-p.release:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	document := fasthttp.AppendGzipBytes(nil, []byte(strings.Repeat("x", p.version)))
	return &clusterpb.FetchStateResponse{ConfigVersion: uint64(p.version), Config: document}, nil
}

func startFetchPeer(t *testing.T, p *fetchPeer) (address string) {
	t.Helper()
	server := httptest.NewServer(clusterpb.NewClusterServer(p))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func newFetchInstance(t *testing.T) *Instance {
	t.Helper()
	i, err := New(DefaultSettings(), Ports{Codec: lengthCodec{}, Directory: &emptyDirectory{}},
		decision.New(decision.DefaultConfig(), io.Discard, "e0"))
	require.NoError(t, err)
	return i
}

// TestPeerThatDoesNotRespondDoesNotDelayAConfiguration guards against waiting for one peer while others have the newer version.
func TestPeerThatDoesNotRespondDoesNotDelayAConfiguration(t *testing.T) {
	ready, never := make(chan struct{}), make(chan struct{})
	close(ready)
	t.Cleanup(func() { close(never) })
	stuck := startFetchPeer(t, &fetchPeer{version: 9, release: never})
	sound := startFetchPeer(t, &fetchPeer{version: 9, release: ready})
	i := newFetchInstance(t)
	i.HandlePeerVersion(stuck, 9)
	const heartbeat = 250 * time.Millisecond
	inForce := func() bool {
		i.HandlePeerVersion(stuck, 9)
		i.HandlePeerVersion(sound, 9)
		return i.ConfigVersion() == 9
	}
	require.Eventually(t, inForce, 4*heartbeat, heartbeat)
}

// TestAListingWithoutTheNewestEntryRemovesIt guards against a removed worker that an
// instance without the store keeps for good: its entry was newer than all that the listing
// still had.
func TestAListingWithoutTheNewestEntryRemovesIt(t *testing.T) {
	reader, follower := newFetchInstance(t), newFetchInstance(t)
	older := worker.Worker{ID: "older", Service: "s", Address: "10.0.0.1:1", DataCentre: "a", Slots: 1, Born: 1}
	newest := worker.Worker{ID: "newest", Service: "s", Address: "10.0.0.2:1", DataCentre: "a", Slots: 1, Born: 1}
	for _, i := range []*Instance{reader, follower} {
		i.WorkerPut(older, revision.Decode(4))
		i.WorkerPut(newest, revision.Decode(9))
	}
	request := &clusterpb.FetchStateRequest{Directory: true}
	follower.replaceListing(reader.State(request))
	require.Len(t, follower.fleet.workers.all(), 2)
	reader.WorkerDeleted("newest", revision.Decode(12))
	follower.replaceListing(reader.State(request))
	require.Len(t, follower.fleet.workers.all(), 1)
	reader.WorkerPut(newest, revision.Decode(13))
	follower.replaceListing(reader.State(request))
	require.Len(t, follower.fleet.workers.all(), 2)
}
