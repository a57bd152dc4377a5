package worker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// changesOf returns the changes of the events.
func changesOf(events []Event) []Change {
	var changes []Change
	for _, n := range events {
		changes = append(changes, n.Change)
	}
	return changes
}

func TestADeletedEntryIsGoneAtOnce(t *testing.T) {
	r := NewRegistry()
	r.Put(Worker{ID: "w", Born: 1}, 4)
	require.Equal(t, []Change{Gone}, changesOf(r.Delete(time.Second, "w", 5)))
	require.Empty(t, r.Workers())
}

func TestAnOldRevisionChangesNothing(t *testing.T) {
	r := NewRegistry()
	r.Put(Worker{ID: "w", Draining: true}, 9)
	require.Empty(t, r.Put(Worker{ID: "w"}, 8))
	require.Empty(t, r.Delete(0, "w", 8))
	require.True(t, r.Workers()[0].Draining)
}

func TestLapsedEntriesAreKeptUntilTheGraceEnds(t *testing.T) {
	r := NewRegistry()
	r.Put(Worker{ID: "back"}, 1)
	r.Put(Worker{ID: "lost"}, 2)
	r.StoreLost()
	require.Equal(t, []Change{Lapsed}, changesOf(r.Delete(0, "back", 3)))
	r.StoreReturned(10 * time.Second)
	require.Equal(t, []Change{Lapsed}, changesOf(r.Replace(10*time.Second, nil, 5)))
	require.Len(t, r.Workers(), 2)
	require.Empty(t, r.Tick(10*time.Second+ReturnGrace-1))
	r.Put(Worker{ID: "back"}, 6)
	require.Equal(t, []Change{Gone}, changesOf(r.Tick(10*time.Second+ReturnGrace)))
	require.Equal(t, "back", r.Workers()[0].ID)
}

func TestARestartUnderTheSameIDIsReported(t *testing.T) {
	r := NewRegistry()
	r.Put(Worker{ID: "w", Born: 1, Models: []ModelState{{Name: "m"}}}, 1)
	require.Equal(t, []Change{Restarted}, changesOf(r.Put(Worker{ID: "w", Born: 2}, 2)))
	require.False(t, r.Workers()[0].HasModel("m"))
	require.Equal(t, []Change{StartedDraining}, changesOf(r.Put(Worker{ID: "w", Born: 2, Draining: true}, 3)))
}

func TestAnOlderEntryFromAnotherInstanceIsIgnored(t *testing.T) {
	r := NewRegistry()
	held := Worker{ID: "w", Born: 1, Models: []ModelState{{Name: "m", Adapters: []string{"a@1"}}}}
	r.Put(held, 5)
	bare := Worker{ID: "w", Born: 1, Models: []ModelState{{Name: "m"}}}
	require.Empty(t, r.PutFromPeer(bare, 6), "it has nothing new and lacks the adapters")
	require.NotEmpty(t, r.Workers()[0].Models[0].Adapters)
	bare.Draining = true
	require.Empty(t, r.PutFromPeer(bare, 4))
	require.Equal(t, []Change{StartedDraining}, changesOf(r.PutFromPeer(bare, 7)))
	require.Equal(t, []Change{Gone}, changesOf(r.Delete(0, "w", 8)))
	require.Empty(t, r.PutFromPeer(bare, 7), "an older revision does not restore it")
}

// TestAWorkerThatSaidThatItLeavesStaysLeaving covers a worker whose entry goes on to
// say that it is ready: it is written late, or the store does not respond.
func TestAWorkerThatSaidThatItLeavesStaysLeaving(t *testing.T) {
	r := NewRegistry()
	ready := Worker{ID: "w", Born: 7}
	r.Put(ready, 1)
	events := r.MarkLeaving("w", 7)
	require.Equal(t, []Change{StartedDraining}, changesOf(events))
	require.True(t, events[0].Structural, "peers are told")
	require.Empty(t, r.MarkLeaving("w", 7))
	require.NotContains(t, changesOf(r.Put(ready, 2)), Restarted)
	require.True(t, r.Workers()[0].Draining)
	r.Delete(0, "w", 3)
	r.Put(ready, 4)
	require.True(t, r.Workers()[0].Draining, "an entry that is listed again is of the same process")
	require.Equal(t, []Change{Restarted}, changesOf(r.Put(Worker{ID: "w", Born: 8}, 5)))
	require.False(t, r.Workers()[0].Draining, "a restarted worker is not bound by it")
	require.Empty(t, r.MarkLeaving("w", 7), "a response of the former process arrives late")
	require.False(t, r.Workers()[0].Draining)
}

func TestThatAWorkerLeavesIsTakenFromAnOlderEntryOfAPeer(t *testing.T) {
	r := NewRegistry()
	r.Put(Worker{ID: "w", Born: 7, Models: []ModelState{{Name: "m", Adapters: []string{"a@1"}}}}, 9)
	told := Worker{ID: "w", Born: 7, Draining: true, Leaving: true, Models: []ModelState{{Name: "m"}}}
	require.Equal(t, []Change{StartedDraining}, changesOf(r.PutFromPeer(told, 4)))
	require.NotEmpty(t, r.Workers()[0].Models[0].Adapters)
	require.Empty(t, r.PutFromPeer(told, 4))
	told.ID = "unknown"
	require.Equal(t, []Change{Appeared}, changesOf(r.PutFromPeer(told, 4)))
	require.True(t, r.Workers()[0].Draining)
}

func TestProcessesThatLeftAreForgotten(t *testing.T) {
	r := NewRegistry()
	r.Put(Worker{ID: "kept", Born: 1}, 1)
	r.MarkLeaving("kept", 1)
	for i := range leavingSweepSize + 1 {
		r.MarkLeaving(fmt.Sprintf("gone-%d", i), 1)
	}
	require.LessOrEqual(t, len(r.leaving), 2)
	require.True(t, r.isLeaving("kept", 1))
}
