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

// fakeRights grants or refuses the rights to all shards.
type fakeRights struct {
	since atomic.Int64
	held  atomic.Bool
}

func (l *fakeRights) Held(ownership.Right) (ownership.Grant, bool) {
	return ownership.Grant{Since: time.Duration(l.since.Load()), Fence: 1}, l.held.Load()
}

// holder is one instance with a service that counts its runs.
type holder struct {
	*Keys
	fleet *fleet.Fleet
	lease *fakeRights
	runs  atomic.Int64
	// finish blocks every run until it is closed; nil blocks none.
	finish chan struct{}
}

// publish installs a table with those data centres.
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
	h := &holder{fleet: fleet.New("entry", "a"), lease: &fakeRights{}}
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
	if h.finish != nil {
		<-h.finish
	}
	return &call.Response{Status: 200, Body: io.NopCloser(strings.NewReader("done"))}, nil
}

func newCall(key string) *call.Request {
	return &call.Request{Method: "POST", Path: "/orders", Key: key, Deadline: time.Now().Add(time.Minute)}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// send sends a call with the key to a holder and returns its outcome.
func (h *holder) send(key string) attempt.Outcome {
	answer, err := h.Serve(context.Background(), newCall(key))
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

// TestHandOverKeepsAnswers hands over a shard while one of its keys runs. The
// next holder must answer that key from the record instead of running it again.
func TestHandOverKeepsAnswers(t *testing.T) {
	first, second := newHolder(t, true), newHolder(t, false)
	first.finish = make(chan struct{})
	key := newKey()
	shard := shardOf(t, key)
	answered := make(chan attempt.Outcome, 1)
	go func() { answered <- first.send(key) }()
	require.Eventually(t, func() bool { return first.runs.Load() == 1 }, time.Minute, time.Millisecond)
	state := make(chan []byte, 1)
	go func() { state <- first.HandOver(rightTo(shard)) }()
	require.Eventually(t, func() bool {
		first.mu.Lock()
		defer first.mu.Unlock()
		return first.shards[shard].handingOver
	}, time.Minute, time.Millisecond)
	var unseen string
	for unseen = newKey(); shardOf(t, unseen) != shard; unseen = newKey() {
		continue
	}
	require.Equal(t, attempt.NotRun, first.send(unseen), "nothing more runs while the shard is handed over")
	close(first.finish)
	require.Equal(t, attempt.Served, <-answered)

	since := second.fleet.Now()
	second.lease.since.Store(int64(since))
	second.lease.held.Store(true)
	second.Acquired(ownership.Acquired{Right: rightTo(shard), Grant: ownership.Grant{Since: since}, Handed: true, State: <-state})
	require.Equal(t, attempt.Served, second.send(key), "answered from the record")
	require.Zero(t, second.runs.Load())
	require.Equal(t, attempt.Served, second.send(unseen), "the next holder runs a key that the previous one has not run")

	third := newHolder(t, true)
	third.lease.since.Store(int64(third.fleet.Now()))
	third.Acquired(ownership.Acquired{Right: rightTo(shard), Grant: ownership.Grant{Since: third.fleet.Now()}, Handed: true, State: []byte("{")})
	require.Equal(t, attempt.Unknown, third.send(key), "without a readable state the key may have run")
	require.Zero(t, third.runs.Load())
}

// A change of the published data centres moves the home of some keys. The new
// home must not run a key that the previous home may have run.
func TestMovedHomeRefusesKeysThatMayHaveRun(t *testing.T) {
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
	require.Equal(t, attempt.Unknown, h.send(moved))
	require.Zero(t, h.runs.Load())
	require.Equal(t, attempt.Served, h.send(stayed))
	named := newCall(moved)
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
	first.send(key)
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
