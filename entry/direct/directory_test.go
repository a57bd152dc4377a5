package direct

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/revision"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/decision"
)

// TestAFewInstancesReadTheStore checks that exactly storeReaders live instances
// read the store, also if the first ones in hash order get no response from it.
func TestAFewInstancesReadTheStore(t *testing.T) {
	var all []string
	for i := range 15 {
		all = append(all, fmt.Sprintf("10.0.0.%d:1", i))
	}
	countReaders := func(withoutStore map[string]bool) int {
		count := 0
		for _, self := range all {
			s := newDirectorySync()
			var live []string
			for _, peer := range all {
				if peer == self {
					continue
				}
				live = append(live, peer)
				s.observePeer(0, peer, &clusterpb.News{StoreAway: withoutStore[peer]}, 0)
			}
			if !s.hasEnoughReaders(self, live) && !withoutStore[self] {
				count++
			}
		}
		return count
	}
	require.Equal(t, storeReaders, countReaders(nil))
	withoutStore := map[string]bool{}
	for _, peer := range all[:10] {
		withoutStore[peer] = true
	}
	require.Equal(t, storeReaders, countReaders(withoutStore))
}

// TestFollowersLeaveTheStoreToTheVoters covers a region of a hundred instances with nine
// voters, of which each follower hears only the voters.
func TestFollowersLeaveTheStoreToTheVoters(t *testing.T) {
	var voters, followers []string
	for i := range 100 {
		address := fmt.Sprintf("10.0.%d.1:1", i)
		if i < 9 {
			voters = append(voters, address)
		} else {
			followers = append(followers, address)
		}
	}
	countReaders := func(heard []string, withoutStore int) int {
		count := 0
		for _, self := range followers {
			s := newDirectorySync()
			for _, voter := range heard[:withoutStore] {
				s.observePeer(0, voter, &clusterpb.News{StoreAway: true}, 0)
			}
			if s.isSpareReader(self, heard, func() []string { return followers }) {
				count++
			}
		}
		return count
	}
	require.Zero(t, countReaders(voters, 0))
	require.Zero(t, countReaders(voters, 6), "three voters reach the store")
	require.Equal(t, maxSpareReaders, countReaders(voters, 7))
	require.Equal(t, maxSpareReaders, countReaders(voters, 9))
	require.Equal(t, len(followers), countReaders(nil, 0), "each is cut off from all voters")
}

// TestANewInstanceFetchesAListingAtOnce checks that an instance that starts
// among others fetches the listing from a reader, and reads the store itself
// only if there is none.
func TestANewInstanceFetchesAListingAtOnce(t *testing.T) {
	require.Equal(t, uint64(emptyDigest), newFleet(DefaultSettings()).directoryDigest())
	s := newDirectorySync()
	update := &clusterpb.News{DirectoryDigest: 5, ReadsStore: true}
	require.True(t, s.observePeer(0, "r", update, emptyDigest))
	require.False(t, s.observePeer(0, "other", &clusterpb.News{DirectoryDigest: 5}, emptyDigest), "the peer does not read the store either")
	for _, regional := range []bool{false, true} {
		settings := DefaultSettings()
		settings.DataCentres = map[string]string{"a": "n", "b": "n", "c": "n"}
		if regional {
			settings.DataCentres["d"] = "s"
		}
		directory := &emptyDirectory{}
		i, err := New(settings, Ports{Directory: directory}, decision.New(decision.DefaultConfig(), io.Discard, "e0"))
		require.NoError(t, err)
		r := &storeReader{Instance: i, startedAt: now()}
		r.refresh(t.Context())
		require.Equal(t, !regional, r.cancel != nil, "reading begins at once only if every instance reads")
		r.startedAt -= joinGrace
		r.refresh(t.Context())
		require.NotNil(t, r.cancel, "no other instance reads the store")
	}
}

// emptyDirectory is a Directory that reports nothing.
type emptyDirectory struct{}

func (*emptyDirectory) Run(context.Context, DirectorySink) {}
func (*emptyDirectory) Calls() uint64                      { return 0 }

// TestHeartbeatsCarryUpdatesUntilTheyExpire checks which changes heartbeats
// carry, and for how long.
func TestHeartbeatsCarryUpdatesUntilTheyExpire(t *testing.T) {
	s := newDirectorySync()
	s.addWorkerChanges(0, []worker.Event{
		{Worker: worker.Worker{ID: "a"}, Change: worker.Gone, Version: revision.Decode(4)},
		{Worker: worker.Worker{ID: "b"}, Change: worker.Updated},
		{Worker: worker.Worker{ID: "c"}, Change: worker.Lapsed},
	})
	var update clusterpb.News
	s.appendUpdates(updateTTL-1, &update, true)
	require.Len(t, update.GetWorkers(), 1, "adapter changes and lapsed entries are not shared")
	require.True(t, update.GetWorkers()[0].GetGone())
	update.Reset()
	s.appendUpdates(updateTTL, &update, true)
	require.Empty(t, update.GetWorkers())
}

// TestListingIsFetchedAfterALastingDigestMismatch checks that a listing is
// fetched only after a reader's digest has differed for digestMismatchGrace.
func TestListingIsFetchedAfterALastingDigestMismatch(t *testing.T) {
	s := newDirectorySync()
	update := &clusterpb.News{DirectoryDigest: 5, ReadsStore: true}
	require.False(t, s.observePeer(0, "r", update, 6))
	require.False(t, s.observePeer(digestMismatchGrace-1, "r", update, 6))
	require.True(t, s.observePeer(digestMismatchGrace, "r", update, 6))
	require.False(t, s.observePeer(3*time.Second, "r", update, 5))
	update.StoreAway = true
	require.False(t, s.observePeer(9*time.Second, "r", update, 6), "a reader that lost the store is not newer")
}

// TestHeartbeatsLeaveOutWhatAPeerKnows guards against sending changes of the store's
// contents again to peers that have them, which was a third of all bytes between
// instances, and against withholding them from peers that do not.
func TestHeartbeatsLeaveOutWhatAPeerKnows(t *testing.T) {
	s := newDirectorySync()
	w := worker.Worker{ID: "w", Service: "s", Address: "10.0.0.1:1", DataCentre: "d", Born: 1}
	leaving := w
	leaving.ID, leaving.Leaving = "l", true
	s.addWorkerChanges(0, []worker.Event{{Change: worker.Appeared, Worker: w}, {Change: worker.Appeared, Worker: leaving}})
	require.False(t, s.peerHas("p", 5), "no digest of the peer is known")
	s.observePeer(0, "p", &clusterpb.News{DirectoryDigest: 5}, 5)
	require.True(t, s.peerHas("p", 5))
	require.False(t, s.peerHas("p", 6))
	var full, brief clusterpb.News
	s.appendUpdates(0, &full, true)
	s.appendUpdates(0, &brief, false)
	require.Len(t, full.GetWorkers(), 2)
	require.Len(t, brief.GetWorkers(), 1, "digests do not cover notices of workers that leave")
	require.Equal(t, "l", brief.GetWorkers()[0].GetId())
}
