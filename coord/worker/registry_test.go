package worker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/revision"
)

// changesOf returns the changes of the events.
func changesOf(events []Event) []Change {
	var changes []Change
	for _, n := range events {
		changes = append(changes, n.Change)
	}
	return changes
}

// v returns the version of a revision of a store without eras.
func v(n uint64) revision.Version { return inEra(0, n) }

func inEra(era, n uint64) revision.Version {
	version, err := revision.New(era, n)
	if err != nil {
		panic(err)
	}
	return version
}

// testConfig is for workers that renew their entry every 1.2 s.
var testConfig = DefaultConfig(1200 * time.Millisecond)

func TestADeletedEntryIsGoneAtOnce(t *testing.T) {
	r := NewRegistry(testConfig)
	r.Put(Worker{ID: "w", Born: 1}, v(4))
	require.Equal(t, []Change{Gone}, changesOf(r.Delete(time.Second, "w", v(5))))
	require.Empty(t, r.Workers())
}

func TestAnOldRevisionChangesNothing(t *testing.T) {
	r := NewRegistry(testConfig)
	r.Put(Worker{ID: "w", Draining: true}, v(9))
	require.Empty(t, r.Put(Worker{ID: "w"}, v(8)))
	require.Empty(t, r.Delete(0, "w", v(8)))
	require.True(t, r.Workers()[0].Draining)
}

func TestLapsedEntriesAreKeptUntilTheGraceEnds(t *testing.T) {
	const returned = 10 * time.Second
	r := NewRegistry(testConfig)
	r.Put(Worker{ID: "back"}, v(1))
	r.Put(Worker{ID: "lost"}, v(2))
	r.CallFailed(returned - testConfig.MinOutage)
	require.Equal(t, []Change{Lapsed}, changesOf(r.Delete(returned, "back", v(3))))
	require.Equal(t, testConfig.MinOutage, r.StoreResponded(returned))
	require.Equal(t, []Change{Lapsed}, changesOf(r.Replace(returned, nil, v(5))))
	require.Len(t, r.Workers(), 2)
	require.Empty(t, r.Tick(returned+testConfig.ReturnGrace-1))
	r.Put(Worker{ID: "back"}, v(6))
	require.Equal(t, []Change{Gone}, changesOf(r.Tick(returned+testConfig.ReturnGrace)))
	require.Equal(t, "back", r.Workers()[0].ID)
}

// TestACutWatchStartsNoGrace guards against a removed worker that stays in use because
// the store cuts watches: such a failure is too short for an entry to expire.
func TestACutWatchStartsNoGrace(t *testing.T) {
	r := NewRegistry(testConfig)
	r.Put(Worker{ID: "w"}, v(1))
	r.CallFailed(10 * time.Second)
	require.Zero(t, r.StoreResponded(10*time.Second+testConfig.MinOutage-1))
	require.Equal(t, []Change{Gone}, changesOf(r.Delete(10*time.Second+testConfig.MinOutage, "w", v(2))))
}

// TestCutWatchesDoNotExtendAGrace guards against lapsed workers that stay in use for as
// long as the store goes on cutting watches.
func TestCutWatchesDoNotExtendAGrace(t *testing.T) {
	r := NewRegistry(testConfig)
	r.Put(Worker{ID: "w"}, v(1))
	r.CallFailed(0)
	require.Equal(t, 10*time.Second, r.StoreResponded(10*time.Second))
	require.Equal(t, []Change{Lapsed}, changesOf(r.Delete(10*time.Second, "w", v(2))))
	end := 10*time.Second + testConfig.ReturnGrace
	for at := 10 * time.Second; at < end; at += testConfig.MinOutage {
		r.CallFailed(at)
		require.Empty(t, r.Tick(at))
		require.Zero(t, r.StoreResponded(at+testConfig.MinOutage/2))
	}
	r.CallFailed(end - 1)
	require.Equal(t, []Change{Gone}, changesOf(r.Tick(end)))
}

// TestAResponseToAnotherCallShowsThatTheStoreWasAvailable covers a call that timed out
// beside others that the store answered.
func TestAResponseToAnotherCallShowsThatTheStoreWasAvailable(t *testing.T) {
	r := NewRegistry(testConfig)
	r.Put(Worker{ID: "w"}, v(1))
	require.Zero(t, r.StoreResponded(9900*time.Millisecond))
	r.CallFailed(5 * time.Second)
	require.Zero(t, r.StoreResponded(10*time.Second))
	require.Equal(t, []Change{Gone}, changesOf(r.Delete(10*time.Second, "w", v(2))))
}

// TestALapsedWorkerReturnsOnlyWithANewerEntry guards against a removal that older news of
// a peer, or an entry that was on its way, takes back.
func TestALapsedWorkerReturnsOnlyWithANewerEntry(t *testing.T) {
	r := NewRegistry(testConfig)
	r.Put(Worker{ID: "w"}, v(4))
	r.CallFailed(0)
	r.StoreResponded(10 * time.Second)
	r.Delete(10*time.Second, "w", v(7))
	require.Empty(t, r.PutFromPeer(Worker{ID: "w"}, v(4)))
	require.Empty(t, r.Put(Worker{ID: "w"}, v(6)))
	require.True(t, r.Missing("w"))
	events := r.Tick(10*time.Second + testConfig.ReturnGrace)
	require.Equal(t, []Change{Gone}, changesOf(events))
	require.Equal(t, v(7), events[0].Version, "peers are told the revision of the removal")
	require.Empty(t, r.PutFromPeer(Worker{ID: "w"}, v(7)))
	require.Equal(t, []Change{Appeared}, changesOf(r.Put(Worker{ID: "w"}, v(8))))
}

// TestARemovalOfAnUnknownWorkerIsRemembered covers a peer that passes on an entry after
// the store has reported its deletion.
func TestARemovalOfAnUnknownWorkerIsRemembered(t *testing.T) {
	r := NewRegistry(testConfig)
	require.Empty(t, r.Delete(time.Second, "w", v(7)))
	require.Empty(t, r.PutFromPeer(Worker{ID: "w"}, v(6)))
	require.Empty(t, r.DeleteFromPeer("v", v(7)))
	require.Empty(t, r.PutFromPeer(Worker{ID: "v"}, v(6)))
	require.Equal(t, Removal{ID: "w", Version: v(7)}, r.NewestRemoval())
}

// TestWorkersKnownFromOthersLapse covers an instance that begins to read the store when
// it has just returned, and knows workers from its peers.
func TestWorkersKnownFromOthersLapse(t *testing.T) {
	r := NewRegistry(testConfig)
	r.PutFromPeer(Worker{ID: "w"}, v(4))
	r.ReadingBegins()
	require.NotZero(t, r.StoreResponded(10*time.Second))
	require.Equal(t, []Change{Lapsed}, changesOf(r.Replace(10*time.Second, nil, v(9))))
}

func TestARestartUnderTheSameIDIsReported(t *testing.T) {
	r := NewRegistry(testConfig)
	r.Put(Worker{ID: "w", Born: 1, Models: []ModelState{{Name: "m"}}}, v(1))
	require.Equal(t, []Change{Restarted}, changesOf(r.Put(Worker{ID: "w", Born: 2}, v(2))))
	require.False(t, r.Workers()[0].HasModel("m"))
	require.Equal(t, []Change{StartedDraining}, changesOf(r.Put(Worker{ID: "w", Born: 2, Draining: true}, v(3))))
}

func TestAnOlderEntryFromAnotherInstanceIsIgnored(t *testing.T) {
	r := NewRegistry(testConfig)
	held := Worker{ID: "w", Born: 1, Models: []ModelState{{Name: "m", Adapters: []string{"a@1"}}}}
	r.Put(held, v(5))
	bare := Worker{ID: "w", Born: 1, Models: []ModelState{{Name: "m"}}}
	require.Empty(t, r.PutFromPeer(bare, v(6)), "it has nothing new and lacks the adapters")
	require.NotEmpty(t, r.Workers()[0].Models[0].Adapters)
	bare.Draining = true
	require.Empty(t, r.PutFromPeer(bare, v(4)))
	require.Equal(t, []Change{StartedDraining}, changesOf(r.PutFromPeer(bare, v(7))))
	require.Equal(t, []Change{Gone}, changesOf(r.Delete(0, "w", v(8))))
	require.Empty(t, r.PutFromPeer(bare, v(7)), "an older revision does not restore it")
}

// TestAWorkerThatSaidThatItLeavesStaysLeaving covers a worker whose entry goes on to
// say that it is ready: it is written late, or the store does not respond.
func TestAWorkerThatSaidThatItLeavesStaysLeaving(t *testing.T) {
	r := NewRegistry(testConfig)
	ready := Worker{ID: "w", Born: 7}
	r.Put(ready, v(1))
	events := r.MarkLeaving("w", 7)
	require.Equal(t, []Change{StartedDraining}, changesOf(events))
	require.True(t, events[0].Structural, "peers are told")
	require.Empty(t, r.MarkLeaving("w", 7))
	require.NotContains(t, changesOf(r.Put(ready, v(2))), Restarted)
	require.True(t, r.Workers()[0].Draining)
	r.Delete(0, "w", v(3))
	r.Put(ready, v(4))
	require.True(t, r.Workers()[0].Draining, "an entry that is listed again is of the same process")
	require.Equal(t, []Change{Restarted}, changesOf(r.Put(Worker{ID: "w", Born: 8}, v(5))))
	require.False(t, r.Workers()[0].Draining, "a restarted worker is not bound by it")
	require.Empty(t, r.MarkLeaving("w", 7), "a response of the former process arrives late")
	require.False(t, r.Workers()[0].Draining)
}

func TestThatAWorkerLeavesIsTakenFromAnOlderEntryOfAPeer(t *testing.T) {
	r := NewRegistry(testConfig)
	r.Put(Worker{ID: "w", Born: 7, Models: []ModelState{{Name: "m", Adapters: []string{"a@1"}}}}, v(9))
	told := Worker{ID: "w", Born: 7, Draining: true, Leaving: true, Models: []ModelState{{Name: "m"}}}
	require.Equal(t, []Change{StartedDraining}, changesOf(r.PutFromPeer(told, v(4))))
	require.NotEmpty(t, r.Workers()[0].Models[0].Adapters)
	require.Empty(t, r.PutFromPeer(told, v(4)))
	told.ID = "unknown"
	require.Equal(t, []Change{Appeared}, changesOf(r.PutFromPeer(told, v(4))))
	require.True(t, r.Workers()[0].Draining)
}

func TestProcessesThatLeftAreForgotten(t *testing.T) {
	r := NewRegistry(testConfig)
	r.Put(Worker{ID: "kept", Born: 1}, v(1))
	r.MarkLeaving("kept", 1)
	for i := range leavingSweepSize + 1 {
		r.MarkLeaving(fmt.Sprintf("gone-%d", i), 1)
	}
	require.LessOrEqual(t, len(r.leaving), 2)
	require.True(t, r.isLeaving("kept", 1))
}
