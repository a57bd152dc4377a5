package e2e

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
	"github.com/bulrushwick/bulrushwick/standin"
)

// longStreamTokens is the length of a stream that is still in progress when the
// signal arrives.
const longStreamTokens = 200

// TestPlannedStopCutsNoStream guards against streams that are truncated when an
// instance is stopped by SIGTERM. All instances but the first are stopped while
// each relays a stream.
func TestPlannedStopCutsNoStream(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 2)
	adapter := s.adapterVersions(1)[0]
	responses := make([]*http.Response, len(s.callerAddresses))
	for i, address := range s.callerAddresses {
		body := completionBody{adapter.String(), fmt.Sprintf("label %d", i), longStreamTokens, true}
		response, err := post(address, "/v1/completions", body, map[string]string{httpx.RankHeader: table.Normal.String()})
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		require.NoError(t, checkServed(response, adapter.String()))
		responses[i] = response
	}
	for _, instance := range s.instances[1:] {
		instance.signal(syscall.SIGTERM)
	}
	for i, response := range responses {
		text, done, err := readEvents(response.Body)
		require.NoError(t, err)
		require.True(t, done, "stream %d ended without its final marker", i)
		require.Equal(t, standin.Answer(adapter.String(), fmt.Sprintf("label %d", i), longStreamTokens), text)
	}
	for _, instance := range s.instances[1:] {
		instance.await(t, "stopped")
	}
}
