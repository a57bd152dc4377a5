package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testConfig() Config { return DefaultConfig(requiredGap + 500*time.Millisecond) }

// holders lists who holds each right.
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
	require.Empty(t, w.faults)
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
	require.Empty(t, w.faults)
}

func TestAMinorityHoldsNothing(t *testing.T) {
	w := newWorld(3, 6, testConfig())
	w.run(8 * time.Second)
	for i, n := range w.sorted() {
		if i < 3 {
			n.group = 1
		}
	}
	w.run(6 * time.Second)
	require.Empty(t, holders(w), "half of six is no majority")
	require.Empty(t, w.faults)
}

func TestAllRestartWithoutMemory(t *testing.T) {
	w := newWorld(4, 6, testConfig())
	w.run(8 * time.Second)
	for _, n := range w.sorted() {
		w.start(n)
	}
	w.run(8 * time.Second)
	require.Len(t, holders(w), len(w.rights))
	require.Empty(t, w.faults)
}

func TestLeavingMembersAreNoVoters(t *testing.T) {
	w := newWorld(5, 6, testConfig())
	w.run(8 * time.Second)
	for i, n := range w.sorted() {
		if i < 4 {
			n.machine.Leave(w.now)
			w.send(n)
			w.run(600 * time.Millisecond)
			n.down = true
		}
	}
	w.run(8 * time.Second)
	require.Len(t, holders(w), len(w.rights), "two of six are left")
	require.Empty(t, w.faults)
}

func TestLostMembersAreRemovedAfterLongSilence(t *testing.T) {
	w := newWorld(6, 5, testConfig())
	w.run(8 * time.Second)
	nodes := w.sorted()
	nodes[3].down, nodes[4].down = true, true
	w.run(40 * time.Second)
	nodes[2].down = true // two of the three that are left are a majority now
	w.run(8 * time.Second)
	require.Len(t, holders(w), len(w.rights))
	require.Empty(t, w.faults)
}

// TestAFreshPairDoesNotFormAMajority covers two seeds that restart without
// memory while they are cut off from the rest.
func TestAFreshPairDoesNotFormAMajority(t *testing.T) {
	w := newWorld(7, 6, testConfig())
	w.run(8 * time.Second)
	for i, n := range w.sorted() {
		if i < 2 {
			n.group = 1
			w.start(n)
		}
	}
	w.run(12 * time.Second)
	for _, n := range w.sorted()[:2] {
		require.Empty(t, n.machine.HeldRights(w.now))
	}
	require.Empty(t, w.faults)
}

func dataCentreConfig() Config { return DataCentreConfig(requiredGap + 500*time.Millisecond) }

// TestEachDataCentreOrdersItsOwn covers a fleet with a cluster in each data
// centre: one that is lost stops nothing in the other.
func TestEachDataCentreOrdersItsOwn(t *testing.T) {
	w := newWorld(8, 9, dataCentreConfig())
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
	require.Empty(t, w.faults)
}

// disturb runs a history of random faults.
func disturb(w *world) {
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
			n.group = 1
		case 5:
			for _, other := range w.sorted() {
				other.group = 0
			}
		case 6:
			n.machine.Leave(w.now)
			w.send(n)
		}
		w.run(time.Duration(w.random.Int64N(int64(2500 * time.Millisecond))))
	}
	for _, n := range w.sorted() {
		n.group, n.frozenUntil = 0, 0
		if n.down || n.machine.Self().Left {
			w.start(n)
		}
	}
	w.run(10 * time.Second)
}

// TestRandomHistories checks that no two instances act under a right closer than
// the required gap, and that fencing numbers rise.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(60) {
		w := newWorld(seed, 6, testConfig())
		disturb(w)
		require.Empty(t, w.faults, "seed %d", seed)
		require.Len(t, holders(w), len(w.rights), "seed %d", seed)
	}
}

// TestRandomHistoriesOfDataCentres checks the same for clusters by data centre.
func TestRandomHistoriesOfDataCentres(t *testing.T) {
	for seed := range uint64(30) {
		w := newWorld(seed, 9, dataCentreConfig())
		disturb(w)
		require.Empty(t, w.faults, "seed %d", seed)
		require.Len(t, holders(w), len(w.rights), "seed %d", seed)
	}
}

// TestBrokenTimesAreFound shows that the same check finds machines whose times
// are wrong.
func TestBrokenTimesAreFound(t *testing.T) {
	broken := map[string]func(*Config){
		"no gap between turns":         func(c *Config) { c.TurnGap = 0 },
		"promises shorter than leases": func(c *Config) { c.Margin = -1100 * time.Millisecond; c.TurnGap = requiredGap },
	}
	for name, breaks := range broken {
		t.Run(name, func(t *testing.T) {
			config := testConfig()
			breaks(&config)
			for seed := range uint64(60) {
				w := newWorld(seed, 6, config)
				disturb(w)
				if len(w.faults) > 0 {
					return
				}
			}
			t.Fatal("no seed found the fault")
		})
	}
}
