package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// minFloorRatio is the share of its floor that a rank must get under overload.
const minFloorRatio = 0.95

var adapter = table.AdapterVersion{Adapter: "a", Version: "v1"}

// flooded returns a queue in which every rank has more requests than turns.
func flooded(config Config, turns int) *Queue {
	config.Limit = table.RankCount * (turns + 1)
	q := NewQueue(config)
	q.SetReady(adapter)
	for i := range config.Limit {
		q.Push(Request{ID: uint64(i), Adapter: adapter, Rank: table.Ranks[i%table.RankCount], Deadline: time.Hour})
	}
	return q
}

// shortfall dispatches that many requests from a flooded queue and returns an
// error for the first rank that got less than its floor.
func shortfall(q *Queue, floors [table.RankCount]float64, turns int) error {
	var taken [table.RankCount]int
	for range turns {
		r, found := q.Next()
		if !found {
			return fmt.Errorf("no runnable request after dispatching %v", taken)
		}
		taken[r.Rank]++
	}
	for rank, floor := range floors {
		if least := minFloorRatio * floor * float64(turns); float64(taken[rank]) < least-1 {
			return fmt.Errorf("rank %s got %d of %d dispatches with a floor of %g", table.Rank(rank), taken[rank], turns, floor)
		}
	}
	return nil
}

func TestEveryRankKeepsItsFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig()
		config.Floors[table.Normal] = rapid.Float64Range(0, 0.4).Draw(t, "normal")
		config.Floors[table.Patient] = rapid.Float64Range(0, 0.4).Draw(t, "patient")
		turns := rapid.IntRange(10, 500).Draw(t, "turns")
		require.NoError(t, shortfall(flooded(config, turns), config.Floors, turns))
	})
}

func TestMissingFloorsAreDetected(t *testing.T) {
	q := flooded(Config{LimitBytes: 1}, 100)
	assert.Error(t, shortfall(q, DefaultConfig().Floors, 100))
}

func TestCallersTakeTurns(t *testing.T) {
	q := NewQueue(DefaultConfig())
	q.SetReady(adapter)
	for i := range 100 {
		q.Push(Request{ID: uint64(i), Adapter: adapter, Caller: "many", Deadline: time.Minute})
	}
	q.Push(Request{ID: 100, Adapter: adapter, Caller: "one", Deadline: time.Hour})
	q.Next()
	r, _ := q.Next()
	assert.Equal(t, "one", r.Caller)
}

func TestUrgentWorkDisplacesPatientWork(t *testing.T) {
	config := DefaultConfig()
	config.Limit = 2
	q := NewQueue(config)
	q.Push(Request{ID: 1, Rank: table.Patient, Deadline: time.Minute})
	q.Push(Request{ID: 2, Rank: table.Patient, Deadline: time.Hour})
	displaced, queued := q.Push(Request{ID: 3, Rank: table.Urgent})
	require.True(t, queued)
	require.Len(t, displaced, 1)
	assert.Equal(t, uint64(2), displaced[0].ID, "the request with the latest deadline is displaced")
	_, queued = q.Push(Request{ID: 4, Rank: table.Patient})
	assert.False(t, queued, "no less urgent request can be displaced")
}
