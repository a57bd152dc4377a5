package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Range and precision of the latency histograms.
const (
	lowestLatency     = 100 * time.Microsecond
	highestLatency    = 2 * time.Hour
	significantDigits = 3
)

// RankReport counts the outcomes and summarises the latencies of one rank.
type RankReport struct {
	Rank    table.Rank `json:"rank"`
	Sent    int        `json:"sent"`
	Served  int        `json:"served"`
	NotRun  int        `json:"notRun"`
	Unknown int        `json:"unknown"`
	// Wrong counts served responses from another adapter or version than
	// requested, or without a completion.
	Wrong int `json:"wrong"`
	// Latencies of served requests to the last byte, in milliseconds.
	P50Ms float64 `json:"p50Ms"`
	P95Ms float64 `json:"p95Ms"`
	P99Ms float64 `json:"p99Ms"`
	MaxMs float64 `json:"maxMs"`
}

// Report summarises a load by rank.
type Report struct {
	Seconds float64      `json:"seconds"`
	Ranks   []RankReport `json:"ranks"`
	// Skipped counts the requests that were not sent because Concurrency was
	// reached.
	Skipped int `json:"heldBack"`
	// InProgress counts the requests without a response yet.
	InProgress int `json:"inProgress"`
}

// Wrong returns the sum of RankReport.Wrong over all ranks.
func (r Report) Wrong() int {
	total := 0
	for _, rank := range r.Ranks {
		total += rank.Wrong
	}
	return total
}

// collector counts responses. It is safe for concurrent use.
type collector struct {
	started time.Time

	mu         sync.Mutex
	ranks      [table.RankCount]RankReport
	latencies  [table.RankCount]*hdrhistogram.Histogram
	skipped    int
	inProgress int
}

func newCollector() *collector {
	c := &collector{started: time.Now()}
	for i := range c.latencies {
		c.ranks[i].Rank = table.Ranks[i]
		c.latencies[i] = hdrhistogram.New(lowestLatency.Microseconds(), highestLatency.Microseconds(), significantDigits)
	}
	return c
}

func (c *collector) skip() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.skipped++
}

func (c *collector) start(rank table.Rank) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ranks[rank].Sent++
	c.inProgress++
}

func (c *collector) finish(rank table.Rank, res response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inProgress--
	r := &c.ranks[rank]
	switch {
	case res.outcome == attempt.Served && res.matches:
		r.Served++
		_ = c.latencies[rank].RecordValue(res.latency.Microseconds()) // a latency beyond the histogram's range counts as served only
	case res.outcome == attempt.Served:
		r.Wrong++
	case res.outcome == attempt.NotRun:
		r.NotRun++
	default:
		r.Unknown++
	}
}

func (c *collector) report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{Seconds: time.Since(c.started).Seconds(), Skipped: c.skipped, InProgress: c.inProgress}
	for i, rank := range c.ranks {
		h := c.latencies[i]
		ms := func(percentile float64) float64 { return float64(h.ValueAtPercentile(percentile)) / 1000 }
		rank.P50Ms, rank.P95Ms, rank.P99Ms, rank.MaxMs = ms(50), ms(95), ms(99), float64(h.Max())/1000
		r.Ranks = append(r.Ranks, rank)
	}
	return r
}
