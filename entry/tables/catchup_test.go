package tables_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/tables"
)

// recordingServer is a server that records the table revision that each request ran
// under.
type recordingServer struct {
	fleet     *fleet.Fleet
	revisions []uint64
}

func (n *recordingServer) Serve(context.Context, *call.Request) (*call.Response, error) {
	n.revisions = append(n.revisions, n.fleet.Stamp().Revision)
	return &call.Response{}, nil
}

// buildTable returns a table with that revision, which serves adapter a in the given
// version.
func buildTable(t *testing.T, revision uint64, version string) *table.Table {
	t.Helper()
	data := fmt.Appendf(nil, `{"routes": [{"name": "r", "pool": "p"}],
		"pools": [{"name": "p", "kind": "engine", "slots": 1, "batch": 1, "endpoints": []}],
		"adapters": [{"name": "a", "pool": "p", "versions": [%q]}]}`, version)
	built, err := table.Build(table.Snapshot{
		Manifest: table.Manifest{Revision: revision, Chunks: []table.ChunkRef{{Key: "c", Digest: table.Digest(data)}}},
		Chunks:   map[string][]byte{"c": data},
	})
	require.NoError(t, err)
	return built
}

func TestForwardedRequestWaitsForItsTable(t *testing.T) {
	f := fleet.New("entry-0", "dc-a")
	first, second := buildTable(t, 1, "v1"), buildTable(t, 2, "v2")
	f.Offer(first)
	announced := make(chan table.Stamp, 1)
	f.OnPeerHolds(func(peer string, stamp table.Stamp) {
		require.Equal(t, "entry-1", peer)
		announced <- stamp
	})
	next := &recordingServer{fleet: f}
	request := &call.Request{Route: "r", Entry: "entry-1", Table: second.Stamp(), Adapter: table.AdapterVersion{Adapter: "a", Version: "v2"}}

	refusing := tables.NewCatchUp(f, next, time.Nanosecond)
	_, err := refusing.Serve(context.Background(), request)
	var failed *call.Error
	require.ErrorAs(t, err, &failed)
	require.Equal(t, "tables_behind", failed.Code)
	require.Equal(t, attempt.NotRun, failed.Failure.Outcome())
	require.Equal(t, second.Stamp(), <-announced)
	keyed := *request
	keyed.Key = "key"
	_, err = refusing.Serve(context.Background(), &keyed)
	require.ErrorAs(t, err, &failed)
	require.Equal(t, attempt.Unknown, failed.Failure.Outcome(), "an earlier send of the key may have run")
	<-announced

	waiting := tables.NewCatchUp(f, next, time.Hour)
	served := make(chan error, 1)
	go func() {
		_, err := waiting.Serve(context.Background(), request)
		served <- err
	}()
	<-announced // Serve waits for the table from here on
	f.Offer(second)
	require.NoError(t, <-served)
	require.Equal(t, []uint64{2}, next.revisions)

	request.Table = first.Stamp()
	request.Adapter.Version = "v1"
	_, err = waiting.Serve(context.Background(), request)
	require.ErrorContains(t, err, "superseded")
	require.Equal(t, []uint64{2}, next.revisions, "a version that the newer table lacks does not run")
}
