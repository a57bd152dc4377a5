package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Range and precision of the latencies that are told apart.
const (
	lowestLatency     = 100 * time.Microsecond
	highestLatency    = 2 * time.Hour
	significantDigits = 3
)

// RankReport says how one rank was answered.
type RankReport struct {
	Rank    table.Rank `json:"rank"`
	Sent    int        `json:"sent"`
	Served  int        `json:"served"`
	NotRun  int        `json:"notRun"`
	Unknown int        `json:"unknown"`
	// Wrong counts answers by another adapter or version than asked.
	Wrong int `json:"wrong"`
	// The latencies of served requests to their last byte, in milliseconds.
	P50Ms float64 `json:"p50Ms"`
	P95Ms float64 `json:"p95Ms"`
	P99Ms float64 `json:"p99Ms"`
	MaxMs float64 `json:"maxMs"`
}

// Report says how a load was answered.
type Report struct {
	Seconds float64      `json:"seconds"`
	Ranks   []RankReport `json:"ranks"`
	// HeldBack counts the requests that found no room within Concurrency.
	HeldBack int `json:"heldBack"`
	// InProgress counts the requests that have no answer yet.
	InProgress int `json:"inProgress"`
}

// Wrong returns the number of answers by another adapter than asked.
func (r Report) Wrong() int {
	wrong := 0
	for _, rank := range r.Ranks {
		wrong += rank.Wrong
	}
	return wrong
}

// tally collects answers. It is safe for concurrent use.
type tally struct {
	started time.Time

	mu        sync.Mutex
	ranks     [table.RankCount]RankReport
	latencies [table.RankCount]*hdrhistogram.Histogram
	heldBack  int
	progress  int
}

func newTally() *tally {
	t := &tally{started: time.Now()}
	for i := range t.latencies {
		t.ranks[i].Rank = table.Ranks[i]
		t.latencies[i] = hdrhistogram.New(lowestLatency.Microseconds(), highestLatency.Microseconds(), significantDigits)
	}
	return t
}

func (t *tally) holdBack() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heldBack++
}

func (t *tally) begin(rank table.Rank) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ranks[rank].Sent++
	t.progress++
}

func (t *tally) end(rank table.Rank, a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.progress--
	r := &t.ranks[rank]
	switch {
	case a.outcome == attempt.Served && a.right:
		r.Served++
		_ = t.latencies[rank].RecordValue(a.took.Microseconds()) // beyond the range counts as served only
	case a.outcome == attempt.Served:
		r.Wrong++
	case a.outcome == attempt.NotRun:
		r.NotRun++
	default:
		r.Unknown++
	}
}

func (t *tally) report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Seconds: time.Since(t.started).Seconds(), HeldBack: t.heldBack, InProgress: t.progress}
	for i, rank := range t.ranks {
		h := t.latencies[i]
		ms := func(percentile float64) float64 { return float64(h.ValueAtPercentile(percentile)) / 1000 }
		rank.P50Ms, rank.P95Ms, rank.P99Ms, rank.MaxMs = ms(50), ms(95), ms(99), float64(h.Max())/1000
		r.Ranks = append(r.Ranks, rank)
	}
	return r
}
