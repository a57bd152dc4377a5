package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// faultCase is one case of the fault matrix: a fault of a worker's owner, its
// successor or the third voter while orders are being sent.
type faultCase struct {
	step, fault string
	times       int
	run         func(t *testing.T, s *sim, owner, successor, third *node)
}

// maxTakeover returns the longest time from the end of an owner to the first
// order of its successor.
func maxTakeover(c Config) time.Duration { return 2*c.promiseTTL() + 2*simTick }

// holderAfter runs the simulation for wait and returns the only holder at its
// end.
func holderAfter(t *testing.T, s *sim, wait time.Duration) string {
	t.Helper()
	require.NoError(t, s.runFor(wait))
	names := s.holders()
	require.Len(t, names, 1)
	return names[0]
}

const noHolders = 0

var faultCases = []faultCase{
	{"load ordered", "kill", 1, func(t *testing.T, s *sim, owner, successor, _ *node) {
		s.kill(owner)
		require.Equal(t, successor.name, holderAfter(t, s, maxTakeover(s.config)))
		s.boot(owner)
		require.Equal(t, owner.name, holderAfter(t, s, s.config.formerVotesTTL()+s.config.SoloTTL+maxTakeover(s.config)), "same name, new incarnation")
	}},
	{"load ordered", "kill", 2, func(t *testing.T, s *sim, owner, successor, third *node) {
		s.kill(owner)
		s.kill(successor)
		require.NoError(t, s.runFor(maxTakeover(s.config)))
		require.Len(t, s.holders(), noHolders, "one voter of three is left")
		s.publish(third.name, "entry-3", "entry-4")
		require.NotEmpty(t, holderAfter(t, s, s.config.ListLag+s.config.formerVotesTTL()+maxTakeover(s.config)))
	}},
	{"load ordered", "successor killed during takeover", 1, func(t *testing.T, s *sim, owner, successor, third *node) {
		s.kill(owner)
		require.NoError(t, s.runFor(s.config.promiseTTL()+simTick))
		s.kill(successor)
		s.boot(owner)
		require.Equal(t, owner.name, holderAfter(t, s, s.config.formerVotesTTL()+s.config.SoloTTL+maxTakeover(s.config)))
		require.False(t, third.down)
	}},
	{"load ordered", "freeze and wake late", 1, func(t *testing.T, s *sim, owner, successor, _ *node) {
		checked, _ := owner.machine.Held(s.clock(owner), simRight)
		s.freeze(owner, simFreeze, false)
		require.Equal(t, successor.name, holderAfter(t, s, maxTakeover(s.config)))
		require.False(t, s.engine.accept(checked.Fence), "right checked before the freeze, order sent after it")
		require.Equal(t, owner.name, holderAfter(t, s, maxTakeover(s.config)), "handed back to the owner")
	}},
	{"load ordered", "freeze and wake late", 2, func(t *testing.T, s *sim, owner, successor, _ *node) {
		s.freeze(owner, simFreeze, true)
		require.NoError(t, s.runFor(maxTakeover(s.config)-simTick))
		s.freeze(successor, simFreeze, true)
		require.Equal(t, owner.name, holderAfter(t, s, 2*maxTakeover(s.config)))
	}},
	{"load ordered", "network partition between owner and successor", 1, func(t *testing.T, s *sim, owner, successor, _ *node) {
		s.setPartition(owner.name, successor.name, true)
		s.setPartition(successor.name, owner.name, true)
		require.Equal(t, owner.name, holderAfter(t, s, 3*maxTakeover(s.config)), "the third voter confirms the owner")
	}},
	{"load ordered", "successor partitioned and removed from the list", 1, func(t *testing.T, s *sim, owner, successor, third *node) {
		s.isolate(successor, true)
		s.publish(owner.name, third.name, "entry-3", "entry-4")
		require.Equal(t, owner.name, holderAfter(t, s, 3*maxTakeover(s.config)))
	}},
	{"load ordered", "owner partitioned, then reconnected: two candidates", 1, func(t *testing.T, s *sim, owner, successor, _ *node) {
		s.isolate(owner, true)
		require.Equal(t, successor.name, holderAfter(t, s, maxTakeover(s.config)))
		s.isolate(owner, false)
		require.Equal(t, owner.name, holderAfter(t, s, maxTakeover(s.config)))
		require.Contains(t, s.acquired, owner.name+" handed=true pins of "+successor.name)
	}},
	{"load ordered", "leaving", 1, func(t *testing.T, s *sim, owner, successor, third *node) {
		s.step(owner, Leave{})
		s.publish(successor.name, third.name, "entry-3", "entry-4")
		require.Equal(t, successor.name, holderAfter(t, s, maxTakeover(s.config)))
		require.Contains(t, s.acquired, successor.name+" handed=true pins of "+owner.name)
	}},
	{"load ordered", "owner and successor restarted", 1, func(t *testing.T, s *sim, owner, successor, third *node) {
		s.kill(owner)
		s.kill(successor)
		s.boot(owner)
		s.boot(successor)
		s.publish(s.names()...)
		require.Equal(t, owner.name, holderAfter(t, s, s.config.formerVotesTTL()+s.config.SoloTTL+maxTakeover(s.config)))
		require.False(t, third.down)
	}},
	{"load ordered", "list not readable", 1, func(t *testing.T, s *sim, owner, _, _ *node) {
		for _, n := range s.nodes {
			n.listUnreadable = true
		}
		require.Equal(t, owner.name, holderAfter(t, s, 10*s.config.SoloTTL))
	}},
}

// TestFaultMatrix injects each fault while the owner sends orders, and checks
// that the endpoint never accepts an order of an earlier holder after one of a
// later holder.
func TestFaultMatrix(t *testing.T) {
	for i, c := range faultCases {
		t.Run(c.step+"/"+c.fault, func(t *testing.T) {
			s := newSim(seeded(uint64(i)), breakage{}, 5)
			require.NoError(t, s.runFor(s.config.formerVotesTTL()+s.config.SoloTTL+s.config.TTL))
			ranked := s.ranked()
			require.Equal(t, []string{ranked[0].name}, s.holders())
			c.run(t, s, ranked[0], ranked[1], ranked[2])
			highest := uint64(0)
			for _, o := range s.orders {
				if o.accepted {
					require.GreaterOrEqual(t, o.fence, highest, "order accepted after one with a higher fencing token")
					highest = o.fence
				}
			}
		})
	}
}
