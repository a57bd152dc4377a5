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

// step is a place on a request's way.
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

// fault is one thing that fails; x is the current attempt, nil before the first.
type fault struct {
	name  string
	apply func(w *world, x *exchange, r *request)
	// needsAttempt says that the fault happens to an attempt.
	needsAttempt bool
	// impossible says why the fault can't meet a request; empty otherwise.
	impossible string
}

var faults = []fault{
	{name: "kill", apply: func(w *world, x *exchange, r *request) {
		if x == nil {
			r.lost = true
			return
		}
		s := x.s
		s.life++
		clear(s.calls)
		s.held = false
		w.after(hop, func() { w.failed(x, attempt.Failure{Sent: true}) })
		w.after(outage, func() { s.held = true; s.boot() })
	}},
	{name: "freeze and wake late", needsAttempt: true, apply: func(w *world, x *exchange, _ *request) {
		x.s.frozen = w.now + outage
		w.after(outage+hop, func() { x.s.regain(time.Second) })
	}},
	{name: "cut", needsAttempt: true, apply: func(w *world, x *exchange, _ *request) { x.s.cut = w.now + outage }},
	{name: "silent connection", needsAttempt: true, apply: func(_ *world, x *exchange, _ *request) { x.silent = true }},
	{name: "slow", needsAttempt: true, apply: func(w *world, x *exchange, _ *request) {
		x.s.delay = time.Second
		w.after(2*outage, func() { x.s.delay = 0 })
	}},
	{name: "store failure", apply: func(w *world, _ *exchange, _ *request) { w.storeFailing = w.now + 2*loadTime }},
	{name: "engine cold restart", needsAttempt: true, apply: func(_ *world, x *exchange, _ *request) {
		x.s.engineLife++
		clear(x.s.resident)
		clear(x.s.inUse)
	}},
	{name: "platform down", impossible: "no step reads the platform"},
	{name: "platform stale", impossible: "no step reads the platform"},
	{name: "late answer", needsAttempt: true, apply: func(_ *world, x *exchange, _ *request) { x.late = progressTimeout + time.Second }},
	{name: "crossed answer", needsAttempt: true, apply: func(_ *world, x *exchange, _ *request) { x.crossed = true }},
	{name: "leaving", needsAttempt: true, apply: func(_ *world, x *exchange, _ *request) { x.s.leaving = true }},
	{name: "owner change", needsAttempt: true, apply: func(_ *world, x *exchange, _ *request) { x.s.regain(outage) }},
}

// cell is a fault at a step, once or twice.
type cell struct {
	step  step
	fault fault
	times int
}

// impossible says why the cell can't happen; empty where it can.
func (c cell) impossible() string {
	if c.fault.impossible == "" && c.fault.needsAttempt && (c.step == accepted || c.step == resolved) {
		return "no attempt has begun"
	}
	return c.fault.impossible
}

// wrong runs a world and returns what must not be, or empty.
func (w *world) wrong() string {
	w.run()
	first, probe := w.requests[0], w.requests[1]
	if w.evictedInUse > 0 {
		return "an adapter was evicted while a request used it"
	}
	for _, r := range w.requests {
		if problem := w.wrongOf(r); problem != "" {
			return fmt.Sprintf("request %d: %s", r.id, problem)
		}
	}
	if w.cell.fault.name != "leaving" && !slices.Equal(probe.told, []attempt.Outcome{attempt.Served}) && w.idempotent {
		return fmt.Sprintf("a request after the fault was told %v", probe.told)
	}
	if w.idempotent && w.cell.times == 1 && !first.lost && !slices.Equal(first.told, []attempt.Outcome{attempt.Served}) {
		return fmt.Sprintf("one fault was not ridden out: told %v", first.told)
	}
	return ""
}

func (w *world) wrongOf(r *request) string {
	ends := len(r.told)
	if r.cutOff || r.lost {
		ends++
	}
	switch {
	case ends != 1:
		return fmt.Sprintf("ended %d times", ends)
	case !w.idempotent && w.runs[r.id] > 1:
		return "ran twice"
	case slices.Equal(r.told, []attempt.Outcome{attempt.NotRun}) && w.runs[r.id] > 0:
		return "told not-run, but it ran"
	case slices.Equal(r.told, []attempt.Outcome{attempt.Served}) && !slices.Equal(r.got, []int{0, 1, 2, 3, 4}):
		return fmt.Sprintf("served tokens %v", r.got)
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

// TestFaultMatrix runs every fault at every step, once and twice, for requests
// that may be repeated and for those that may not.
func TestFaultMatrix(t *testing.T) {
	for _, c := range cells() {
		if c.impossible() != "" {
			continue
		}
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/%s/%d/idempotent=%t", c.step, c.fault.name, c.times, idempotent), func(t *testing.T) {
				require.Empty(t, newWorld(c, idempotent).wrong())
			})
		}
	}
}

// careless is a broken rule for attempts.
type careless struct {
	attempts int // it never makes more
	lie      bool
	attempt  int
}

func (l *careless) Step(_ time.Duration, event attempt.LifecycleEvent) []attempt.LifecycleAction {
	switch e := event.(type) {
	case attempt.Completed:
		return []attempt.LifecycleAction{attempt.Report{Outcome: attempt.Served}}
	case attempt.Delivered:
		return nil
	case attempt.Failed:
		if e.Attempt == l.attempt && l.attempt == l.attempts {
			return []attempt.LifecycleAction{attempt.Report{Outcome: l.outcome(e)}}
		}
		if e.Attempt != l.attempt {
			return nil
		}
	}
	l.attempt++
	return []attempt.LifecycleAction{attempt.Try{Attempt: l.attempt}}
}

func (l *careless) outcome(e attempt.Failed) attempt.Outcome {
	if l.lie {
		return attempt.NotRun
	}
	return e.Failure.Outcome()
}

// broken are worlds in which one mechanism is missing.
func broken(c cell) map[string]*world {
	with := func(idempotent bool, rule careless) *world {
		w := newWorld(c, idempotent)
		w.newLife = func(*world, time.Duration) lifeRule { l := rule; return &l }
		return w
	}
	trusting, patient, unchecked := newWorld(c, true), newWorld(c, true), newWorld(c, false)
	trusting.trusting = true
	patient.patient = true
	unchecked.unchecked = true
	return map[string]*world{
		"retries whatever happened":         with(false, careless{attempts: 3}),
		"never retries":                     with(true, careless{attempts: 1}),
		"calls every failure not-run":       with(true, careless{attempts: 1, lie: true}),
		"takes late and crossed answers":    trusting,
		"waits for ever":                    patient,
		"dispatches without the right held": unchecked,
	}
}

// TestBrokenVariantsFailTheMatrix shows that the matrix misses none of the
// mechanisms.
func TestBrokenVariantsFailTheMatrix(t *testing.T) {
	found := make(map[string]int)
	for _, c := range cells() {
		if c.impossible() != "" {
			continue
		}
		for name, w := range broken(c) {
			if w.wrong() != "" {
				found[name]++
			}
		}
	}
	for name := range broken(cells()[0]) {
		t.Logf("%s: wrong in %d cells", name, found[name])
		require.Positive(t, found[name], name)
	}
}

var update = flag.Bool("update", false, "write docs/FAULTS.md")

// TestFaultsPage compares the page with what the matrix gives.
func TestFaultsPage(t *testing.T) {
	const page = "../docs/FAULTS.md"
	want := faultsPage()
	if *update {
		require.NoError(t, os.WriteFile(page, want, 0o600))
	}
	got, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), "write it with: go test ./coord -run FaultsPage -update")
}

// mark is a cell's row in the page.
func mark(c cell) string {
	if c.impossible() != "" {
		return "–"
	}
	for _, idempotent := range []bool{true, false} {
		if newWorld(c, idempotent).wrong() != "" {
			return "**no**"
		}
	}
	for _, w := range broken(c) {
		if w.wrong() != "" {
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
				fmt.Fprintf(&page, " %s |", mark(cell{step: s, fault: f, times: times}))
			}
			page.WriteString("\n")
		}
	}
	return page.Bytes()
}

const pageHead = "# Faults\n\n" +
	"Written by `go test ./coord -run FaultsPage -update`; CI compares it.\n\n" +
	"Each cell is a fault when a request comes to a step, in virtual time, over the\n" +
	"parts in `coord/attempt` and `coord/residency` with a small fake network, for a\n" +
	"request that may be repeated and for one that may not. **yes**: exactly one end\n" +
	"is told; what is served is the whole answer; not-run means that it did not run;\n" +
	"what may not be repeated ran at most once; nothing in use was evicted; where the\n" +
	"request may be repeated, a single fault is ridden out, and a request after the\n" +
	"fault is served (not looked at for leaving, where no worker may be left); and a variant without one of the mechanisms fails there.\n" +
	"holds: the same, but no broken variant fails there, so the cell shows little.\n" +
	"**no**: not proved. –: can't happen: before `forwarded` no\n" +
	"attempt has begun, and no step reads the platform.\n\n" +
	"Twice: the fault comes again when a further attempt reaches the step.\n\n" +
	"Leases, keys and tables have matrices of their own (`coord/ownership`,\n" +
	"`coord/attempt`, `coord/table/replica`), rights of instances that gossip have\n" +
	"[a page](FAULTS-RIGHTS.md), and real processes, signals and links are tested in\n" +
	"`cmd/e2e` and `cmd/internal/demo`.\n"
