package main

import (
	"fmt"
	"io"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"github.com/bulrushwick/bulrushwick/entry/ingress"
	"github.com/bulrushwick/bulrushwick/entry/operator"
)

func explainCommand() *cobra.Command {
	var format output
	var adapter string
	var limit int
	c := &cobra.Command{
		Use:   "explain OPERATOR-ADDRESS --adapter ADAPTER@VERSION",
		Short: "Show where an instance would send a request now, and why",
		Long: "Ask one instance which worker it would choose for an adapter, which instance\n" +
			"owns each worker, how each candidate scored and which ones were refused. For\n" +
			"an instance of \"bulrushwick direct\" use \"bulrushctl explain direct\".\n\n" +
			"Exit code 0: a worker would be chosen. Exit code 1: none, or the adapter is\n" +
			"not in the tables.",
		Example: "  bulrushctl explain 10.0.0.1:7003 --adapter tolk-0001@v1",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var e ingress.Explanation
			query := url.Values{operator.AdapterParameter: {adapter}}
			if err := getJSON(cmd.Context(), args[0], operator.ExplainPath, query, &e); err != nil {
				return err
			}
			if limit > 0 && len(e.Candidates) > limit {
				e.Candidates = e.Candidates[:limit]
			}
			if err := format.write(cmd.OutOrStdout(), e, func(w io.Writer) { writeExplainTable(w, e) }); err != nil {
				return err
			}
			if len(e.Candidates) == 0 || e.Candidates[0].RefusedBy != "" {
				return fmt.Errorf("no worker of pool %s takes %s", e.Pool, e.Adapter)
			}
			return nil
		},
	}
	c.Flags().StringVar(&adapter, "adapter", "", "adapter and version, as in a request's \"model\" field")
	c.Flags().IntVar(&limit, "limit", 0, "show only so many candidates; 0 shows all")
	_ = c.MarkFlagRequired("adapter")
	format.addFlag(c)
	c.AddCommand(explainDirectCommand())
	return c
}

func writeExplainTable(w io.Writer, e ingress.Explanation) {
	writeRow(w, "WORKER", "DATA CENTRE", "OWNER", "RESIDENT", "LOAD", "SCORE", "WHY")
	for _, c := range e.Candidates {
		writeRow(w, c.Worker, c.DataCentre, c.Owner, fmt.Sprint(c.Resident), fmt.Sprint(c.Load), fmt.Sprintf("%.2f", c.Score), formatReason(c))
	}
}

// formatReason returns what refused a candidate, or the parts of its score.
func formatReason(c ingress.CandidateView) string {
	if c.RefusedBy != "" {
		return "refused by " + c.RefusedBy
	}
	parts := make([]string, len(c.Parts))
	for i, p := range c.Parts {
		parts[i] = fmt.Sprintf("%s %.2f", p.Scorer, p.Score)
	}
	return strings.Join(parts, ", ")
}
