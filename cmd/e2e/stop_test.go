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

// longStream is long enough to be in progress when the signal arrives.
const longStream = 200

// TestPlannedStopCutsNoStream stops every instance but one while each has a
// stream in progress through it.
func TestPlannedStopCutsNoStream(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 2)
	adapter := s.adapters(1)[0]
	responses := make([]*http.Response, len(s.callers))
	for i, entry := range s.callers {
		body := completionBody{adapter.String(), fmt.Sprintf("label %d", i), longStream, true}
		response, err := post(entry, "/v1/completions", body, map[string]string{httpx.RankHeader: table.Normal.String()})
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		require.NoError(t, served(response, adapter.String()))
		responses[i] = response
	}
	for _, entry := range s.entries[1:] {
		entry.signal(syscall.SIGTERM)
	}
	for i, response := range responses {
		text, done, err := readEvents(response.Body)
		require.NoError(t, err)
		require.True(t, done, "stream %d ended without its final marker", i)
		require.Equal(t, standin.Answer(adapter.String(), fmt.Sprintf("label %d", i), longStream), text)
	}
	for _, entry := range s.entries[1:] {
		entry.await(t, "stopped")
	}
}
