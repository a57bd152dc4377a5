package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/bulrushwick/bulrushwick/cmd/internal/capacity"
)

func capacityCommand() *cobra.Command {
	var format output
	var quick bool
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure what each role costs and work out the cost at full size",
		Long: "Measure what each role of an instance costs at four sizes in this process,\n" +
			"fit a line to it and work out the cost at full size, beside the bound.\n" +
			"Exit code 0: the measurements were taken, also if a cost exceeds its bound.",
		Example: "  bulrushctl capacity\n  bulrushctl capacity --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			sizes := capacity.Full()
			if quick {
				sizes = capacity.Quick()
			}
			lines, err := capacity.Run(sizes, func(name string) {
				_, _ = fmt.Fprintln(cmd.ErrOrStderr(), "measuring", name)
			})
			if err != nil {
				return err
			}
			return format.write(cmd.OutOrStdout(), lines, func(w io.Writer) { writeCapacityTable(w, lines) })
		},
	}
	format.addFlag(c)
	c.Flags().BoolVar(&quick, "quick", false, "small sizes, for a first look")
	return c
}

func writeCapacityTable(w io.Writer, lines []capacity.Line) {
	writeRow(w, "ROLE", "COST", "DRIVER", "MEASURED", "INTERCEPT", "SLOPE", "RESIDUAL", "AT", "COSTS", "OF BOUND")
	for _, l := range lines {
		points := make([]string, len(l.Points))
		for i, p := range l.Points {
			points[i] = fmt.Sprintf("%.0f: %s", p.Size, formatCost(l.Kind, p.Value))
		}
		share := "-"
		if l.Control {
			share = formatPercent(l.Share())
		}
		writeRow(w, l.Role, l.Cost, l.Driver, strings.Join(points, ", "), formatCost(l.Kind, l.Fit.Intercept), formatCost(l.Kind, l.Fit.Slope),
			formatPercent(l.Fit.Residual), fmt.Sprintf("%.4g", l.Target), formatCostAtTarget(l), share)
	}
	totals := capacity.Totals(lines)
	for _, kind := range []capacity.Kind{capacity.Processor, capacity.Bytes, capacity.Memory, capacity.Reads} {
		writeRow(w, "all control", string(kind), "", "", "", "", "", "", "", formatPercent(totals[kind]))
	}
}

// formatCost formats a cost in the unit of its kind: microseconds, a plain number
// or bytes.
func formatCost(kind capacity.Kind, value float64) string {
	switch kind {
	case capacity.Processor:
		return fmt.Sprintf("%.4g µs", value*1e6)
	case capacity.Reads:
		return fmt.Sprintf("%.4g", value)
	default:
		return fmt.Sprintf("%.4g B", value)
	}
}

// formatCostAtTarget formats the cost at full size, per second except for memory.
func formatCostAtTarget(l capacity.Line) string {
	switch l.Kind {
	case capacity.Processor:
		return fmt.Sprintf("%.3f%% of a core", 100*l.AtTarget())
	case capacity.Bytes:
		return fmt.Sprintf("%.0f B/s", l.AtTarget())
	case capacity.Reads:
		return fmt.Sprintf("%.0f reads/s", l.AtTarget())
	default:
		return fmt.Sprintf("%.2f MB", l.AtTarget()/(1<<20))
	}
}

func formatPercent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }
