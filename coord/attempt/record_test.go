package attempt

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

// epoch is the wall clock time at the start of every simulation.
const epoch = 1_800_000_000 * time.Second

// keyAt returns a key that was minted at wall and whose other bits come from n.
func keyAt(wall time.Duration, n uint64) Key {
	var k Key
	binary.BigEndian.PutUint64(k[:8], uint64(wall.Milliseconds())<<16)
	binary.BigEndian.PutUint64(k[8:], n)
	k[6] = 0x70 | k[6]&0x0f
	k[8] = 0x80 | k[8]&0x3f
	return k
}

// arriveAtHolder returns the arrival of a send at an instance that has held the
// right since it started.
func arriveAtHolder(send uint64, key Key, now time.Duration) Arrive {
	return Arrive{Send: send, Key: key, Wall: epoch + now, Held: true}
}

// refusal returns the only action, which must be a Refuse.
func refusal(t *testing.T, actions []RecordAction) Refuse {
	t.Helper()
	require.Len(t, actions, 1)
	require.IsType(t, Refuse{}, actions[0])
	return actions[0].(Refuse)
}

const later = 10 * time.Second

func TestArriveWithAbsentKey(t *testing.T) {
	config := DefaultRecordConfig()
	afterRetention := config.Retention + time.Minute
	tests := []struct {
		name    string
		now     time.Duration
		minted  time.Duration
		held    bool
		outcome Outcome
		reason  Reason
	}{
		{"not the holder", later, later, false, NotRun, NotHolder},
		{"minted before the right began", later, -time.Second, true, Unknown, BelowFloor},
		{"minted in the future and accepted by a previous holder", later, config.FutureLimit + config.ClockSkew, true, Unknown, BelowFloor},
		{"from the future", later, later + config.FutureLimit + time.Millisecond, true, NotRun, FromFuture},
		{"retention ended without a run", afterRetention, 30 * time.Second, true, NotRun, Expired},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := arriveAtHolder(1, keyAt(epoch+test.minted, 1), test.now)
			e.Held = test.held
			got := refusal(t, NewRecord(config).Step(test.now, e))
			require.Equal(t, Refuse{Send: 1, Outcome: test.outcome, Reason: test.reason}, got)
		})
	}
}

func TestArriveWithKnownKey(t *testing.T) {
	r := NewRecord(DefaultRecordConfig())
	key := keyAt(epoch+later, 7)
	require.Equal(t, []RecordAction{Run{Send: 1}}, r.Step(later, arriveAtHolder(1, key, later)))
	require.Empty(t, r.Step(later, arriveAtHolder(2, key, later)), "a retry joins the run")
	other := arriveAtHolder(3, key, later)
	other.Digest = Digest{1}
	require.Equal(t, Reused, refusal(t, r.Step(later, other)).Reason)
	r.Step(later, arriveAtHolder(4, key, later))
	r.Step(later, Abandoned{Send: 4})
	answer := Answer{Status: 200, Body: []byte("done")}
	require.Equal(t, []RecordAction{Reply{Send: 2, Answer: answer}}, r.Step(later, Finished{Send: 1, Outcome: Served, Answer: answer}))
	notHeld := arriveAtHolder(5, key, later)
	notHeld.Held = false
	require.Equal(t, []RecordAction{Reply{Send: 5, Answer: answer}}, r.Step(later, notHeld), "a known key is answered without the right")
}

func TestRecordRunsAgainOnlyAfterNotRun(t *testing.T) {
	for outcome, runsAgain := range map[Outcome]bool{NotRun: true, Unknown: false, Served: false} {
		r := NewRecord(DefaultRecordConfig())
		key := keyAt(epoch+later, 7)
		r.Step(later, arriveAtHolder(1, key, later))
		r.Step(later, arriveAtHolder(2, key, later))
		joined := r.Step(later, Finished{Send: 1, Outcome: outcome})
		require.Len(t, joined, 1, "%s: the send that joined is answered", outcome)
		_, ran := r.Step(later, arriveAtHolder(3, key, later))[0].(Run)
		require.Equal(t, runsAgain, ran, outcome)
	}
}

func TestRecordBounds(t *testing.T) {
	config := DefaultRecordConfig()
	config.MaxKeys, config.MaxBytes, config.MaxAnswerBytes, config.MaxJoined = 3, 10, 8, 1
	r := NewRecord(config)
	sameShard := func(n uint64) Key { // returns keys of one shard, minted a millisecond apart
		for salt := uint64(0); ; salt++ {
			if key := keyAt(epoch+later+time.Duration(n)*time.Millisecond, n<<32|salt); key.Shard() == 0 {
				return key
			}
		}
	}
	for n := range uint64(4) {
		require.IsType(t, Run{}, r.Step(later, arriveAtHolder(n+1, sameShard(n), later))[0])
		r.Step(later, Finished{Send: n + 1, Outcome: Served, Answer: Answer{Body: make([]byte, 4)}})
		require.LessOrEqual(t, r.Len(), config.MaxKeys)
		require.LessOrEqual(t, r.Bytes(), config.MaxBytes)
	}
	require.Equal(t, BelowFloor, refusal(t, r.Step(later, arriveAtHolder(10, sameShard(0), later))).Reason, "an evicted key never runs again")
	big := sameShard(9)
	r.Step(later, arriveAtHolder(11, big, later))
	r.Step(later, arriveAtHolder(12, big, later))
	require.Equal(t, InProgress, refusal(t, r.Step(later, arriveAtHolder(13, big, later))).Reason)
	r.Step(later, Finished{Send: 11, Outcome: Served, Answer: Answer{Body: make([]byte, 9)}})
	require.Equal(t, AnswerDropped, refusal(t, r.Step(later, arriveAtHolder(14, big, later))).Reason)
	for n := range uint64(3) {
		r.Step(later, arriveAtHolder(20+n, sameShard(20+n), later))
	}
	require.Equal(t, Full, refusal(t, r.Step(later, arriveAtHolder(30, sameShard(30), later))).Reason)
	afterRetention := later + config.Retention + time.Minute
	r.Step(afterRetention, Tick{Wall: epoch + afterRetention})
	require.Equal(t, 3, r.Len(), "only keys with a run in progress are kept after the retention")
}

// TestHandOverLeavesNothingUnknown hands a shard over twice, the second time
// from a holder that received no send.
func TestHandOverLeavesNothingUnknown(t *testing.T) {
	first, second, third := NewRecord(DefaultRecordConfig()), NewRecord(DefaultRecordConfig()), NewRecord(DefaultRecordConfig())
	old, ran := keyAt(epoch-time.Second, 3), keyAt(epoch+later, 7)
	first.Step(later, arriveAtHolder(1, ran, later))
	first.Step(later, Finished{Send: 1, Outcome: Served, Answer: Answer{Body: []byte("done")}})
	shard := ran.Shard()
	second.Step(later, Inherited{HeldSince: later, HandOver: first.HandOver(later, shard, epoch+later, 0)})
	third.Step(later, Inherited{HeldSince: later, HandOver: second.HandOver(later, shard, epoch+later, later)})
	repeat := arriveAtHolder(2, ran, later)
	repeat.HeldSince = later
	require.IsType(t, Reply{}, third.Step(later, repeat)[0])
	for n := uint64(0); ; n++ {
		if fresh := keyAt(epoch+later-time.Second, n); fresh.Shard() == shard {
			e := arriveAtHolder(3, fresh, later)
			e.HeldSince = later
			require.Equal(t, []RecordAction{Run{Send: 3}}, third.Step(later, e), "minted under the first holder and not run there")
			break
		}
	}
	silent := NewRecord(DefaultRecordConfig()) // held the right and received no send
	fourth := NewRecord(DefaultRecordConfig())
	fourth.Step(later, Inherited{HeldSince: later, HandOver: silent.HandOver(later, old.Shard(), epoch+later, 0)})
	e := arriveAtHolder(4, old, later)
	e.HeldSince = later
	require.Equal(t, BelowFloor, refusal(t, fourth.Step(later, e)).Reason)
}

func TestHomeIsStable(t *testing.T) {
	key := keyAt(epoch, 5)
	home := Home(key, []string{"a", "b", "c"})
	require.Equal(t, home, Home(key, []string{"c", "b", "a", "a"}))
	require.Empty(t, Home(key, nil))
}

func FuzzParseKey(f *testing.F) {
	for _, seed := range []string{keyAt(epoch, 1).String(), uuid.Nil.String(), "", "{x}", "01890a5d-ac96-774b-bcce-b302099a8057"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, err := ParseKey(text)
		if err != nil {
			require.ErrorIs(t, err, ErrKeyMalformed)
			return
		}
		again, err := ParseKey(key.String())
		require.NoError(t, err)
		require.Equal(t, key, again)
		require.Less(t, key.Shard(), Shards)
		require.GreaterOrEqual(t, key.Minted(), time.Duration(0))
	})
}
