package experiment

import (
	"sort"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Result is what one policy did over all seeds of a scenario: means over seeds,
// with the lowest and the highest.
type Result struct {
	Scenario string        `json:"scenario"`
	Policy   string        `json:"policy"`
	Seeds    []uint64      `json:"seeds"`
	Phases   []PhaseResult `json:"phases"`
	Run      RunResult     `json:"run"`
	// Made is the tokens a second that the engines made, mean over the seeds, in
	// steps of SeriesStep from the start.
	Made []float64 `json:"made"`
}

// SeriesStep is the time between two values of a series.
const SeriesStep = 5 * time.Second

// Spread is a mean with the lowest and the highest over the seeds.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// RunResult holds the figures of whole runs.
type RunResult struct {
	// Loads and ClairvoyantLoads are the loads ordered, and the bound on the
	// same served requests.
	Loads            Spread `json:"loads"`
	ClairvoyantLoads Spread `json:"clairvoyantLoads"`
	// PeakTransit is the most loads in transit at once.
	PeakTransit Spread `json:"peakTransit"`
	// OverRate counts loads ordered beyond the store's rate or its transit.
	OverRate Spread `json:"overRate"`
	// Violations counts dispatches without the adapter or beyond the batch and
	// evictions in use.
	Violations Spread `json:"violations"`
	// Undecided counts requests that were neither served nor refused.
	Undecided Spread `json:"undecided"`
	// Recovery is the seconds from the first restart or loss to the first five
	// seconds that make at least nine tenths of the tokens asked for in them, as
	// far as the 30 s before did; 0 where there is no such event.
	Recovery Spread `json:"recovery"`
	// RetryShare is the number of retries over the number of requests.
	RetryShare Spread `json:"retryShare"`
}

// PhaseResult holds the figures of the requests that arrived in a phase.
type PhaseResult struct {
	Name string `json:"name"`
	// BatchEfficiency is the tokens made over what the engine steps of the phase
	// could have made with full batches.
	BatchEfficiency Spread `json:"batchEfficiency"`
	// Goodput is the tokens a second of answers finished within their deadlines,
	// by the requests that arrived in the phase.
	Goodput Spread `json:"goodput"`
	// Utilisation is the tokens made in the phase over the fleet's capacity.
	Utilisation Spread `json:"utilisation"`
	// Loads is the number of loads ordered in the phase.
	Loads Spread `json:"loads"`
	// StallShare is the share of served requests that found their adapter absent.
	StallShare Spread `json:"stallShare"`
	// StallSeconds is the time that those waited, over all served requests.
	StallSeconds Spread `json:"stallSeconds"`
	// Ranks holds the service of each rank by its name.
	Ranks map[string]RankResult `json:"ranks"`
}

// RankResult is the service of one rank.
type RankResult struct {
	// Offered is the number of requests that arrived.
	Offered Spread `json:"offered"`
	// ServedShare is the share of them that was served within the deadline.
	ServedShare Spread `json:"servedShare"`
	// FirstP50 and FirstP99 are quantiles of the seconds to the first token.
	FirstP50 Spread `json:"firstP50"`
	FirstP99 Spread `json:"firstP99"`
	// TotalP99 is the quantile of the seconds to the last token.
	TotalP99 Spread `json:"totalP99"`
	// StallShare is the share of served requests that found their adapter absent.
	StallShare Spread `json:"stallShare"`
	// TokenShare is the rank's share of the tokens served.
	TokenShare Spread `json:"tokenShare"`
	// CrossBytes is the bytes a second over the link between the regions.
	CrossBytes Spread `json:"crossBytes"`
}

// add folds one run into the spread; n is the number of runs before it.
func (s *Spread) add(n int, value float64) {
	if n == 0 {
		*s = Spread{Mean: value, Min: value, Max: value}
		return
	}
	s.Mean += (value - s.Mean) / float64(n+1)
	s.Min = min(s.Min, value)
	s.Max = max(s.Max, value)
}

// collect folds one finished simulation into the result.
func (res *Result) collect(n int, s *simulation) {
	violations, undecided := 0, 0
	for _, w := range s.workers {
		violations += w.engine.violations
	}
	for _, r := range s.all {
		if r.outcome == pending {
			undecided++
		}
	}
	res.Run.Loads.add(n, float64(len(s.loadTime)))
	res.Run.ClairvoyantLoads.add(n, float64(clairvoyantLoads(s)))
	res.Run.PeakTransit.add(n, float64(s.store.peak))
	res.Run.OverRate.add(n, float64(s.store.overRate))
	res.Run.Violations.add(n, float64(violations))
	res.Run.Undecided.add(n, float64(undecided))
	res.Run.Recovery.add(n, s.recovery())
	res.Run.RetryShare.add(n, ratio(float64(s.retries), float64(len(s.all))))
	res.collectMade(n, s)
	for i, phase := range s.scenario.Phases {
		if n == 0 {
			res.Phases = append(res.Phases, PhaseResult{Name: phase.Name, Ranks: make(map[string]RankResult)})
		}
		res.Phases[i].collect(n, s, phase)
	}
}

// collectMade folds the tokens made over time into the series.
func (res *Result) collectMade(n int, s *simulation) {
	made := make([]float64, int(seconds(s.scenario.Seconds)/SeriesStep))
	for _, step := range s.steps {
		if at := int(step.at / SeriesStep); at < len(made) {
			made[at] += float64(step.occupancy) / SeriesStep.Seconds()
		}
	}
	if n == 0 {
		res.Made = make([]float64, len(made))
	}
	for i := range made {
		res.Made[i] += (made[i] - res.Made[i]) / float64(n+1)
	}
}

func (p *PhaseResult) collect(n int, s *simulation, phase Phase) {
	from, to := seconds(phase.From), seconds(phase.To)
	steps, tokens := 0, 0
	for _, step := range s.steps {
		if step.at >= from && step.at < to {
			steps++
			tokens += step.occupancy
		}
	}
	loads := 0
	for _, at := range s.loadTime {
		if at >= from && at < to {
			loads++
		}
	}
	length := (to - from).Seconds()
	p.BatchEfficiency.add(n, ratio(float64(tokens), float64(steps*s.spec.Batch)))
	p.Utilisation.add(n, float64(tokens)/length/s.capacity())
	p.Loads.add(n, float64(loads))
	all := tally{}
	ranks := make(map[table.Rank]*tally)
	for _, r := range s.all {
		if r.at < from || r.at >= to {
			continue
		}
		if ranks[r.rank] == nil {
			ranks[r.rank] = &tally{}
		}
		ranks[r.rank].count(r)
		all.count(r)
	}
	p.Goodput.add(n, float64(all.tokens)/length)
	p.StallShare.add(n, ratio(float64(all.stalled), float64(all.served)))
	p.StallSeconds.add(n, ratio(all.stallTime.Seconds(), float64(all.served)))
	for _, rank := range table.Ranks {
		if t := ranks[rank]; t != nil {
			result := p.Ranks[rank.String()]
			result.collect(n, t, all.tokens, length)
			p.Ranks[rank.String()] = result
		}
	}
}

// capacity returns the tokens a second of the fleet with full batches.
func (s *simulation) capacity() float64 {
	step := s.workers[0].engine.stepTime(s.spec.Batch).Seconds()
	return float64(len(s.workers)*s.spec.Batch) / step
}

func (r *RankResult) collect(n int, t *tally, allTokens int, length float64) {
	r.Offered.add(n, float64(t.offered))
	r.ServedShare.add(n, ratio(float64(t.served), float64(t.offered)))
	r.FirstP50.add(n, quantile(t.first, 0.5))
	r.FirstP99.add(n, quantile(t.first, 0.99))
	r.TotalP99.add(n, quantile(t.total, 0.99))
	r.StallShare.add(n, ratio(float64(t.stalled), float64(t.served)))
	r.TokenShare.add(n, ratio(float64(t.tokens), float64(allTokens)))
	r.CrossBytes.add(n, float64(t.cross)/length)
}

// tally counts the requests of a phase.
type tally struct {
	offered, served, stalled int
	tokens, cross            int
	stallTime                time.Duration
	first, total             []float64
}

// count adds a request; it is served when its answer ended in time.
func (t *tally) count(r *request) {
	t.offered++
	t.cross += r.cross
	if r.outcome != served || r.ended > r.at+r.deadline {
		return
	}
	t.served++
	t.tokens += r.tokens
	t.first = append(t.first, (r.first - r.at).Seconds())
	t.total = append(t.total, (r.ended - r.at).Seconds())
	if r.stalled {
		t.stalled++
		t.stallTime += r.started - r.at
	}
}

// quantile returns the value below which the share q of the values lies.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Spans of the recovery figure.
const (
	recoveryBefore = 30 * time.Second
	recoveryWindow = 5 * time.Second
	recoveryStep   = time.Second
	recoveryShare  = 0.9
)

// recovery returns the seconds until the tokens made are back to nine tenths.
func (s *simulation) recovery() float64 {
	for _, e := range s.scenario.Events {
		if e.Kind != Restart && e.Kind != DataCentreLost {
			continue
		}
		from := seconds(e.From)
		wanted := recoveryShare * min(s.madeShare(from-recoveryBefore, from), 1)
		at := from
		for ; at < seconds(s.scenario.Seconds); at += recoveryStep {
			if s.madeShare(at, at+recoveryWindow) >= wanted {
				break
			}
		}
		return (at - from).Seconds()
	}
	return 0
}

// madeShare returns the tokens made in a span over those that its arrivals ask
// for.
func (s *simulation) madeShare(from, to time.Duration) float64 {
	made, asked := 0, 0
	for _, step := range s.steps {
		if step.at >= from && step.at < to {
			made += step.occupancy
		}
	}
	for _, r := range s.all {
		if r.at >= from && r.at < to {
			asked += r.tokens
		}
	}
	return ratio(float64(made), float64(asked))
}
