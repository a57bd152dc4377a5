package routes

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
)

// Result holds the measurements of one policy, as means over the seeds. Times are in
// seconds from the arrival of a request.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	// Unfinished is the number of requests that were not complete at the end.
	Unfinished   int     `json:"unfinished"`
	FirstMean    float64 `json:"firstMean"`
	FirstP99     float64 `json:"firstP99"`
	CompleteMean float64 `json:"completeMean"`
	CompleteP99  float64 `json:"completeP99"`
	// Late is the share of requests whose first event came after one second.
	Late float64 `json:"late"`
	// EstimateError is the mean factor by which the time until the first event differs
	// from its estimate.
	EstimateError float64 `json:"estimateError"`
}

// Run simulates a scenario under each policy for each of its seeds.
func Run(s Scenario, policies []Policy) []Result {
	results := make([]Result, len(policies))
	for n, p := range policies {
		results[n] = Result{Scenario: s.Name, Policy: p.Name}
		for _, seed := range s.Seeds {
			sim := newSimulation(s, p, seed)
			trace := newTrace(s, seed)
			sim.run(trace)
			results[n].add(s, sim, trace)
		}
	}
	return results
}

// add adds the measurements of one run.
func (res *Result) add(s Scenario, sim *simulation, trace []*request) {
	var first, complete []float64
	late := 0
	for _, r := range trace {
		if r.at < seconds(s.WarmUpSeconds) {
			continue
		}
		res.Requests++
		if r.lastAt == 0 {
			res.Unfinished++
			continue
		}
		first = append(first, (r.firstAt - r.at).Seconds())
		complete = append(complete, (r.lastAt - r.at).Seconds())
		if first[len(first)-1] > 1 {
			late++
		}
	}
	share := 1 / float64(len(s.Seeds))
	res.FirstMean += share * mean(first)
	res.FirstP99 += share * quantile(first, 0.99)
	res.CompleteMean += share * mean(complete)
	res.CompleteP99 += share * quantile(complete, 0.99)
	res.Late += share * float64(late) / float64(max(len(first), 1))
	for _, i := range sim.instances {
		res.EstimateError += share * i.model.EstimateError() / float64(len(sim.instances))
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

// quantile returns the q-quantile of values, which it sorts, or 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

// WriteTable writes results as a text table.
func WriteTable(out io.Writer, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "scenario\tpolicy\trequests\tunfinished\tfirst mean\tfirst p99\tcomplete mean\tcomplete p99\tlate\testimate error")
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.4f\t%.2f\n",
			r.Scenario, r.Policy, r.Requests, r.Unfinished, r.FirstMean, r.FirstP99, r.CompleteMean, r.CompleteP99, r.Late, r.EstimateError)
	}
	return w.Flush()
}
