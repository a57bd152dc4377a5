package attempt

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const worldSteps = 1000

// TestKeysRunAtMostOnce subjects instances to random crashes, pauses, hand-overs,
// takeovers, and lost and duplicated messages.
func TestKeysRunAtMostOnce(t *testing.T) {
	tight := DefaultRecordConfig() // limits so low that every run reaches them
	tight.MaxKeys = 4
	tight.Retention = 8 * worldLeaseTTL
	for name, config := range map[string]RecordConfig{"default": DefaultRecordConfig(), "tight": tight} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				require.Empty(t, newWorld(t, config).run(worldSteps))
			})
		})
	}
}

// TestMissingFloorIsDetected runs the same check on records whose floor lies
// before all keys, and expects it to find a key that ran twice.
func TestMissingFloorIsDetected(t *testing.T) {
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

// runsAcrossTakeover counts the runs of a key that was minted as far in the
// future as the first holder accepts, on wall clocks that differ by the whole
// ClockSkew. The first holder pauses after its decision and sends the call when
// it resumes.
func runsAcrossTakeover(secondConfig RecordConfig) int {
	config := DefaultRecordConfig()
	takeoverAt := later + time.Millisecond
	key := keyAt(epoch+later+config.ClockSkew+config.FutureLimit, 1)
	first, second := NewRecord(config), NewRecord(secondConfig)
	runs := 0
	count := func(actions []RecordAction) {
		for _, action := range actions {
			if _, run := action.(Run); run {
				runs++
			}
		}
	}
	count(first.Step(later, Arrive{Send: 1, Key: key, Wall: epoch + later + config.ClockSkew, Held: true}))
	now := takeoverAt + 5*time.Second // the retry arrives when the mint time is in the past
	count(second.Step(now, Arrive{Send: 2, Key: key, Wall: epoch + now, Held: true, HeldSince: takeoverAt}))
	return runs
}

func TestFloorCoversFutureAndSkew(t *testing.T) {
	require.Equal(t, 1, runsAcrossTakeover(DefaultRecordConfig()))
	broken := DefaultRecordConfig()
	broken.ClockSkew = 0
	require.Equal(t, 2, runsAcrossTakeover(broken), "a floor that is too low lets the key run twice")
	broken = DefaultRecordConfig()
	broken.FutureLimit = 0
	require.Equal(t, 2, runsAcrossTakeover(broken), "a floor that is too low lets the key run twice")
}
