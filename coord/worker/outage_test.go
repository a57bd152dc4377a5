package worker

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Times of the exhaustive check, in steps.
const (
	step = 400 * time.Millisecond
	// historySteps is the length of the histories, quietSteps that of the calm after them.
	historySteps = 8
	quietSteps   = 8
	// renewSteps is the time after the end of an outage at which a worker that lives has
	// renewed its entry: less than ReturnGrace.
	renewSteps = 4
	// retryTime is how long after a failure the next call is made.
	retryTime = step / 2
)

// input is what happens to the store, or to the worker, at a step.
type input = byte

const (
	nothing input = '.'
	// cut cuts the watch; the store goes on.
	cut input = 'c'
	// away begins an outage, and back ends it. expire ends it too, and the entry has
	// expired meanwhile.
	away   input = '('
	back   input = ')'
	expire input = 'x'
	// remove removes the entry: the worker leaves.
	remove input = 'r'
	// compact drops the history: the next call returns a listing.
	compact input = 'l'
)

// world is a store with the entry of one worker, and an instance that reads it.
type world struct {
	registry *Registry
	now      time.Duration
	revision uint64
	// listed is set while the store has the entry, removed from the moment the worker left.
	listed, removed bool
	isAway          bool
	wasAway         int // steps of the outage
	removedAt       time.Duration
	// calmSince is since when the store has not been in an outage.
	calmSince time.Duration
	// renewIn is the number of steps after which an expired entry is renewed; 0 for never.
	renewIn int
	// toldGone is set once the registry reported the worker as gone.
	toldGone bool
}

func newWorld(config Config) *world {
	w := &world{registry: NewRegistry(config), now: time.Minute, revision: 1, listed: true}
	w.registry.StoreResponded(w.now)
	w.registry.Put(Worker{ID: "w"}, v(w.revision))
	return w
}

// isPossible reports whether an input can happen now. Entries expire only in an outage of
// at least minOutage.
func (w *world) isPossible(i input, minOutage time.Duration) bool {
	switch i {
	case away:
		return !w.isAway
	case back:
		return w.isAway
	case expire:
		return w.isAway && w.listed && time.Duration(w.wasAway)*step >= minOutage
	case remove:
		return !w.isAway && w.listed
	case cut, compact:
		return !w.isAway
	}
	return true
}

// play lets one step pass.
func (w *world) play(i input) {
	w.now += step
	if w.isAway {
		w.wasAway++
	}
	failed := false
	switch i {
	case cut:
		w.registry.CallFailed(w.now)
		failed = true
	case away:
		w.registry.CallFailed(w.now)
		w.isAway, w.wasAway = true, 0
	case back, expire:
		w.isAway, w.calmSince = false, w.now
		if i == expire {
			w.delete()
			w.renewIn = renewSteps
		}
	case remove:
		w.removed, w.removedAt, w.renewIn = true, w.now, 0
		w.delete()
	}
	if w.isAway {
		w.tick()
		return
	}
	if w.renewIn > 0 {
		if w.renewIn--; w.renewIn == 0 {
			w.revision++
			w.listed = true
		}
	}
	if failed {
		w.tick() // before the next call
	}
	w.respond(w.now+retryTime, i == compact)
	w.tick()
}

func (w *world) delete() {
	w.revision++
	w.listed = false
}

// respond has the store respond to a watch, or to a listing.
func (w *world) respond(at time.Duration, listing bool) {
	w.registry.StoreResponded(at)
	switch {
	case listing && w.listed:
		w.note(w.registry.Replace(at, []Entry{{Worker{ID: "w"}, v(w.revision)}}, v(w.revision)))
	case listing:
		w.note(w.registry.Replace(at, nil, v(w.revision)))
	case w.listed:
		w.note(w.registry.Put(Worker{ID: "w"}, v(w.revision)))
	default:
		w.note(w.registry.Delete(at, "w", v(w.revision)))
	}
}

func (w *world) tick() { w.note(w.registry.Tick(w.now)) }

func (w *world) note(events []Event) {
	for _, e := range events {
		w.toldGone = e.Change == Gone || w.toldGone && e.Change != Appeared
	}
}

// drainTime is how long after the removal of its entry a worker may get requests.
const drainTime = 2500 * time.Millisecond

// broken returns which guarantee does not hold now, or "".
func (w *world) broken() string {
	used := len(w.registry.Workers()) == 1
	switch {
	case !used && !w.removed && (w.listed || w.renewIn > 0):
		return "a worker whose entry expired is not used"
	case used && w.removed && w.now-max(w.removedAt, w.calmSince) > drainTime && !w.isAway:
		return "a removed worker is used"
	case used && w.removed && w.toldGone:
		return "a removal that was known is taken back"
	}
	return ""
}

// findBroken returns the shortest histories that break a guarantee, one for each.
func findBroken(config Config, inputs []input) map[string]string {
	found := make(map[string]string)
	expirable := DefaultConfig(1200 * time.Millisecond).MinOutage
	var extend func(history []input)
	extend = func(history []input) {
		w := newWorld(config)
		for _, i := range history {
			if !w.isPossible(i, expirable) {
				return
			}
			w.play(i)
			if problem := w.broken(); problem != "" {
				if known, exists := found[problem]; !exists || len(history) < len(known) {
					found[problem] = string(history)
				}
				return
			}
		}
		if len(history) == historySteps {
			if w.isAway {
				w.play(back)
			}
			for range quietSteps {
				w.play(nothing)
				if problem := w.broken(); problem != "" && found[problem] == "" {
					found[problem] = string(history) + " and calm"
				}
			}
			return
		}
		for _, i := range inputs {
			extend(append(slices.Clone(history), i))
		}
	}
	extend(nil)
	return found
}

// TestWorkersInEveryHistoryOfTheStore plays every short history of cut watches, outages,
// removals and listings: a removed worker is used no longer than the operators allow, a
// worker whose entry expired is used throughout, and a removal is never taken back.
func TestWorkersInEveryHistoryOfTheStore(t *testing.T) {
	require.Empty(t, findBroken(testConfig, allInputs))
}

var allInputs = []input{nothing, cut, away, back, expire, remove, compact}

// TestWrongWaysToTellAnOutageAreFound shows that the check above finds the fault that it is
// meant for, and the reverse.
func TestWrongWaysToTellAnOutageAreFound(t *testing.T) {
	anyFailure := Config{MinOutage: 0, ReturnGrace: testConfig.ReturnGrace}
	require.Contains(t, findBroken(anyFailure, allInputs), "a removed worker is used")
	noGrace := Config{MinOutage: testConfig.MinOutage}
	require.Contains(t, findBroken(noGrace, allInputs), "a worker whose entry expired is not used")
	longOutagesOnly := Config{MinOutage: 4 * testConfig.MinOutage, ReturnGrace: testConfig.ReturnGrace}
	require.Contains(t, findBroken(longOutagesOnly, allInputs), "a worker whose entry expired is not used")
}
