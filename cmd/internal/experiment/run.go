package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Run simulates a scenario under each policy for each of its seeds, and returns
// one result per policy, in the same order.
func Run(s Scenario, policies []Policy) ([]Result, error) {
	spec, err := s.spec()
	if err != nil {
		return nil, err
	}
	results := make([]Result, len(policies))
	for i, p := range policies {
		results[i] = Result{Scenario: s.Name, Policy: p.Name, Seeds: s.Seeds}
	}
	for run, seed := range s.Seeds {
		trace := newTrace(s, spec, seed)
		for i, p := range policies {
			sim := newSimulation(s, spec, p, seed)
			sim.run(trace)
			results[i].collect(run, sim)
		}
	}
	return results, nil
}

// WriteTable writes results as a text table with one row per policy and phase.
func WriteTable(out io.Writer, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(w, "scenario\tpolicy\tphase\tloads\tbound\toverrate\tpeak\trecovery s\tretries\tstall%\tstall s\tbatch\tgoodput t/s\tutil")
	for _, rank := range table.Ranks {
		_, _ = fmt.Fprintf(w, "\t%[1]s served\t%[1]s p50\t%[1]s p99", rank)
	}
	_, _ = fmt.Fprintln(w, "\tcross B/s")
	for _, r := range results {
		for _, p := range r.Phases {
			writeRow(w, r, p)
		}
	}
	return w.Flush()
}

func writeRow(w io.Writer, r Result, p PhaseResult) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.3f\t%.1f\t%.2f\t%.3f\t%.0f\t%.3f",
		r.Scenario, r.Policy, p.Name, r.Run.Loads.Mean, r.Run.ClairvoyantLoads.Mean, r.Run.OverRate.Max, r.Run.PeakTransit.Max,
		r.Run.Recovery.Max, r.Run.RetryShare.Mean, 100*p.StallShare.Mean, p.StallSeconds.Mean, p.BatchEfficiency.Mean, p.Goodput.Mean, p.Utilisation.Mean)
	crossBytes := 0.0
	for _, rank := range table.Ranks {
		rankResult := p.Ranks[rank.String()]
		_, _ = fmt.Fprintf(w, "\t%.3f\t%.2f\t%.2f", rankResult.ServedShare.Mean, rankResult.FirstP50.Mean, rankResult.FirstP99.Mean)
		crossBytes += rankResult.CrossBytes.Mean
	}
	_, _ = fmt.Fprintf(w, "\t%.0f\n", crossBytes)
}
