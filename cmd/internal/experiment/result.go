package experiment

import (
	"sort"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Result holds the measurements of one policy over all seeds of a scenario.
type Result struct {
	Scenario string        `json:"scenario"`
	Policy   string        `json:"policy"`
	Seeds    []uint64      `json:"seeds"`
	Phases   []PhaseResult `json:"phases"`
	Run      RunResult     `json:"run"`
	// Throughput is the engines' token rate over time in tokens per second, as the
	// mean over the seeds, with one value per SeriesStep from the start.
	Throughput []float64 `json:"made"`
}

// SeriesStep is the time between two values of a time series.
const SeriesStep = 5 * time.Second

// Spread holds the mean, lowest and highest value over the seeds.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// RunResult holds the measurements of whole runs.
type RunResult struct {
	// Loads is the number of loads ordered; ClairvoyantLoads is the lower bound for
	// the requests that were served, also after their deadlines.
	Loads            Spread `json:"loads"`
	ClairvoyantLoads Spread `json:"clairvoyantLoads"`
	// PeakTransit is the highest number of loads in transit at once.
	PeakTransit Spread `json:"peakTransit"`
	// OverRate counts loads ordered beyond the store's rate or transit limit; a load
	// beyond both counts twice.
	OverRate Spread `json:"overRate"`
	// Violations counts dispatches without the adapter resident or beyond the batch
	// size, and evictions of adapters in use.
	Violations Spread `json:"violations"`
	// Undecided counts requests that were neither served nor refused.
	Undecided Spread `json:"undecided"`
	// Recovery is the time from the first Restart or DataCentreLost event to the
	// start of the first 5 s window with at least 0.9 of the generated share in the
	// 30 s before the event, in seconds. The generated share is tokens generated
	// over tokens requested by the arrivals of the same span; the share before the
	// event counts as at most 1. It is 0 if there is no such event.
	Recovery Spread `json:"recovery"`
	// RetryShare is the number of retries over the number of requests.
	RetryShare Spread `json:"retryShare"`
}

// PhaseResult holds the measurements of one phase. Requests belong to the phase
// in which they arrived.
type PhaseResult struct {
	Name string `json:"name"`
	// BatchEfficiency is the number of tokens generated over the number that the
	// engine steps of the phase would have generated with full batches.
	BatchEfficiency Spread `json:"batchEfficiency"`
	// Goodput is the tokens of responses completed within their deadlines, per
	// second of the phase, for the requests that arrived in the phase.
	Goodput Spread `json:"goodput"`
	// Utilisation is the token rate of the phase over the capacity of all workers.
	Utilisation Spread `json:"utilisation"`
	// Loads is the number of loads ordered in the phase.
	Loads Spread `json:"loads"`
	// StallShare is the share of served requests that found their adapter absent.
	StallShare Spread `json:"stallShare"`
	// StallSeconds is the time from arrival to dispatch of those requests, in
	// seconds, averaged over all served requests.
	StallSeconds Spread `json:"stallSeconds"`
	// Ranks holds the measurements of each rank by its name.
	Ranks map[string]RankResult `json:"ranks"`
}

// RankResult holds the measurements of one rank in a phase. Served means completed
// within the deadline.
type RankResult struct {
	// Offered is the number of requests that arrived.
	Offered Spread `json:"offered"`
	// ServedShare is the share of them that was served.
	ServedShare Spread `json:"servedShare"`
	// FirstP50 and FirstP99 are percentiles of the time to the first token, in
	// seconds.
	FirstP50 Spread `json:"firstP50"`
	FirstP99 Spread `json:"firstP99"`
	// TotalP99 is the 99th percentile of the time to the last token, in seconds.
	TotalP99 Spread `json:"totalP99"`
	// StallShare is the share of served requests that found their adapter absent.
	StallShare Spread `json:"stallShare"`
	// TokenShare is the rank's share of the tokens of served requests.
	TokenShare Spread `json:"tokenShare"`
	// CrossBytes is the traffic over the link between the regions, in bytes per
	// second.
	CrossBytes Spread `json:"crossBytes"`
}

// add adds the value of one run; n is the number of runs added before it.
func (s *Spread) add(n int, value float64) {
	if n == 0 {
		*s = Spread{Mean: value, Min: value, Max: value}
		return
	}
	s.Mean += (value - s.Mean) / float64(n+1)
	s.Min = min(s.Min, value)
	s.Max = max(s.Max, value)
}

// collect adds a finished simulation to the result; n is the number of simulations
// added before it.
func (res *Result) collect(n int, s *simulation) {
	violations, undecided := 0, 0
	for _, w := range s.workers {
		violations += w.engine.violations
	}
	for _, r := range s.allRequests {
		if r.outcome == pending {
			undecided++
		}
	}
	res.Run.Loads.add(n, float64(len(s.loadTimes)))
	res.Run.ClairvoyantLoads.add(n, float64(clairvoyantLoads(s)))
	res.Run.PeakTransit.add(n, float64(s.weightStore.peakTransit))
	res.Run.OverRate.add(n, float64(s.weightStore.overRate))
	res.Run.Violations.add(n, float64(violations))
	res.Run.Undecided.add(n, float64(undecided))
	res.Run.Recovery.add(n, s.recovery())
	res.Run.RetryShare.add(n, ratio(float64(s.retries), float64(len(s.allRequests))))
	res.collectThroughput(n, s)
	for i, phase := range s.scenario.Phases {
		if n == 0 {
			res.Phases = append(res.Phases, PhaseResult{Name: phase.Name, Ranks: make(map[string]RankResult)})
		}
		res.Phases[i].collect(n, s, phase)
	}
}

// collectThroughput adds the throughput of a simulation to the mean over time.
func (res *Result) collectThroughput(n int, s *simulation) {
	throughput := make([]float64, int(seconds(s.scenario.Seconds)/SeriesStep))
	for _, step := range s.stepSamples {
		if at := int(step.at / SeriesStep); at < len(throughput) {
			throughput[at] += float64(step.occupancy) / SeriesStep.Seconds()
		}
	}
	if n == 0 {
		res.Throughput = make([]float64, len(throughput))
	}
	for i := range throughput {
		res.Throughput[i] += (throughput[i] - res.Throughput[i]) / float64(n+1)
	}
}

// collect adds the measurements of one phase of a simulation.
func (p *PhaseResult) collect(n int, s *simulation, phase Phase) {
	from, to := seconds(phase.From), seconds(phase.To)
	steps, tokens := 0, 0
	for _, step := range s.stepSamples {
		if step.at >= from && step.at < to {
			steps++
			tokens += step.occupancy
		}
	}
	loads := 0
	for _, at := range s.loadTimes {
		if at >= from && at < to {
			loads++
		}
	}
	spanSeconds := (to - from).Seconds()
	p.BatchEfficiency.add(n, ratio(float64(tokens), float64(steps*s.spec.Batch)))
	p.Utilisation.add(n, float64(tokens)/spanSeconds/s.capacity())
	p.Loads.add(n, float64(loads))
	all := tally{}
	ranks := make(map[table.Rank]*tally)
	for _, r := range s.allRequests {
		if r.at < from || r.at >= to {
			continue
		}
		if ranks[r.rank] == nil {
			ranks[r.rank] = &tally{}
		}
		ranks[r.rank].count(r)
		all.count(r)
	}
	p.Goodput.add(n, float64(all.tokens)/spanSeconds)
	p.StallShare.add(n, ratio(float64(all.stalled), float64(all.served)))
	p.StallSeconds.add(n, ratio(all.stallTime.Seconds(), float64(all.served)))
	for _, rank := range table.Ranks {
		if t := ranks[rank]; t != nil {
			result := p.Ranks[rank.String()]
			result.collect(n, t, all.tokens, spanSeconds)
			p.Ranks[rank.String()] = result
		}
	}
}

// capacity returns the token rate of all workers with full batches, in tokens per
// second.
func (s *simulation) capacity() float64 {
	step := s.workers[0].engine.stepTime(s.spec.Batch).Seconds()
	return float64(len(s.workers)*s.spec.Batch) / step
}

// collect adds the measurements of one rank; allTokens counts the tokens of the
// served requests of all ranks.
func (r *RankResult) collect(n int, t *tally, allTokens int, spanSeconds float64) {
	r.Offered.add(n, float64(t.offered))
	r.ServedShare.add(n, ratio(float64(t.served), float64(t.offered)))
	r.FirstP50.add(n, quantile(t.firstTokenSeconds, 0.5))
	r.FirstP99.add(n, quantile(t.firstTokenSeconds, 0.99))
	r.TotalP99.add(n, quantile(t.totalSeconds, 0.99))
	r.StallShare.add(n, ratio(float64(t.stalled), float64(t.served)))
	r.TokenShare.add(n, ratio(float64(t.tokens), float64(allTokens)))
	r.CrossBytes.add(n, float64(t.crossBytes)/spanSeconds)
}

// tally accumulates the requests of a phase.
type tally struct {
	offered, served, stalled        int
	tokens, crossBytes              int
	stallTime                       time.Duration
	firstTokenSeconds, totalSeconds []float64
}

// count adds a request; it counts as served if its response completed within the
// deadline.
func (t *tally) count(r *request) {
	t.offered++
	t.crossBytes += r.crossBytes
	if r.outcome != served || r.lastTokenAt > r.at+r.deadline {
		return
	}
	t.served++
	t.tokens += r.tokens
	t.firstTokenSeconds = append(t.firstTokenSeconds, (r.firstTokenAt - r.at).Seconds())
	t.totalSeconds = append(t.totalSeconds, (r.lastTokenAt - r.at).Seconds())
	if r.adapterAbsent {
		t.stalled++
		t.stallTime += r.dispatchedAt - r.at
	}
}

// quantile returns the q-quantile of values, which it sorts, or 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Parameters of RunResult.Recovery.
const (
	recoveryBaseline  = 30 * time.Second
	recoveryWindow    = 5 * time.Second
	recoveryStep      = time.Second
	recoveryThreshold = 0.9
)

// recovery returns the seconds until throughput has recovered; see
// RunResult.Recovery.
func (s *simulation) recovery() float64 {
	for _, event := range s.scenario.Events {
		if event.Kind != Restart && event.Kind != DataCentreLost {
			continue
		}
		from := seconds(event.From)
		target := recoveryThreshold * min(s.generatedShare(from-recoveryBaseline, from), 1)
		at := from
		for ; at < seconds(s.scenario.Seconds); at += recoveryStep {
			if s.generatedShare(at, at+recoveryWindow) >= target {
				break
			}
		}
		return (at - from).Seconds()
	}
	return 0
}

// generatedShare returns the tokens generated in a span over those that the
// arrivals in the span request.
func (s *simulation) generatedShare(from, to time.Duration) float64 {
	generated, requested := 0, 0
	for _, step := range s.stepSamples {
		if step.at >= from && step.at < to {
			generated += step.occupancy
		}
	}
	for _, r := range s.allRequests {
		if r.at >= from && r.at < to {
			requested += r.tokens
		}
	}
	return ratio(float64(generated), float64(requested))
}
