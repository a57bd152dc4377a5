package attempt

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const worldSteps = 1000

// TestKeysRunAtMostOnce drives instances through random kills, pauses, hand
// overs, takeovers, lost and doubled messages.
func TestKeysRunAtMostOnce(t *testing.T) {
	tight := DefaultRecordConfig() // bounds so low that every run meets them
	tight.MaxKeys = 4
	tight.Retention = 8 * worldTerm
	for name, config := range map[string]RecordConfig{"default": DefaultRecordConfig(), "tight": tight} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				require.Empty(t, newWorld(t, config).run(worldSteps))
			})
		})
	}
}

// TestRecordWithoutFloorIsFound runs the same check over a broken record.
func TestRecordWithoutFloorIsFound(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, DefaultRecordConfig())
		w.noFloor = true
		if w.run(worldSteps) == "a key ran twice" {
			found = true
		}
	})
	require.True(t, found)
}

// runsAcrossTakeover counts the runs of a key that is as far in the future as
// the first holder takes, by clocks as far apart as they may be. The first
// holder freezes after its decision, and writes when it wakes.
func runsAcrossTakeover(floorOf RecordConfig) int {
	actual := DefaultRecordConfig()
	takenOver := later + time.Millisecond
	key := keyAt(epoch+later+actual.ClockSkew+actual.FutureLimit, 1)
	first, second := NewRecord(actual), NewRecord(floorOf)
	runs := 0
	count := func(actions []RecordAction) {
		for _, action := range actions {
			if _, run := action.(Run); run {
				runs++
			}
		}
	}
	count(first.Step(later, Arrive{Send: 1, Key: key, Wall: epoch + later + actual.ClockSkew, Held: true}))
	now := takenOver + 5*time.Second // the repeat comes when the key is no longer from the future
	count(second.Step(now, Arrive{Send: 2, Key: key, Wall: epoch + now, Held: true, Since: takenOver}))
	return runs
}

func TestFloorCoversFutureAndSkew(t *testing.T) {
	require.Equal(t, 1, runsAcrossTakeover(DefaultRecordConfig()))
	without := DefaultRecordConfig()
	without.ClockSkew = 0
	require.Equal(t, 2, runsAcrossTakeover(without), "the broken floor is found")
	without = DefaultRecordConfig()
	without.FutureLimit = 0
	require.Equal(t, 2, runsAcrossTakeover(without), "the broken floor is found")
}
