package quorum

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// matrixRight is the right whose holder the faults are injected into.
const matrixRight = "a/0"

// faultMoment is a point in the life of a right at which a fault is injected.
type faultMoment struct {
	name string
	// advance runs a newly started world until that point.
	advance func(w *world)
}

var moments = []faultMoment{
	{"starting", func(w *world) { w.run(500 * time.Millisecond) }},
	{"right requested", func(w *world) { w.run(w.config.promiseTTL() + 100*time.Millisecond) }},
	{"right held", func(w *world) { w.run(9 * time.Second) }},
	{"holder lost", func(w *world) {
		w.run(9 * time.Second)
		w.faultTarget().down = true
		w.run(w.config.LeaseTTL)
	}},
	{"right taken over", func(w *world) {
		w.run(9 * time.Second)
		w.faultTarget().down = true
		w.awaitHolder()
	}},
}

// awaitHolder runs until a node may send orders under the right, for at most 10 s.
func (w *world) awaitHolder() {
	for range 100 {
		if holders(w)[matrixRight] != "" {
			return
		}
		w.run(100 * time.Millisecond)
	}
}

// faultTarget returns the holder of the right, or the first live node if there is
// none.
func (w *world) faultTarget() *node {
	if n := w.nodes[holders(w)[matrixRight]]; n != nil {
		return n
	}
	for _, n := range w.sorted() {
		if !n.down {
			return n
		}
	}
	return w.sorted()[0]
}

// faultKind is a kind of fault.
type faultKind struct {
	name   string
	inject func(w *world, n *node)
}

const faultDuration = 5 * time.Second

var faultKinds = []faultKind{
	{"kill", func(_ *world, n *node) { n.down = true }},
	{"restart without state", func(w *world, n *node) { w.start(n) }},
	{"freeze shorter than a lease", func(w *world, n *node) { n.frozenUntil = w.now + w.config.LeaseTTL/2 }},
	{"freeze longer than a takeover", func(w *world, n *node) { n.frozenUntil = w.now + 7*time.Second }},
	{"partitioned", func(_ *world, n *node) { n.partition = 1 }},
	{"all outgoing messages lost", func(_ *world, n *node) { n.dropsOutgoing = true }},
	{"all incoming messages lost", func(_ *world, n *node) { n.dropsIncoming = true }},
	{"partitioned into halves", func(w *world, _ *node) {
		for i, other := range w.sorted() {
			other.partition = i % 2
		}
	}},
	{"a third killed", func(w *world, _ *node) {
		for i, other := range w.sorted() {
			other.down = other.down || i%3 == 2
		}
	}},
	{"all restart without state", func(w *world, _ *node) {
		for _, other := range w.sorted() {
			w.start(other)
		}
	}},
	{"all freeze", func(w *world, _ *node) {
		for _, other := range w.sorted() {
			other.frozenUntil = w.now + 3*time.Second
		}
	}},
	{"leave", func(w *world, n *node) {
		n.machine.Leave(w.now)
		w.sendHeartbeat(n)
	}},
	{"as many members join", func(w *world, _ *node) { w.add(len(w.nodes)) }},
	{"a third of messages lost", func(w *world, _ *node) { w.lossRate = 0.33 }},
}

// endFaults ends all faults and restarts the nodes that are down or have left.
func (w *world) endFaults() {
	w.lossRate = baseLossRate
	for _, n := range w.sorted() {
		n.partition, n.dropsOutgoing, n.dropsIncoming = 0, false, false
		if n.down || n.machine.Self().Left {
			w.start(n)
		}
	}
}

// faultCell is a cell of the matrix: a fault at a moment, once or twice in a row.
type faultCell struct {
	moment faultMoment
	kind   faultKind
	times  int
}

// clusterConfigs returns the clusters that each cell is run with, by size: one in
// which all members vote, and one in which only a few do.
func clusterConfigs() map[int]Config {
	few := testConfig()
	few.MaxVoters = 5
	return map[int]Config{6: testConfig(), 12: few}
}

// run simulates a cell and returns the first violation, or "".
func (c faultCell) run(members int, config Config, mutate func(*Machine)) string {
	w := newWorld(uint64(c.times), members, config)
	if w.mutate = mutate; mutate != nil {
		for _, n := range w.sorted() {
			w.start(n)
		}
	}
	c.moment.advance(w)
	for range c.times {
		c.kind.inject(w, w.faultTarget())
		w.run(faultDuration)
		w.endFaults()
		w.run(time.Second)
	}
	w.run(14 * time.Second)
	switch {
	case len(w.violations) > 0:
		return w.violations[0]
	case len(holders(w)) != len(w.rights):
		return fmt.Sprintf("rights held at the end: %v", holders(w))
	case !porcupine.CheckOperations(singleHolderModel, w.sentOrders):
		return "orders of two holders at a time"
	}
	return ""
}

// machineMutations disable one mechanism each.
var machineMutations = map[string]func(*Machine){
	"no gap between turns":         func(m *Machine) { m.config.TurnGap = 0 },
	"promises shorter than leases": func(m *Machine) { m.config.Margin = -m.config.LeaseTTL * 9 / 10 },
	"votes right after a start":    func(m *Machine) { m.started -= time.Minute; m.config.Margin = -m.config.LeaseTTL },
	"counts votes for ten terms":   func(m *Machine) { m.config.LeaseTTL *= 10; m.config.Margin -= m.config.LeaseTTL * 9 / 10 },
}

func faultCells() []faultCell {
	var cells []faultCell
	for _, kind := range faultKinds {
		for _, times := range []int{1, 2} {
			for _, at := range moments {
				cells = append(cells, faultCell{moment: at, kind: kind, times: times})
			}
		}
	}
	return cells
}

var update = flag.Bool("update", false, "write docs/FAULTS-RIGHTS.md")

// TestFaultsPage runs the matrix of faults of a right's holder, or of all nodes, at
// every moment, and compares the results with the page.
func TestFaultsPage(t *testing.T) {
	const page = "../../docs/FAULTS-RIGHTS.md"
	want := faultsPage(t)
	if *update {
		require.NoError(t, os.WriteFile(page, want, 0o600))
	}
	got, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), "write it with: go test ./coord/quorum -run FaultsPage -update")
}

// runCells runs every cell with the real machine and with each mutation. It returns
// the entry of each cell and the number of cells that detect each mutation.
func runCells(t *testing.T, cells []faultCell) (entries []string, found map[string]int) {
	entries, found = make([]string, len(cells)), make(map[string]int)
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i, c := range cells {
		group.Go(func() error {
			entry := "holds"
			for members, config := range clusterConfigs() {
				problem := c.run(members, config, nil)
				assert.Empty(t, problem, "%s, %s, %d times, %d members", c.moment.name, c.kind.name, c.times, members)
				if problem != "" {
					entry = "**no**"
				}
			}
			for name, mutate := range machineMutations {
				if c.run(6, testConfig(), mutate) == "" {
					continue
				}
				mu.Lock()
				found[name]++
				mu.Unlock()
				if entry == "holds" {
					entry = "yes"
				}
			}
			entries[i] = entry
			return nil
		})
	}
	_ = group.Wait() // no cell returns an error
	return entries, found
}

func faultsPage(t *testing.T) []byte {
	cells := faultCells()
	entries, found := runCells(t, cells)
	var page bytes.Buffer
	page.WriteString(pageHead)
	for _, at := range moments {
		fmt.Fprintf(&page, " %s |", at.name)
	}
	fmt.Fprintf(&page, "\n| --- | --- |%s\n", bytes.Repeat([]byte(" --- |"), len(moments)))
	for i, c := range cells {
		if i%len(moments) == 0 {
			fmt.Fprintf(&page, "| %s | %s |", c.kind.name, map[int]string{1: "once", 2: "twice"}[c.times])
		}
		fmt.Fprintf(&page, " %s |", entries[i])
		if i%len(moments) == len(moments)-1 {
			page.WriteString("\n")
		}
	}
	page.WriteString("\nCells in which each broken variant fails:\n\n| variant | cells |\n| --- | --- |\n")
	for _, name := range slices.Sorted(maps.Keys(machineMutations)) {
		fmt.Fprintf(&page, "| %s | %d |\n", name, found[name])
	}
	for name := range machineMutations {
		require.Positive(t, found[name], "no cell detects the variant with %s", name)
	}
	return page.Bytes()
}

const pageHead = "# Faults of rights\n\n" +
	"Written by `go test ./coord/quorum -run FaultsPage -update`; CI compares it.\n\n" +
	"Each cell injects a fault into the instance that holds a right, or into all, at a\n" +
	"moment in the life of that right, in virtual time over `coord/quorum` and a simulated\n" +
	"network that delays, duplicates and loses messages; with six members that all vote and\n" +
	"with twelve of which five vote. Holds: orders of two instances under a right are at\n" +
	"least three seconds apart, fencing tokens increase, a worker gets the orders of one\n" +
	"holder at a time whenever they arrive (checked by porcupine), and every right is held\nat the end.\n" +
	"**yes**: this holds, and a variant without one of the mechanisms fails there.\n\n" +
	"| fault | |"
