package bytebudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func begin(b *Budget, now time.Duration, held int64, received int) *Account {
	a := &Account{}
	b.Begin(a, now)
	b.Reserve(a, held)
	b.Receive(a, received, now)
	return a
}

// TestEvictsTheLeastProgress guards against closing a caller that makes progress while
// another one stalls, or sends single bytes.
func TestEvictsTheLeastProgress(t *testing.T) {
	b := New(Config{Limit: 300, Step: 50, StallTime: time.Second})
	stalled := begin(b, 0, 100, 99)
	trickling := begin(b, 100*time.Millisecond, 100, 60)
	busy := begin(b, 0, 100, 50)
	for at := 200 * time.Millisecond; at < 3*time.Second; at += 100 * time.Millisecond {
		b.Receive(busy, 50, at)
		b.Receive(trickling, 1, at)
	}
	asks := begin(b, 3*time.Second, 0, 0)
	require.False(t, b.Reserve(asks, 100))
	require.Same(t, stalled, b.Evict(asks, 100, true, 3*time.Second))
	require.Nil(t, b.Evict(asks, 100, true, 3*time.Second), "enough is being released")
	b.End(stalled)
	require.True(t, b.Reserve(asks, 100))
	require.Same(t, trickling, b.Evict(begin(b, 3*time.Second, 0, 0), 100, true, 3*time.Second))
	require.Nil(t, b.Evict(begin(b, 3*time.Second, 0, 0), 200, true, 3*time.Second), "the rest makes progress")
}

// TestPassedOnIsNotEvicted guards against closing a request that a worker may be running.
func TestPassedOnIsNotEvicted(t *testing.T) {
	b := New(Config{Limit: 100, Step: 50, StallTime: time.Second})
	passed := begin(b, 0, 100, 100)
	require.True(t, b.Read(passed))
	require.Nil(t, b.Evict(begin(b, 0, 0, 0), 50, false, time.Hour))
	b.End(passed)
	require.Zero(t, b.Held())
}

// TestEvictedIsNotPassedOn guards against passing on a request whose connection is closed.
func TestEvictedIsNotPassedOn(t *testing.T) {
	b := New(Config{Limit: 100, Step: 50, StallTime: time.Second})
	a := begin(b, 0, 100, 99)
	require.Same(t, a, b.Evict(begin(b, 0, 0, 0), 50, false, 0))
	require.False(t, b.Reserve(a, 1))
	require.False(t, b.Read(a))
}

// TestBudgetIsNeverExceeded checks random callers: what is held stays within the limit,
// is returned in the end, and while bodies can be given up somebody gets the bytes.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		b := New(Config{Limit: limit, SmallShare: 0.1, Small: 20, Step: 10, StallTime: time.Second})
		var accounts []*Account
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			if len(accounts) < 20 {
				accounts = append(accounts, begin(b, now, 0, 0))
			}
			a := accounts[rapid.IntRange(0, len(accounts)-1).Draw(t, "account")]
			n := int64(rapid.IntRange(1, 300).Draw(t, "bytes"))
			for !b.Reserve(a, n) {
				victim := b.Evict(a, n, false, now)
				if victim == nil || victim == a {
					break
				}
				b.End(victim)
			}
			b.Receive(a, int(n), now)
			require.LessOrEqual(t, b.Held(), int64(limit))
			if a.evicted {
				b.End(a)
				for i := range accounts {
					if accounts[i] == a {
						accounts[i] = begin(b, now, 0, 0)
					}
				}
			}
		}
		for _, a := range accounts {
			b.End(a)
		}
		require.Zero(t, b.Held())
		require.Zero(t, b.leaving)
	})
}

// TestOrdinaryCallersAreServed is a load of stalled bodies with ordinary callers between
// them, each of which sends without pause: all of these get their bytes.
func TestOrdinaryCallersAreServed(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	b := New(DefaultConfig(20 << 20))
	served, asked := 0, 0
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		begin(b, now, 1<<20, 1<<20-1) // stays, if it gets its bytes at all
		caller := begin(b, now, 0, 0)
		size := int64(1 + random.IntN(2<<20))
		asked++
		for !b.Reserve(caller, size) {
			victim := b.Evict(caller, size, false, now)
			if victim == nil || victim == caller {
				break
			}
			b.End(victim)
		}
		if caller.held == size {
			served++
		}
		b.End(caller)
	}
	require.Equal(t, asked, served)
}
