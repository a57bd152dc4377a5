package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/balance"
	"github.com/bulrushwick/bulrushwick/coord/cost"
	"github.com/bulrushwick/bulrushwick/coord/revision"
	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
)

// fleetCall returns a fleet with workers of one service, and a call of a request to it.
func fleetCall(workers int, learned bool) *call {
	s := DefaultSettings()
	s.DataCentre, s.Region, s.DataCentres, s.LearnedCost = "d0", "r0", map[string]string{"d0": "r0"}, learned
	f := newFleet(s)
	for i := range workers {
		f.changeWorkers(func(r *worker.Registry) []worker.Event {
			return r.Put(worker.Worker{
				ID: fmt.Sprintf("model-worker-%03d", i), Service: "model", DataCentre: "d0", Slots: 64, Born: 1, Models: []worker.ModelState{{Name: "m"}},
			}, revision.Decode(uint64(i+1)))
		})
	}
	engine := &routing.Engine{BatchSize: 64, CacheTokens: 148_000, AdapterSlots: 5}
	return &call{
		gateway: &gateway{fleet: f}, route: &routing.Route{Name: "r"}, service: routing.Service{Name: "model", Engine: engine},
		request: &Request{Model: "m", PromptTokens: 2370, PromptParts: []string{"system"}, PartTokens: []int{568}, OutputHint: 60},
	}
}

// candidates returns the candidates as pickWorker prepares them.
func (c *call) candidates(at time.Duration) (balance.Request, []balance.Candidate) {
	candidates := c.fleet.candidates(at, c.service, c.request, nil, nil)
	request := balance.Request{Tokens: c.request.PromptTokens}
	c.fleet.costs.prepare(at, c, &request, candidates)
	return request, candidates
}

// TestLearnedFiguresReachTheChoice covers the way from observed events to the
// candidates, the restart of a worker, and the setting that turns learning off.
func TestLearnedFiguresReachTheChoice(t *testing.T) {
	for _, learned := range []bool{true, false} {
		c := fleetCall(6, learned)
		at := time.Second
		for range 12 {
			request, candidates := c.candidates(at)
			for i := range candidates {
				c.learning.chosen(c, request, balance.Choice{Candidate: &candidates[i], Direct: true})
				c.learning.sent(at)
				gap := 30 * time.Millisecond
				if i == 2 {
					gap = 60 * time.Millisecond
				}
				s := &eventStream{call: c}
				c.attemptUse = c.fleet.beginAttempt(candidates[i].ID, c.request, c.learning.expectedTokens, c.expectedWork())
				for n := range 10 {
					s.buffered = []byte("id: 1\ndata: x\n\n")
					s.readyBytes, s.countedBytes = len(s.buffered), 0
					s.learnEvents(at + time.Duration(n+4)*gap)
				}
				c.fleet.costs.ended(at+14*gap, c)
				require.Equal(t, learned, c.attemptUse.worker.remainingTokens > 0)
				c.attemptUse.end()
				require.Zero(t, c.attemptUse.worker.remainingTokens)
			}
			at += time.Second
		}
		c.learning.expectedTokens = 0 // a new request
		request, candidates := c.candidates(at)
		if !learned {
			require.Zero(t, candidates[2].StepFactor)
			require.Zero(t, request.OutputTokens)
			continue
		}
		require.InDelta(t, 2, candidates[2].StepFactor, 0.5)
		require.InDelta(t, 2, candidates[2].PromptFactor, 0.5)
		require.InDelta(t, 1, candidates[1].StepFactor, 0.2)
		require.Equal(t, 568, candidates[1].KeptTokens)
		require.InDelta(t, 30, request.OutputTokens, 5, "10 events of 3 tokens, though the hint says 60")
		c.fleet.changeWorkers(func(r *worker.Registry) []worker.Event {
			return r.Put(worker.Worker{ID: candidates[2].ID, Service: "model", DataCentre: "d0", Slots: 64, Born: 2}, revision.Decode(100))
		})
		_, candidates = c.candidates(at)
		require.InDelta(t, 1, candidates[2].StepFactor, 0, "a restarted worker starts from the prior")
	}
}

// TestSpeedsTravelWithHeartbeats covers a worker that only a peer has used.
func TestSpeedsTravelWithHeartbeats(t *testing.T) {
	at := time.Second
	sender, receiver := fleetCall(10, true), fleetCall(10, true)
	_, candidates := sender.candidates(at)
	for range 10 {
		for i := range candidates {
			measured := 20 * time.Millisecond
			if i == 4 {
				measured = 36 * time.Millisecond
			}
			sender.fleet.costs.model.Speeds.ObserveStep(at, "model", candidates[i].ID, measured, 10*time.Millisecond)
		}
		at += time.Second
		sender.candidates(at)
	}
	var update clusterpb.News
	sender.fleet.costs.appendOwn(at, &update)
	require.Empty(t, update.GetUses(), "nothing new was observed for a second")
	sender.fleet.costs.appendOwn(at-time.Second, &update)
	require.Len(t, update.GetUses(), 10)
	receiver.fleet.applyPeerUpdate(at, "sender", &update)
	_, candidates = receiver.candidates(at)
	require.InDelta(t, 1.8, candidates[4].StepFactor, 0.4)
	require.InDelta(t, 1, candidates[0].StepFactor, 0.1)
	var reply clusterpb.News
	reply.Uses = []*clusterpb.WorkerUse{{Worker: candidates[4].ID}}
	receiver.fleet.costs.appendExcept(at, &reply, "sender")
	require.Zero(t, reply.GetUses()[0].GetSpeedPrecision(), "the sender's own estimate does not come back")
	receiver.fleet.costs.appendExcept(at, &reply, "another")
	require.NotZero(t, reply.GetUses()[0].GetSpeedPrecision())
}

// BenchmarkCandidates measures the candidates of one request, without and with learned
// figures of all workers.
func BenchmarkCandidates(b *testing.B) {
	for _, learned := range []bool{false, true} {
		b.Run(fmt.Sprintf("learned=%t", learned), func(b *testing.B) {
			c := fleetCall(140, learned)
			_, candidates := c.candidates(0)
			for i := range candidates {
				id := candidates[i].ID
				c.fleet.costs.model.Speeds.RecordParts(0, "model", id, []cost.Part{{Hash: 1, Tokens: 1}, c.learning.partOr()})
				c.fleet.costs.model.Speeds.ObserveStep(0, "model", id, 20*time.Millisecond, 10*time.Millisecond)
			}
			for b.Loop() {
				_, _ = c.candidates(0)
			}
		})
	}
}

// partOr returns the request's first part, or an empty one without learning.
func (l *learning) partOr() cost.Part {
	if len(l.parts) == 0 {
		return cost.Part{}
	}
	return l.parts[0]
}
