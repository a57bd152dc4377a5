package coord_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
)

// step is a stage of a request's processing.
type step string

const (
	accepted    step = "accepted"
	resolved    step = "resolved"
	forwarded   step = "forwarded"
	queued      step = "queued"
	loadOrdered step = "load ordered"
	loaded      step = "loaded"
	dispatched  step = "dispatched"
	firstByte   step = "first byte"
	middle      step = "middle"
	lastByte    step = "last byte"
	answered    step = "answered"
)

var steps = []step{accepted, resolved, forwarded, queued, loadOrdered, loaded, dispatched, firstByte, middle, lastByte, answered}

// fault is one kind of failure. apply injects it; x is the current attempt, nil
// before the first.
type fault struct {
	name  string
	apply func(w *world, x *exchange, r *request)
	// needsAttempt says that the fault affects an attempt.
	needsAttempt bool
	// impossible says why the fault can't affect a request; otherwise empty.
	impossible string
}

var faults = []fault{
	{name: "kill", apply: func(w *world, x *exchange, r *request) {
		if x == nil {
			r.ingressLost = true
			return
		}
		s := x.site
		s.incarnation++
		clear(s.calls)
		s.holdsRight = false
		w.after(hop, func() { w.failed(x, attempt.Failure{Sent: true}) })
		w.after(outage, func() { s.holdsRight = true; s.boot() })
	}},
	{name: "freeze and wake late", needsAttempt: true, apply: func(w *world, x *exchange, _ *request) {
		x.site.frozenUntil = w.now + outage
		w.after(outage+hop, func() { x.site.loseRightFor(time.Second) })
	}},
	{name: "cut", needsAttempt: true, apply: func(w *world, x *exchange, _ *request) { x.site.partitionedUntil = w.now + outage }},
	{name: "silent connection", needsAttempt: true, apply: func(_ *world, x *exchange, _ *request) { x.silent = true }},
	{name: "slow", needsAttempt: true, apply: func(w *world, x *exchange, _ *request) {
		x.site.extraDelay = time.Second
		w.after(2*outage, func() { x.site.extraDelay = 0 })
	}},
	{name: "store failure", apply: func(w *world, _ *exchange, _ *request) { w.storeDownUntil = w.now + 2*loadTime }},
	{name: "engine cold restart", needsAttempt: true, apply: func(_ *world, x *exchange, _ *request) {
		x.site.engineIncarnation++
		clear(x.site.resident)
		clear(x.site.inUse)
	}},
	{name: "platform down", impossible: "no step reads the platform"},
	{name: "platform stale", impossible: "no step reads the platform"},
	{name: "late response", needsAttempt: true, apply: func(_ *world, x *exchange, _ *request) { x.extraDelay = progressTimeout + time.Second }},
	{name: "misdirected response", needsAttempt: true, apply: func(_ *world, x *exchange, _ *request) { x.misdirected = true }},
	{name: "leaving", needsAttempt: true, apply: func(_ *world, x *exchange, _ *request) { x.site.leaving = true }},
	{name: "owner change", needsAttempt: true, apply: func(_ *world, x *exchange, _ *request) { x.site.loseRightFor(outage) }},
}

// cell is one case of the matrix: a fault at a step, once or twice.
type cell struct {
	step  step
	fault fault
	times int
}

// impossible says why the case can't occur; empty if it can.
func (c cell) impossible() string {
	if c.fault.impossible == "" && c.fault.needsAttempt && (c.step == accepted || c.step == resolved) {
		return "no attempt has begun"
	}
	return c.fault.impossible
}

// violation runs the world and describes the first violated requirement, or
// returns an empty string.
func (w *world) violation() string {
	w.run()
	first, probe := w.requests[0], w.requests[1]
	if w.evictedInUse > 0 {
		return "an adapter was evicted while a request used it"
	}
	for _, r := range w.requests {
		if problem := w.requestViolation(r); problem != "" {
			return fmt.Sprintf("request %d: %s", r.id, problem)
		}
	}
	if w.cell.fault.name != "leaving" && !slices.Equal(probe.outcomes, []attempt.Outcome{attempt.Served}) && w.idempotent {
		return fmt.Sprintf("a request after the fault ended with %v", probe.outcomes)
	}
	if w.idempotent && w.cell.times == 1 && !first.ingressLost && !slices.Equal(first.outcomes, []attempt.Outcome{attempt.Served}) {
		return fmt.Sprintf("a single fault was not tolerated: ended with %v", first.outcomes)
	}
	return ""
}

func (w *world) requestViolation(r *request) string {
	ends := len(r.outcomes)
	if r.truncated || r.ingressLost {
		ends++
	}
	switch {
	case ends != 1:
		return fmt.Sprintf("ended %d times", ends)
	case !w.idempotent && w.runs[r.id] > 1:
		return "ran twice"
	case slices.Equal(r.outcomes, []attempt.Outcome{attempt.NotRun}) && w.runs[r.id] > 0:
		return "reported as not-run, but it ran"
	case slices.Equal(r.outcomes, []attempt.Outcome{attempt.Served}) && !slices.Equal(r.received, []int{0, 1, 2, 3, 4}):
		return fmt.Sprintf("served tokens %v", r.received)
	}
	return ""
}

func cells() []cell {
	var all []cell
	for _, f := range faults {
		for _, times := range []int{1, 2} {
			for _, s := range steps {
				all = append(all, cell{step: s, fault: f, times: times})
			}
		}
	}
	return all
}

// TestFaultMatrix injects every fault at every step, once and twice, for
// requests that are idempotent and for those that are not.
func TestFaultMatrix(t *testing.T) {
	for _, c := range cells() {
		if c.impossible() != "" {
			continue
		}
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/%s/%d/idempotent=%t", c.step, c.fault.name, c.times, idempotent), func(t *testing.T) {
				require.Empty(t, newWorld(c, idempotent).violation())
			})
		}
	}
}

// naiveRetryRule is a deliberately broken rule for retries.
type naiveRetryRule struct {
	maxAttempts  int
	alwaysNotRun bool
	attempt      int
}

func (l *naiveRetryRule) Step(_ time.Duration, event attempt.LifecycleEvent) []attempt.LifecycleAction {
	switch e := event.(type) {
	case attempt.Completed:
		return []attempt.LifecycleAction{attempt.Report{Outcome: attempt.Served}}
	case attempt.Delivered:
		return nil
	case attempt.Failed:
		if e.Attempt == l.attempt && l.attempt == l.maxAttempts {
			return []attempt.LifecycleAction{attempt.Report{Outcome: l.outcome(e)}}
		}
		if e.Attempt != l.attempt {
			return nil
		}
	}
	l.attempt++
	return []attempt.LifecycleAction{attempt.Try{Attempt: l.attempt}}
}

func (l *naiveRetryRule) outcome(e attempt.Failed) attempt.Outcome {
	if l.alwaysNotRun {
		return attempt.NotRun
	}
	return e.Failure.Outcome()
}

// brokenWorlds returns worlds that each lack one mechanism.
func brokenWorlds(c cell) map[string]*world {
	with := func(idempotent bool, rule naiveRetryRule) *world {
		w := newWorld(c, idempotent)
		w.newLife = func(*world, time.Duration) lifeRule { l := rule; return &l }
		return w
	}
	acceptsAny, noTimeout, noRightCheck := newWorld(c, true), newWorld(c, true), newWorld(c, false)
	acceptsAny.acceptsAnyResponse = true
	noTimeout.neverTimesOut = true
	noRightCheck.skipsRightCheck = true
	return map[string]*world{
		"retries after every failure":            with(false, naiveRetryRule{maxAttempts: 3}),
		"never retries":                          with(true, naiveRetryRule{maxAttempts: 1}),
		"reports every failure as not-run":       with(true, naiveRetryRule{maxAttempts: 1, alwaysNotRun: true}),
		"accepts late and misdirected responses": acceptsAny,
		"never times out":                        noTimeout,
		"dispatches without holding the right":   noRightCheck,
	}
}

// TestBrokenVariantsFailTheMatrix checks that the matrix detects the absence of
// each mechanism.
func TestBrokenVariantsFailTheMatrix(t *testing.T) {
	found := make(map[string]int)
	for _, c := range cells() {
		if c.impossible() != "" {
			continue
		}
		for name, w := range brokenWorlds(c) {
			if w.violation() != "" {
				found[name]++
			}
		}
	}
	for name := range brokenWorlds(cells()[0]) {
		t.Logf("%s: violation in %d cells", name, found[name])
		require.Positive(t, found[name], name)
	}
}

var update = flag.Bool("update", false, "write docs/FAULTS.md")

// TestFaultsPage compares the page with the results of the matrix.
func TestFaultsPage(t *testing.T) {
	const page = "../docs/FAULTS.md"
	want := faultsPage()
	if *update {
		require.NoError(t, os.WriteFile(page, want, 0o600))
	}
	got, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), "regenerate it with: go test ./coord -run FaultsPage -update")
}

// cellResult returns the entry of a case in the page.
func cellResult(c cell) string {
	if c.impossible() != "" {
		return "–"
	}
	for _, idempotent := range []bool{true, false} {
		if newWorld(c, idempotent).violation() != "" {
			return "**no**"
		}
	}
	for _, w := range brokenWorlds(c) {
		if w.violation() != "" {
			return "yes"
		}
	}
	return "holds"
}

func faultsPage() []byte {
	var page bytes.Buffer
	page.WriteString(pageHead)
	for _, times := range []int{1, 2} {
		fmt.Fprintf(&page, "\n## %s\n\n| fault |", map[int]string{1: "Once", 2: "Twice"}[times])
		for _, s := range steps {
			fmt.Fprintf(&page, " %s |", s)
		}
		fmt.Fprintf(&page, "\n| --- |%s\n", bytes.Repeat([]byte(" --- |"), len(steps)))
		for _, f := range faults {
			fmt.Fprintf(&page, "| %s |", f.name)
			for _, s := range steps {
				fmt.Fprintf(&page, " %s |", cellResult(cell{step: s, fault: f, times: times}))
			}
			page.WriteString("\n")
		}
	}
	return page.Bytes()
}

const pageHead = "# Faults\n\n" +
	"Written by `go test ./coord -run FaultsPage -update`; CI compares it.\n\n" +
	"Each cell is a fault that occurs when a request reaches a step, in virtual time.\n" +
	"The components of `coord/attempt` and `coord/residency` run over a small fake\n" +
	"network, for an idempotent request and for one that is not.\n\n" +
	"- **yes**: exactly one outcome is reported; a served response is complete; not-run\n" +
	"  means that the request did not run; a request that is not idempotent ran at most\n" +
	"  once; no adapter in use was evicted; for an idempotent request, a single fault is\n" +
	"  tolerated, and a request after the fault is served (not checked for leaving, where\n" +
	"  no worker may be left). A variant without one of the mechanisms fails in this cell.\n" +
	"- holds: the same, but no broken variant fails in this cell, so it proves little.\n" +
	"- **no**: not proved.\n- –: can't occur: before `forwarded` no attempt has begun, and no step reads the\n" +
	"  platform.\n\nTwice: the fault occurs again when a further attempt reaches the step.\n\n" +
	"Leases, keys and tables have matrices of their own (`coord/ownership`,\n" +
	"`coord/attempt`, `coord/table/replica`), rights of instances that gossip have\n" +
	"[a page](FAULTS-RIGHTS.md), and real processes, signals and links are tested in\n" +
	"`cmd/e2e` and `cmd/internal/demo`.\n"
