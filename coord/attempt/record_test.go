package attempt

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

// epoch is the wall clock at the start of every virtual run.
const epoch = 1_800_000_000 * time.Second

// keyAt mints a key at wall whose other bits come from n.
func keyAt(wall time.Duration, n uint64) Key {
	var k Key
	binary.BigEndian.PutUint64(k[:8], uint64(wall.Milliseconds())<<16)
	binary.BigEndian.PutUint64(k[8:], n)
	k[6] = 0x70 | k[6]&0x0f
	k[8] = 0x80 | k[8]&0x3f
	return k
}

// holding is a send at now by an instance that holds the right from the start.
func holding(send uint64, key Key, now time.Duration) Arrive {
	return Arrive{Send: send, Key: key, Wall: epoch + now, Held: true}
}

// refusal returns the one refusal among actions.
func refusal(t *testing.T, actions []RecordAction) Refuse {
	t.Helper()
	require.Len(t, actions, 1)
	require.IsType(t, Refuse{}, actions[0])
	return actions[0].(Refuse)
}

const later = 10 * time.Second

func TestRecordJudgesAbsentKeys(t *testing.T) {
	config := DefaultRecordConfig()
	long := config.Retention + time.Minute
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
		{"a former holder may have taken it from the future", later, config.FutureLimit + config.ClockSkew, true, Unknown, BelowFloor},
		{"from the future", later, later + config.FutureLimit + time.Millisecond, true, NotRun, FromFuture},
		{"past the retention and never run", long, 30 * time.Second, true, NotRun, Expired},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := holding(1, keyAt(epoch+test.minted, 1), test.now)
			e.Held = test.held
			got := refusal(t, NewRecord(config).Step(test.now, e))
			require.Equal(t, Refuse{Send: 1, Outcome: test.outcome, Reason: test.reason}, got)
		})
	}
}

func TestRecordRepeats(t *testing.T) {
	r := NewRecord(DefaultRecordConfig())
	key := keyAt(epoch+later, 7)
	require.Equal(t, []RecordAction{Run{Send: 1}}, r.Step(later, holding(1, key, later)))
	require.Empty(t, r.Step(later, holding(2, key, later)), "a repeat joins the run")
	other := holding(3, key, later)
	other.Digest = Digest{1}
	require.Equal(t, Reused, refusal(t, r.Step(later, other)).Reason)
	r.Step(later, holding(4, key, later))
	r.Step(later, Abandoned{Send: 4})
	answer := Answer{Status: 200, Body: []byte("done")}
	require.Equal(t, []RecordAction{Reply{Send: 2, Answer: answer}}, r.Step(later, Finished{Send: 1, Outcome: Served, Answer: answer}))
	lost := holding(5, key, later)
	lost.Held = false
	require.Equal(t, []RecordAction{Reply{Send: 5, Answer: answer}}, r.Step(later, lost), "what is known is told without the right")
}

func TestRecordRunsAgainOnlyAfterNotRun(t *testing.T) {
	for outcome, runsAgain := range map[Outcome]bool{NotRun: true, Unknown: false, Served: false} {
		r := NewRecord(DefaultRecordConfig())
		key := keyAt(epoch+later, 7)
		r.Step(later, holding(1, key, later))
		r.Step(later, holding(2, key, later))
		joined := r.Step(later, Finished{Send: 1, Outcome: outcome})
		require.Len(t, joined, 1, "%s: the send that joined is answered", outcome)
		_, ran := r.Step(later, holding(3, key, later))[0].(Run)
		require.Equal(t, runsAgain, ran, outcome)
	}
}

func TestRecordBounds(t *testing.T) {
	config := DefaultRecordConfig()
	config.MaxKeys, config.MaxBytes, config.MaxAnswerBytes, config.MaxJoined = 3, 10, 8, 1
	r := NewRecord(config)
	sameShard := func(n uint64) Key { // keys of one shard, each a millisecond younger
		for salt := uint64(0); ; salt++ {
			if key := keyAt(epoch+later+time.Duration(n)*time.Millisecond, n<<32|salt); key.Shard() == 0 {
				return key
			}
		}
	}
	for n := range uint64(4) {
		require.IsType(t, Run{}, r.Step(later, holding(n+1, sameShard(n), later))[0])
		r.Step(later, Finished{Send: n + 1, Outcome: Served, Answer: Answer{Body: make([]byte, 4)}})
		require.LessOrEqual(t, r.Len(), config.MaxKeys)
		require.LessOrEqual(t, r.Bytes(), config.MaxBytes)
	}
	require.Equal(t, BelowFloor, refusal(t, r.Step(later, holding(10, sameShard(0), later))).Reason, "an evicted key never runs again")
	big := sameShard(9)
	r.Step(later, holding(11, big, later))
	r.Step(later, holding(12, big, later))
	require.Equal(t, InProgress, refusal(t, r.Step(later, holding(13, big, later))).Reason)
	r.Step(later, Finished{Send: 11, Outcome: Served, Answer: Answer{Body: make([]byte, 9)}})
	require.Equal(t, AnswerDropped, refusal(t, r.Step(later, holding(14, big, later))).Reason)
	for n := range uint64(3) {
		r.Step(later, holding(20+n, sameShard(20+n), later))
	}
	require.Equal(t, Full, refusal(t, r.Step(later, holding(30, sameShard(30), later))).Reason)
	afterRetention := later + config.Retention + time.Minute
	r.Step(afterRetention, Elapsed{Wall: epoch + afterRetention})
	require.Equal(t, 3, r.Len(), "only the runs in progress outlast the retention")
}

// TestHandOverLeavesNothingUnknown passes a shard on twice, once through a
// holder that no send ever reached.
func TestHandOverLeavesNothingUnknown(t *testing.T) {
	first, second, third := NewRecord(DefaultRecordConfig()), NewRecord(DefaultRecordConfig()), NewRecord(DefaultRecordConfig())
	old, ran := keyAt(epoch-time.Second, 3), keyAt(epoch+later, 7)
	first.Step(later, holding(1, ran, later))
	first.Step(later, Finished{Send: 1, Outcome: Served, Answer: Answer{Body: []byte("done")}})
	shard := ran.Shard()
	second.Step(later, Inherited{Since: later, HandOver: first.HandOver(later, shard, epoch+later, 0)})
	third.Step(later, Inherited{Since: later, HandOver: second.HandOver(later, shard, epoch+later, later)})
	repeat := holding(2, ran, later)
	repeat.Since = later
	require.IsType(t, Reply{}, third.Step(later, repeat)[0])
	for n := uint64(0); ; n++ {
		if fresh := keyAt(epoch+later-time.Second, n); fresh.Shard() == shard {
			e := holding(3, fresh, later)
			e.Since = later
			require.Equal(t, []RecordAction{Run{Send: 3}}, third.Step(later, e), "minted under the first holder, and not run")
			break
		}
	}
	silent := NewRecord(DefaultRecordConfig()) // held the right and saw no send
	fourth := NewRecord(DefaultRecordConfig())
	fourth.Step(later, Inherited{Since: later, HandOver: silent.HandOver(later, old.Shard(), epoch+later, 0)})
	e := holding(4, old, later)
	e.Since = later
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
