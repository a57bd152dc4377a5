package keys

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
)

// lease is a right to every shard.
type lease struct {
	since atomic.Int64
	held  atomic.Bool
}

func (l *lease) Held(ownership.Right) (ownership.Grant, bool) {
	return ownership.Grant{Since: time.Duration(l.since.Load()), Fence: 1}, l.held.Load()
}

// holder is one instance with what its service does.
type holder struct {
	*Keys
	fleet *fleet.Fleet
	lease *lease
	runs  atomic.Int64
	// hold keeps a run in progress until it is closed, or is nil.
	hold chan struct{}
}

// publish offers tables with those data centres.
func publish(t testing.TB, f *fleet.Fleet, revision uint64, dataCentres ...string) {
	t.Helper()
	chunk, err := json.Marshal(table.Chunk{Regions: []table.Region{{Name: "north", DataCentres: dataCentres}}})
	require.NoError(t, err)
	built, err := table.Build(table.Snapshot{
		Manifest: table.Manifest{Revision: revision, Chunks: []table.ChunkRef{{Key: "c", Digest: table.Digest(chunk)}}},
		Chunks:   map[string][]byte{"c": chunk},
	})
	require.NoError(t, err)
	f.Offer(built)
}

func newHolder(t testing.TB, held bool) *holder {
	t.Helper()
	h := &holder{fleet: fleet.New("entry", "a"), lease: &lease{}}
	publish(t, h.fleet, 1, "a")
	h.lease.held.Store(held)
	h.lease.since.Store(int64(-time.Minute)) // so that keys minted now are above the floor
	var err error
	h.Keys, err = New(Config{Record: attempt.DefaultRecordConfig(), Concurrency: 8}, h.fleet, h.lease, nil, h.run, zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(h.Close)
	return h
}

func (h *holder) run(context.Context, *call.Request) (*call.Response, error) {
	h.runs.Add(1)
	if h.hold != nil {
		<-h.hold
	}
	return &call.Response{Status: 200, Body: io.NopCloser(strings.NewReader("done"))}, nil
}

func order(key string) *call.Request {
	return &call.Request{Method: "POST", Path: "/orders", Key: key, Deadline: time.Now().Add(time.Minute)}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// outcome sends an order to a holder.
func (h *holder) outcome(key string) attempt.Outcome {
	answer, err := h.Serve(context.Background(), order(key))
	if err != nil {
		return outcomeOf(err)
	}
	_ = answer.Body.Close()
	return attempt.Served
}

func rightTo(shard int) ownership.Right { return ownership.KeyRight("a", shard) }

func shardOf(t testing.TB, key string) int {
	parsed, err := attempt.ParseKey(key)
	require.NoError(t, err)
	return parsed.Shard()
}

// TestHandOverKeepsAnswers hands a shard over while one of its keys runs.
func TestHandOverKeepsAnswers(t *testing.T) {
	first, second := newHolder(t, true), newHolder(t, false)
	first.hold = make(chan struct{})
	key := newKey()
	shard := shardOf(t, key)
	answered := make(chan attempt.Outcome, 1)
	go func() { answered <- first.outcome(key) }()
	require.Eventually(t, func() bool { return first.runs.Load() == 1 }, time.Minute, time.Millisecond)
	state := make(chan []byte, 1)
	go func() { state <- first.HandOver(rightTo(shard)) }()
	require.Eventually(t, func() bool {
		first.mu.Lock()
		defer first.mu.Unlock()
		return first.shards[shard].handing
	}, time.Minute, time.Millisecond)
	var fresh string
	for fresh = newKey(); shardOf(t, fresh) != shard; fresh = newKey() {
		continue
	}
	require.Equal(t, attempt.NotRun, first.outcome(fresh), "nothing more runs while the shard is handed over")
	close(first.hold)
	require.Equal(t, attempt.Served, <-answered)

	since := second.fleet.Now()
	second.lease.since.Store(int64(since))
	second.lease.held.Store(true)
	second.Acquired(ownership.Acquired{Right: rightTo(shard), Grant: ownership.Grant{Since: since}, Handed: true, State: <-state})
	require.Equal(t, attempt.Served, second.outcome(key), "answered from the record")
	require.Zero(t, second.runs.Load())
	require.Equal(t, attempt.Served, second.outcome(fresh), "a key that has not run is not unknown")

	third := newHolder(t, true)
	third.lease.since.Store(int64(third.fleet.Now()))
	third.Acquired(ownership.Acquired{Right: rightTo(shard), Grant: ownership.Grant{Since: third.fleet.Now()}, Handed: true, State: []byte("{")})
	require.Equal(t, attempt.Unknown, third.outcome(key), "without a readable state the key may have run")
	require.Zero(t, third.runs.Load())
}

// TestMovedHomeRunsNothingThatTheFormerMayHaveRun changes the data centres over
// which homes are hashed.
func TestMovedHomeRunsNothingThatTheFormerMayHaveRun(t *testing.T) {
	h := newHolder(t, true)
	publish(t, h.fleet, 2, "a", "b")
	h.Tick()
	moved, stayed := "", ""
	for moved == "" || stayed == "" {
		text := newKey()
		key, err := attempt.ParseKey(text)
		require.NoError(t, err)
		if attempt.Home(key, []string{"a", "b"}) == "b" {
			moved = text
		} else {
			stayed = text
		}
	}
	publish(t, h.fleet, 3, "a")
	require.Equal(t, attempt.Unknown, h.outcome(moved))
	require.Zero(t, h.runs.Load())
	require.Equal(t, attempt.Served, h.outcome(stayed))
	named := order(moved)
	named.Home = "a"
	_, err := h.Serve(context.Background(), named)
	require.NoError(t, err, "a home that the caller names does not move")
}

func TestOutcomeOfForeignErrorIsUnknown(t *testing.T) {
	require.Equal(t, attempt.Unknown, outcomeOf(errors.New("boom")))
}

func FuzzAcquired(f *testing.F) {
	key := newKey()
	first := newHolder(f, true)
	first.outcome(key)
	shard := shardOf(f, key)
	f.Add(first.HandOver(rightTo(shard)))
	f.Add([]byte(`{"Shard":0,"Keys":[{"Key":"x"}]}`))
	f.Fuzz(func(t *testing.T, state []byte) {
		h := newHolder(t, true)
		h.lease.since.Store(int64(h.fleet.Now()))
		h.Acquired(ownership.Acquired{Right: rightTo(shard), Grant: ownership.Grant{Since: h.fleet.Now()}, Handed: true, State: state})
		require.LessOrEqual(t, h.record.Len(), attempt.DefaultRecordConfig().MaxKeys)
	})
}
