package quorum

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"golang.org/x/sync/errgroup"
)

var historyDepth = flag.Int("depth", 3, "number of events in each history of TestEveryShortHistory")

// Durations in the histories of planned stops, crashes and partitions.
const (
	stopTakes        = 5 * time.Second // from SIGTERM to the end of a busy process
	restartDelay     = 900 * time.Millisecond
	partitionLasts   = 12 * time.Second
	silenceLasts     = time.Second // four heartbeats
	eventPause       = 1500 * time.Millisecond
	recoveryDeadline = 40 * time.Second // includes SeedWait
)

// historyEvent is one event of a history; target is the index of the node it strikes.
type historyEvent struct {
	name   string
	target int
	inject func(w *world, n *node)
}

// historyEvents returns every event that a history over count nodes is made of.
func historyEvents(count int) []historyEvent {
	kinds := []historyEvent{
		{name: "stop", inject: func(w *world, n *node) {
			if n.down || n.machine.Self().Left {
				return
			}
			n.machine.Leave(w.now)
			w.sendHeartbeat(n)
			stopped := n.incarnation
			w.after(stopTakes, func() {
				if n.incarnation == stopped {
					w.restart(n, restartDelay)
				}
			})
		}},
		{name: "crash", inject: func(w *world, n *node) { w.restart(n, restartDelay) }},
		{name: "isolate", inject: func(w *world, n *node) {
			n.partition = int(n.ordinal)
			w.after(partitionLasts, func() { n.partition = 0 })
		}},
		{name: "silence", inject: func(w *world, n *node) {
			n.dropsOutgoing = true
			w.after(silenceLasts, func() { n.dropsOutgoing = false })
		}},
	}
	events := []historyEvent{{name: "join", inject: func(w *world, _ *node) { w.add(1) }}}
	for _, kind := range kinds {
		for target := range count {
			events = append(events, historyEvent{name: kind.name, target: target, inject: kind.inject})
		}
	}
	return events
}

// restart ends a node and starts it again without state.
func (w *world) restart(n *node, delay time.Duration) {
	n.down = true
	w.after(delay, func() { w.start(n) })
}

// playHistory plays the events a pause apart and returns the first problem, or "".
func playHistory(count int, config Config, events []historyEvent) string {
	w := newWorld(1, count, config)
	w.run(8 * time.Second)
	for _, e := range events {
		e.inject(w, w.sorted()[e.target])
		w.run(eventPause)
	}
	w.run(partitionLasts)
	for end := w.now + recoveryDeadline; len(holders(w)) < len(w.rights) && w.now < end; {
		w.run(500 * time.Millisecond)
	}
	w.run(2 * time.Second)
	switch {
	case len(w.violations) > 0:
		return w.violations[0]
	case len(holders(w)) < len(w.rights):
		return fmt.Sprintf("rights held at the end: %v", holders(w))
	}
	return ""
}

// TestEveryShortHistory plays every sequence of leaves, crashes, partitions, lost
// heartbeats and joins of three members up to a depth. It guards against two holders
// of a right after members that left or restarted came back on the other side of a
// partition.
func TestEveryShortHistory(t *testing.T) {
	const count = 3
	kinds := historyEvents(count)
	total := 1
	for range *historyDepth {
		total *= len(kinds)
	}
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	var failures atomic.Int64
	for number := range total {
		group.Go(func() error {
			events, names := make([]historyEvent, *historyDepth), make([]string, *historyDepth)
			for i, rest := 0, number; i < *historyDepth; i++ {
				events[i], rest = kinds[rest%len(kinds)], rest/len(kinds)
				names[i] = fmt.Sprint(events[i].name, " ", events[i].target)
			}
			if problem := playHistory(count, testConfig(), events); problem != "" && failures.Add(1) <= 5 {
				assert.Fail(t, strings.Join(names, ", ")+": "+problem)
			}
			return nil
		})
	}
	_ = group.Wait() // no history returns an error
	assert.Zero(t, failures.Load(), "of %d histories", total)
}
