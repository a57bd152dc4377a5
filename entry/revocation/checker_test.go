package revocation_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	guard "github.com/bulrushwick/bulrushwick/coord/revocation"
	"github.com/bulrushwick/bulrushwick/entry/revocation"
)

// fakePeers has version 5 and answers after delay on a clock of its own.
type fakePeers struct {
	at, delay       time.Duration
	answer          revocation.Answer
	err             error
	readers, others []string
	asked           []string
	newer           uint64
}

func (p *fakePeers) ConfirmationSources() (readers, others []string) { return p.readers, p.others }
func (p *fakePeers) AskConfirmation(_ context.Context, peer string) (revocation.Answer, error) {
	p.asked = append(p.asked, peer)
	p.at += p.delay
	return p.answer, p.err
}
func (*fakePeers) ConfigVersion() uint64                        { return 5 }
func (p *fakePeers) HandlePeerVersion(_ string, version uint64) { p.newer = version }

func newChecker(p *fakePeers) *revocation.Checker {
	p.readers = []string{"r"}
	return revocation.New(guard.Config{Strict: true, MaxAge: 5 * time.Second}, func() time.Duration { return p.at }, p)
}

func runNow(ask func()) { ask() }

// TestAConfirmationIsAsOldAsItsSource guards against an age that leaves out the way of the
// answer, and against an answer that confirms a version which this instance does not have.
func TestAConfirmationIsAsOldAsItsSource(t *testing.T) {
	p := &fakePeers{at: 10 * time.Second, delay: 300 * time.Millisecond, answer: revocation.Answer{Version: 5, Confirmed: true, Age: time.Second}}
	c := newChecker(p)
	p.at += time.Second
	c.Refresh(runNow)
	age, confirmed := c.Age()
	require.True(t, confirmed)
	require.Equal(t, 1300*time.Millisecond, age)
	for name, answer := range map[string]revocation.Answer{
		"newer": {Version: 6, Confirmed: true}, "not confirmed": {Version: 5}, "odd age": {Version: 5, Confirmed: true, Age: -time.Hour},
	} {
		p := &fakePeers{at: 10 * time.Second, answer: answer}
		c := newChecker(p)
		p.at += time.Second
		c.Refresh(runNow)
		require.Len(t, p.asked, 1)
		require.False(t, c.Current(), name)
		require.Equal(t, name == "newer", p.newer == 6)
	}
	p = &fakePeers{answer: revocation.Answer{Version: 4, Confirmed: true}, at: time.Hour}
	c = newChecker(p)
	p.at += time.Second
	c.Refresh(runNow)
	require.True(t, c.Current(), "whoever has an older one saw no newer one than this instance's")
}

// TestEveryPeerIsAskedInTurn guards against an instance that asks the same silent peers again
// and again while others could confirm its configuration.
func TestEveryPeerIsAskedInTurn(t *testing.T) {
	p := &fakePeers{err: errors.New("no response")}
	c := newChecker(p)
	p.readers, p.others = []string{"r1", "r2", "r3"}, []string{"o1", "o2", "o3", "o4"}
	count := map[string]int{}
	for range 64 {
		p.at += time.Second
		c.Refresh(runNow)
	}
	for _, peer := range p.asked {
		count[peer]++
	}
	require.Len(t, count, 7)
	require.Greater(t, count["r1"], count["o1"], "readers of the store know first")
	var pending []func()
	for range 10 {
		p.at += time.Second
		c.Refresh(func(ask func()) { pending = append(pending, ask) })
	}
	require.Len(t, pending, 3, "questions without an answer are bounded")
}

// TestRequestsDoNotWaitForEachOther guards against a lock that every request takes though
// the result can't change any more. The clock stops while the lock is held.
func TestRequestsDoNotWaitForEachOther(t *testing.T) {
	block := make(chan struct{})
	var blocks atomic.Bool
	held := make(chan struct{})
	c := revocation.New(guard.Config{MaxAge: time.Second}, func() time.Duration {
		if blocks.CompareAndSwap(true, false) {
			close(held)
			<-block
		}
		return 0
	}, &fakePeers{})
	c.StoreConfirmed(0)
	require.True(t, c.Started(func() time.Duration { return 0 }))
	blocks.Store(true)
	go c.StoreConfirmed(0)
	<-held
	defer close(block)
	done := make(chan bool)
	go func() { done <- c.Current() && c.Started(func() time.Duration { return time.Hour }) }()
	select {
	case got := <-done:
		require.True(t, got)
	case <-time.After(5 * time.Second):
		require.Fail(t, "a request waits")
	}
}
