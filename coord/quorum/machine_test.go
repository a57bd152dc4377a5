package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testConfig() Config { return DefaultConfig(requiredGap + 500*time.Millisecond) }

// holders returns the address of the node that may send orders under each right.
func holders(w *world) map[string]string {
	held := make(map[string]string)
	for _, n := range w.sorted() {
		if n.down || w.now < n.frozenUntil {
			continue
		}
		for _, right := range w.rights {
			if _, ok := n.machine.Held(w.now, right); ok {
				held[right] = n.address
			}
		}
	}
	return held
}

func TestEveryRightIsHeldAfterAStart(t *testing.T) {
	w := newWorld(1, 6, testConfig())
	w.run(8 * time.Second)
	require.Len(t, holders(w), len(w.rights))
	require.Empty(t, w.violations)
}

func TestALostHolderIsReplaced(t *testing.T) {
	w := newWorld(2, 6, testConfig())
	w.run(8 * time.Second)
	lost := holders(w)["a/0"]
	w.nodes[lost].down = true
	w.run(7 * time.Second)
	held := holders(w)
	require.Len(t, held, len(w.rights))
	require.NotEqual(t, lost, held["a/0"])
	require.Empty(t, w.violations)
}

func TestAMinorityHoldsNothing(t *testing.T) {
	w := newWorld(3, 6, testConfig())
	w.run(8 * time.Second)
	for i, n := range w.sorted() {
		if i < 3 {
			n.partition = 1
		}
	}
	w.run(6 * time.Second)
	require.Empty(t, holders(w), "half of six members is not a majority")
	require.Empty(t, w.violations)
}

func TestAllRestartWithoutMemory(t *testing.T) {
	w := newWorld(4, 6, testConfig())
	w.run(8 * time.Second)
	for _, n := range w.sorted() {
		w.start(n)
	}
	w.run(8 * time.Second)
	require.Len(t, holders(w), len(w.rights))
	require.Empty(t, w.violations)
}

func TestLeavingMembersAreNoVoters(t *testing.T) {
	w := newWorld(5, 6, testConfig())
	w.run(8 * time.Second)
	for i, n := range w.sorted() {
		if i < 4 {
			n.machine.Leave(w.now)
			w.sendHeartbeat(n)
			w.run(600 * time.Millisecond)
			n.down = true
		}
	}
	w.run(8 * time.Second)
	require.Len(t, holders(w), len(w.rights), "two of six members remain")
	require.Empty(t, w.violations)
}

func TestLostMembersAreRemovedAfterLongSilence(t *testing.T) {
	w := newWorld(6, 5, testConfig())
	w.run(8 * time.Second)
	nodes := w.sorted()
	nodes[3].down, nodes[4].down = true, true
	w.run(40 * time.Second)
	nodes[2].down = true // two of the remaining three members are now a majority
	w.run(8 * time.Second)
	require.Len(t, holders(w), len(w.rights))
	require.Empty(t, w.violations)
}

// TestAFreshPairDoesNotFormAMajority covers two seeds that restart without state
// while they are partitioned from the rest. They must not count themselves as a
// cluster of two.
func TestAFreshPairDoesNotFormAMajority(t *testing.T) {
	w := newWorld(7, 6, testConfig())
	w.run(8 * time.Second)
	for i, n := range w.sorted() {
		if i < 2 {
			n.partition = 1
			w.start(n)
		}
	}
	w.run(12 * time.Second)
	for _, n := range w.sorted()[:2] {
		require.Empty(t, n.machine.HeldRights(w.now))
	}
	require.Empty(t, w.violations)
}

// TestSeedsThatRestartBehindAPartitionFoundNoCluster covers seeds that restart without
// state on the smaller side of a partition. They hear every seed, but must not order
// workers beside the majority on the other side.
func TestSeedsThatRestartBehindAPartitionFoundNoCluster(t *testing.T) {
	w := newWorld(12, 9, testConfig())
	w.run(8 * time.Second)
	seeds := w.sorted()[:3]
	for _, n := range seeds {
		n.partition = 1
		w.restart(n, 500*time.Millisecond)
	}
	w.run(partitionLasts)
	for _, n := range seeds {
		require.Empty(t, n.machine.HeldRights(w.now))
		n.partition = 0
	}
	w.run(8 * time.Second)
	require.Empty(t, w.violations)
	require.Len(t, holders(w), len(w.rights))
}

// TestAMajorityThatLeftIsNoMajorityOnReturn covers a rolling restart of four of six
// members, while the other two, which remain alone, are cut off from these four.
func TestAMajorityThatLeftIsNoMajorityOnReturn(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, 6, testConfig())
		w.run(8 * time.Second)
		nodes := w.sorted()
		for _, n := range nodes[:4] {
			n.machine.Leave(w.now)
			w.sendHeartbeat(n)
			w.after(stopTakes, func() { w.restart(n, restartDelay) })
			w.run(time.Second)
		}
		for _, n := range nodes[4:] {
			n.partition = 1
		}
		w.run(partitionLasts)
		for _, n := range nodes {
			n.partition = 0
		}
		w.run(10 * time.Second)
		require.Empty(t, w.violations, "seed %d", seed)
		require.Len(t, holders(w), len(w.rights), "seed %d", seed)
	}
}

func regionConfig() Config { return RegionConfig(requiredGap + 500*time.Millisecond) }

// TestRegionsHoldRightsIndependently covers a separate cluster in each region: the
// loss of one region must not affect the rights of the other.
func TestRegionsHoldRightsIndependently(t *testing.T) {
	w := newWorld(8, 9, regionConfig())
	w.run(10 * time.Second)
	held := holders(w)
	require.Len(t, held, len(w.rights))
	for right, holder := range held {
		require.Equal(t, right[:1], w.nodes[holder].machine.Self().DataCentre)
		require.Equal(t, map[string]int{"a": 4, "b": 5}[right[:1]], w.nodes[holder].machine.Voters())
	}
	for _, n := range w.sorted() {
		n.down = n.machine.Self().DataCentre == "a"
	}
	w.run(6 * time.Second)
	require.Len(t, holders(w), 2)
	require.Empty(t, w.violations)
}

// runRandomFaults injects 25 random faults, ends them and lets the cluster recover.
func runRandomFaults(w *world) {
	w.run(8 * time.Second)
	for range 25 {
		n := w.sorted()[w.random.IntN(len(w.nodes))]
		switch w.random.IntN(7) {
		case 0:
			n.down = true
		case 1, 2:
			w.start(n)
		case 3:
			n.frozenUntil = w.now + time.Duration(w.random.Int64N(int64(4*time.Second)))
		case 4:
			n.partition = 1
		case 5:
			for _, other := range w.sorted() {
				other.partition = 0
			}
		case 6:
			n.machine.Leave(w.now)
			w.sendHeartbeat(n)
		}
		w.run(time.Duration(w.random.Int64N(int64(2500 * time.Millisecond))))
	}
	for _, n := range w.sorted() {
		n.partition, n.frozenUntil = 0, 0
		if n.down || n.machine.Self().Left {
			w.start(n)
		}
	}
	w.run(10 * time.Second)
}

// TestRandomHistories checks under random faults that the orders of two holders of
// a right are at least the required gap apart, that fencing tokens increase, and
// that every right is held again afterwards.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(60) {
		w := newWorld(seed, 6, testConfig())
		runRandomFaults(w)
		require.Empty(t, w.violations, "seed %d", seed)
		require.Len(t, holders(w), len(w.rights), "seed %d", seed)
	}
}

// TestRandomHistoriesOfRegions checks the same for a cluster per region.
func TestRandomHistoriesOfRegions(t *testing.T) {
	for seed := range uint64(30) {
		w := newWorld(seed, 9, regionConfig())
		runRandomFaults(w)
		require.Empty(t, w.violations, "seed %d", seed)
		require.Len(t, holders(w), len(w.rights), "seed %d", seed)
	}
}

// TestRandomHistoriesOfAFewVoters checks the same for a cluster in which most
// members are followers, which replace voters that leave.
func TestRandomHistoriesOfAFewVoters(t *testing.T) {
	config := testConfig()
	config.MaxVoters = 5
	for seed := range uint64(60) {
		w := newWorld(seed, 12, config)
		runRandomFaults(w)
		require.Empty(t, w.violations, "seed %d", seed)
		require.Len(t, holders(w), len(w.rights), "seed %d", seed)
	}
}

// TestFollowersKnowTheHoldersAndHoldNothing covers the members that are not voters.
func TestFollowersKnowTheHoldersAndHoldNothing(t *testing.T) {
	w := newWorld(9, 24, testConfig())
	w.run(10 * time.Second)
	held := holders(w)
	require.Len(t, held, len(w.rights))
	for _, n := range w.sorted() {
		require.Equal(t, 9, n.machine.Voters())
		require.Equal(t, 24, n.machine.Size())
		for right, holder := range held {
			require.Equal(t, holder, n.machine.Holder(w.now, right), "as seen by %s", n.address)
		}
		if !n.machine.Voting() {
			require.Empty(t, n.machine.HeldRights(w.now))
			_, targets := n.machine.NextHeartbeat(w.now)
			require.LessOrEqual(t, len(targets), 9+len(w.seeds))
		}
	}
}

// TestAVoterSetTravelsWithoutTheMemberList guards against a change of the voters that makes
// every member of a large cluster send its member list to all voters.
func TestAVoterSetTravelsWithoutTheMemberList(t *testing.T) {
	w := newWorld(14, 24, testConfig())
	w.run(12 * time.Second)
	m := w.sorted()[0].machine
	set := m.voterSet.next()
	set.Version++
	m.adoptVoterSet(w.now, set)
	heartbeat, _ := m.NextHeartbeat(w.now)
	require.Equal(t, set, heartbeat.VoterSet)
	require.Empty(t, heartbeat.Members)
}

// TestAStartingClusterHasHubs covers the time before a cluster is founded: a few members
// receive the heartbeats of all, and send theirs at the full rate.
func TestAStartingClusterHasHubs(t *testing.T) {
	w := newWorld(13, 200, testConfig())
	w.run(3 * time.Second)
	hubs := 0
	for _, n := range w.sorted() {
		require.Zero(t, n.machine.Voters())
		require.NotEmpty(t, n.machine.LiveHubs(w.now), "as seen by %s", n.address)
		if n.machine.IsHub() {
			hubs++
			require.Equal(t, testConfig().HeartbeatEvery, n.machine.Interval())
		}
	}
	require.Equal(t, testConfig().MaxVoters, hubs)
}

// TestRestartsAndJoinsChangeNoVoter checks that restarted members keep their
// seniority, and that a wave of new members replaces no voter.
func TestRestartsAndJoinsChangeNoVoter(t *testing.T) {
	w := newWorld(10, 12, testConfig())
	w.run(10 * time.Second)
	before := w.sorted()[0].machine.members.voters()
	for _, n := range w.sorted()[:8] {
		w.start(n)
	}
	w.run(10 * time.Second)
	w.add(12)
	w.run(5 * time.Second)
	for _, n := range w.sorted() {
		require.Equal(t, before, n.machine.members.voters(), "as seen by %s", n.address)
	}
	require.Empty(t, w.violations)
}

// TestVotersComeFromEveryDataCentreTheStrongFirst covers members with the same join
// time.
func TestVotersComeFromEveryDataCentreTheStrongFirst(t *testing.T) {
	list := newMemberList(Member{Address: "a1", DataCentre: "a", Since: 1, Weak: true}, Config{MaxVoters: 6})
	for _, m := range []Member{
		{Address: "a2", DataCentre: "a"}, {Address: "a3", DataCentre: "a"}, {Address: "a4", DataCentre: "a"},
		{Address: "b1", DataCentre: "b", Weak: true}, {Address: "b2", DataCentre: "b"}, {Address: "b3", DataCentre: "b"},
		{Address: "c1", DataCentre: "c"}, {Address: "c2", DataCentre: "c", Weak: true},
	} {
		m.Since = 1
		list.merge(0, m)
	}
	list.merge(0, Member{Address: "c0", DataCentre: "c", Since: 2})
	counts, chosen := make(map[byte]int), make(map[string]bool)
	for _, c := range list.candidates() {
		counts[c.Address[0]]++
		chosen[c.Address] = true
	}
	require.Equal(t, map[byte]int{'a': 2, 'b': 2, 'c': 2}, counts)
	require.False(t, chosen["a1"])
	require.False(t, chosen["b1"])
	require.True(t, chosen["c2"], "weak, but more senior than the strong member that joined later")
}

// TestFollowersSendFewerHeartbeatsInALargeCluster bounds the rate of heartbeats that
// a voter receives.
func TestFollowersSendFewerHeartbeatsInALargeCluster(t *testing.T) {
	w := newWorld(11, 200, testConfig())
	w.run(4 * time.Second)
	perSecond := 0.0
	for _, n := range w.sorted() {
		if !n.machine.Voting() {
			perSecond += 1 / n.machine.Interval().Seconds()
		}
	}
	require.LessOrEqual(t, perSecond, testConfig().FollowersPerSecond)
}

// TestWrongTimingIsDetected checks that the random histories detect machines with
// wrong timing.
func TestWrongTimingIsDetected(t *testing.T) {
	mutations := map[string]func(*Config){
		"no gap between turns":         func(c *Config) { c.TurnGap = 0 },
		"promises shorter than leases": func(c *Config) { c.Margin = -1100 * time.Millisecond; c.TurnGap = requiredGap },
	}
	for name, mutate := range mutations {
		t.Run(name, func(t *testing.T) {
			config := testConfig()
			mutate(&config)
			for seed := range uint64(60) {
				w := newWorld(seed, 6, config)
				runRandomFaults(w)
				if len(w.violations) > 0 {
					return
				}
			}
			t.Fatal("no seed detected the wrong timing")
		})
	}
}
