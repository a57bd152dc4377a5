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
