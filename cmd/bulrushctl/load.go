package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/bulrushwick/bulrushwick/cmd/internal/loadgen"
)

func loadCommand() *cobra.Command {
	var format output
	config := loadgen.DefaultConfig()
	c := &cobra.Command{
		Use:   "load CALLER-ADDRESS...",
		Short: "Send a bounded load of completions and show outcomes and latencies",
		Long: "Start completions at a fixed rate for a limited time, independent of how fast\n" +
			"they are answered, and show outcomes and latencies by rank.\n\n" +
			"Exit code 0: every answer served was by the adapter and version asked for,\n" +
			"and at least one was served. Exit code 1: not so.",
		Example: "  bulrushctl load 10.0.0.1:7000 10.0.0.2:7000 --rate 50 --duration 1m\n" +
			"  bulrushctl load 10.0.0.1:7000 --mix urgent=1,patient=9 --skew 1.5 --output json",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, entries []string) error {
			config.Entries = entries
			report, err := loadgen.Run(cmd.Context(), config, func(r loadgen.Report) { writeLoadProgress(cmd.ErrOrStderr(), r) })
			if err != nil {
				return err
			}
			if err := format.write(cmd.OutOrStdout(), report, func(w io.Writer) { writeLoadTable(w, report) }); err != nil {
				return err
			}
			return checkLoad(report)
		},
	}
	f := c.Flags()
	f.Float64Var(&config.Rate, "rate", config.Rate, "requests started per second")
	f.DurationVar(&config.Duration, "duration", config.Duration, "how long new requests are started")
	f.IntVar(&config.Concurrency, "concurrency", config.Concurrency, "maximum number of requests in progress")
	f.StringVar(&config.Prefix, "prefix", config.Prefix, "prefix of the adapters' names")
	f.IntVar(&config.Adapters, "adapters", config.Adapters, "number of adapters")
	f.StringVar(&config.Version, "adapter-version", config.Version, "version of every adapter")
	f.Float64Var(&config.Skew, "skew", config.Skew, "exponent of the Zipf distribution of adapters, above 1")
	f.Var(&config.Mix, "mix", "weight of each rank")
	f.IntVar(&config.Tokens, "tokens", config.Tokens, "length of each answer in tokens")
	f.DurationVar(&config.Deadline, "deadline", config.Deadline, "how long a caller waits")
	f.Uint64Var(&config.Seed, "seed", config.Seed, "seed of the choice of adapters and ranks")
	format.addFlag(c)
	return c
}

func writeLoadProgress(w io.Writer, r loadgen.Report) {
	sent, served := 0, 0
	for _, rank := range r.Ranks {
		sent += rank.Sent
		served += rank.Served
	}
	_, _ = fmt.Fprintf(w, "%.0f s: %d sent, %d served, %d in progress, %d held back\n", r.Seconds, sent, served, r.InProgress, r.Skipped)
}

func writeLoadTable(w io.Writer, r loadgen.Report) {
	writeRow(w, "RANK", "SENT", "SERVED", "NOT RUN", "UNKNOWN", "WRONG", "P50", "P95", "P99", "MAX")
	for _, k := range r.Ranks {
		writeRow(w, k.Rank.String(), fmt.Sprint(k.Sent), fmt.Sprint(k.Served), fmt.Sprint(k.NotRun), fmt.Sprint(k.Unknown),
			fmt.Sprint(k.Wrong), formatMilliseconds(k.P50Ms), formatMilliseconds(k.P95Ms), formatMilliseconds(k.P99Ms), formatMilliseconds(k.MaxMs))
	}
}

func formatMilliseconds(ms float64) string { return fmt.Sprintf("%.0f ms", ms) }

// checkLoad returns an error if an answer came from another adapter or version
// than the one requested, or if no request was served.
func checkLoad(r loadgen.Report) error {
	served := 0
	for _, rank := range r.Ranks {
		served += rank.Served
	}
	if wrong := r.Wrong(); wrong > 0 {
		return fmt.Errorf("%d answers came from another adapter or version than the one requested", wrong)
	}
	if served == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}
