package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// faultCase is one cell of the fault matrix: what happens to the owner of a
// worker, its successor and the third voter while orders go out.
type faultCase struct {
	step, fault string
	times       int
	run         func(t *testing.T, s *sim, owner, successor, third *node)
}

// takeover is the longest time from an owner's end to its successor's first
// order.
func takeover(c Config) time.Duration { return 2*c.promise() + 2*simTick }

// holder waits and returns who holds the right then.
func holder(t *testing.T, s *sim, wait time.Duration) string {
	t.Helper()
	require.NoError(t, s.pass(wait))
	names := s.holders()
	require.Len(t, names, 1)
	return names[0]
}

const nobody = 0

var faultCases = []faultCase{
	{"load ordered", "kill", 1, func(t *testing.T, s *sim, owner, successor, _ *node) {
		s.kill(owner)
		require.Equal(t, successor.name, holder(t, s, takeover(s.config)))
		s.boot(owner)
		require.Equal(t, owner.name, holder(t, s, s.config.settle()+s.config.AloneTerm+takeover(s.config)), "same name, new incarnation")
	}},
	{"load ordered", "kill", 2, func(t *testing.T, s *sim, owner, successor, third *node) {
		s.kill(owner)
		s.kill(successor)
		require.NoError(t, s.pass(takeover(s.config)))
		require.Len(t, s.holders(), nobody, "one voter of three is left")
		s.publish(third.name, "entry-3", "entry-4")
		require.NotEmpty(t, holder(t, s, s.config.ListLag+s.config.settle()+takeover(s.config)))
	}},
	{"load ordered", "kill of the claimant half-way", 1, func(t *testing.T, s *sim, owner, successor, third *node) {
		s.kill(owner)
		require.NoError(t, s.pass(s.config.promise()+simTick))
		s.kill(successor)
		s.boot(owner)
		require.Equal(t, owner.name, holder(t, s, s.config.settle()+s.config.AloneTerm+takeover(s.config)))
		require.False(t, third.down)
	}},
	{"load ordered", "freeze and wake late", 1, func(t *testing.T, s *sim, owner, successor, _ *node) {
		checked, _ := owner.machine.Held(s.clock(owner), simRight)
		s.freeze(owner, simFreeze, false)
		require.Equal(t, successor.name, holder(t, s, takeover(s.config)))
		require.False(t, s.engine.take(checked.Fence), "checked before the freeze, sent after")
		require.Equal(t, owner.name, holder(t, s, takeover(s.config)), "handed back")
	}},
	{"load ordered", "freeze and wake late", 2, func(t *testing.T, s *sim, owner, successor, _ *node) {
		s.freeze(owner, simFreeze, true)
		require.NoError(t, s.pass(takeover(s.config)-simTick))
		s.freeze(successor, simFreeze, true)
		require.Equal(t, owner.name, holder(t, s, 2*takeover(s.config)))
	}},
	{"load ordered", "cut of owner and successor", 1, func(t *testing.T, s *sim, owner, successor, _ *node) {
		s.setCut(owner.name, successor.name, true)
		s.setCut(successor.name, owner.name, true)
		require.Equal(t, owner.name, holder(t, s, 3*takeover(s.config)), "the third voter confirms the owner")
	}},
	{"load ordered", "successor cut off and called gone", 1, func(t *testing.T, s *sim, owner, successor, third *node) {
		s.isolate(successor, true)
		s.publish(owner.name, third.name, "entry-3", "entry-4")
		require.Equal(t, owner.name, holder(t, s, 3*takeover(s.config)))
	}},
	{"load ordered", "owner cut off, and back: two claimants", 1, func(t *testing.T, s *sim, owner, successor, _ *node) {
		s.isolate(owner, true)
		require.Equal(t, successor.name, holder(t, s, takeover(s.config)))
		s.isolate(owner, false)
		require.Equal(t, owner.name, holder(t, s, takeover(s.config)))
		require.Contains(t, s.acquired, owner.name+" handed=true pins of "+successor.name)
	}},
	{"load ordered", "leaving", 1, func(t *testing.T, s *sim, owner, successor, third *node) {
		s.step(owner, Leave{})
		s.publish(successor.name, third.name, "entry-3", "entry-4")
		require.Equal(t, successor.name, holder(t, s, takeover(s.config)))
		require.Contains(t, s.acquired, successor.name+" handed=true pins of "+owner.name)
	}},
	{"load ordered", "both replaced", 1, func(t *testing.T, s *sim, owner, successor, third *node) {
		s.kill(owner)
		s.kill(successor)
		s.boot(owner)
		s.boot(successor)
		s.publish(s.names()...)
		require.Equal(t, owner.name, holder(t, s, s.config.settle()+s.config.AloneTerm+takeover(s.config)))
		require.False(t, third.down)
	}},
	{"load ordered", "list stale", 1, func(t *testing.T, s *sim, owner, _, _ *node) {
		for _, n := range s.nodes {
			n.blind = true
		}
		require.Equal(t, owner.name, holder(t, s, 10*s.config.AloneTerm))
	}},
}

// TestFaultMatrix causes each fault while the owner orders.
func TestFaultMatrix(t *testing.T) {
	for i, c := range faultCases {
		t.Run(c.step+"/"+c.fault, func(t *testing.T) {
			s := newSim(seeded(uint64(i)), breakage{}, 5)
			require.NoError(t, s.pass(s.config.settle()+s.config.AloneTerm+s.config.Term))
			ranked := s.ranked()
			require.Equal(t, []string{ranked[0].name}, s.holders())
			c.run(t, s, ranked[0], ranked[1], ranked[2])
			highest := uint64(0)
			for _, o := range s.orders {
				if o.taken {
					require.GreaterOrEqual(t, o.fence, highest, "order after a newer one")
					highest = o.fence
				}
			}
		})
	}
}
