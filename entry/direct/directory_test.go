package direct

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/decision"
)

// TestAFewInstancesReadTheStore counts the readers among the live instances, also
// when the first ones get no answer.
func TestAFewInstancesReadTheStore(t *testing.T) {
	var all []string
	for i := range 15 {
		all = append(all, fmt.Sprintf("10.0.0.%d:1", i))
	}
	readers := func(away map[string]bool) int {
		count := 0
		for _, self := range all {
			s := newShared()
			var live []string
			for _, peer := range all {
				if peer == self {
					continue
				}
				live = append(live, peer)
				s.heard(0, peer, &clusterpb.News{StoreAway: away[peer]}, 0)
			}
			if !s.enough(self, live) && !away[self] {
				count++
			}
		}
		return count
	}
	require.Equal(t, storeReaders, readers(nil))
	away := map[string]bool{}
	for _, peer := range all[:10] {
		away[peer] = true
	}
	require.Equal(t, storeReaders, readers(away))
}

// TestANewInstanceFetchesAListingAtOnce covers one that starts among others: it
// asks a reader instead of the store.
func TestANewInstanceFetchesAListingAtOnce(t *testing.T) {
	require.Equal(t, uint64(emptyDigest), newFleet(DefaultSettings()).digest())
	s := newShared()
	news := &clusterpb.News{DirectoryDigest: 5, ReadsStore: true}
	require.True(t, s.heard(0, "r", news, emptyDigest))
	require.False(t, s.heard(0, "other", &clusterpb.News{DirectoryDigest: 5}, emptyDigest), "it reads no store either")
	for _, regional := range []bool{false, true} {
		settings := DefaultSettings()
		settings.DataCentres = map[string]string{"a": "n", "b": "n", "c": "n"}
		if regional {
			settings.DataCentres["d"] = "s"
		}
		store := &silentDirectory{}
		i, err := New(settings, Ports{Directory: store}, decision.New(decision.DefaultConfig(), io.Discard, "e0"))
		require.NoError(t, err)
		r := &reader{Instance: i, started: now()}
		r.refresh(t.Context())
		require.Equal(t, !regional, r.cancel != nil, "only where all instances read does one begin at once")
		r.started -= joinWait
		r.refresh(t.Context())
		require.NotNil(t, r.cancel, "nobody else reads")
	}
}

// silentDirectory never tells anything.
type silentDirectory struct{}

func (*silentDirectory) Run(context.Context, DirectorySink) {}
func (*silentDirectory) Calls() uint64                      { return 0 }

func TestNewsGoesWithBeatsForAWhile(t *testing.T) {
	s := newShared()
	s.share(0, []worker.Event{
		{Worker: worker.Worker{ID: "a"}, Change: worker.Gone, Revision: 4},
		{Worker: worker.Worker{ID: "b"}, Change: worker.Updated},
		{Worker: worker.Worker{ID: "c"}, Change: worker.Lapsed},
	})
	var beat clusterpb.News
	s.outgoing(newsFor-1, &beat)
	require.Len(t, beat.GetWorkers(), 1, "updates of adapters and lapses are not news for others")
	require.True(t, beat.GetWorkers()[0].GetGone())
	beat.Reset()
	s.outgoing(newsFor, &beat)
	require.Empty(t, beat.GetWorkers())
}

func TestAListingIsFetchedWhenAReaderKnowsOtherThingsForLong(t *testing.T) {
	s := newShared()
	beat := &clusterpb.News{DirectoryDigest: 5, ReadsStore: true}
	require.False(t, s.heard(0, "r", beat, 6))
	require.False(t, s.heard(differsFor-1, "r", beat, 6))
	require.True(t, s.heard(differsFor, "r", beat, 6))
	require.False(t, s.heard(3*time.Second, "r", beat, 5))
	beat.StoreAway = true
	require.False(t, s.heard(9*time.Second, "r", beat, 6), "a reader without the store knows no better")
}
