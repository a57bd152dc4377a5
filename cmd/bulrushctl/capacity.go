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
			"Exit code 0 says that the measurements were taken, whatever they say.",
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
			return format.write(cmd.OutOrStdout(), lines, func(w io.Writer) { capacityTable(w, lines) })
		},
	}
	format.flag(c)
	c.Flags().BoolVar(&quick, "quick", false, "small sizes, for a first look")
	return c
}

func capacityTable(w io.Writer, lines []capacity.Line) {
	row(w, "ROLE", "COST", "DRIVER", "MEASURED", "INTERCEPT", "SLOPE", "RESIDUAL", "AT", "COSTS", "OF BOUND")
	for _, l := range lines {
		points := make([]string, len(l.Points))
		for i, p := range l.Points {
			points[i] = fmt.Sprintf("%.0f: %s", p.Size, amount(l.Kind, p.Value))
		}
		share := "-"
		if l.Control {
			share = percent(l.Share())
		}
		row(w, l.Role, l.Cost, l.Driver, strings.Join(points, ", "), amount(l.Kind, l.Fit.Intercept), amount(l.Kind, l.Fit.Slope),
			percent(l.Fit.Residual), fmt.Sprintf("%.4g", l.Target), amountAtTarget(l), share)
	}
	totals := capacity.Totals(lines)
	for _, kind := range []capacity.Kind{capacity.Processor, capacity.Bytes, capacity.Memory, capacity.Reads} {
		row(w, "all control", string(kind), "", "", "", "", "", "", "", percent(totals[kind]))
	}
}

// amount writes a cost in a unit that reads well.
func amount(kind capacity.Kind, value float64) string {
	switch kind {
	case capacity.Processor:
		return fmt.Sprintf("%.4g µs", value*1e6)
	case capacity.Reads:
		return fmt.Sprintf("%.4g", value)
	default:
		return fmt.Sprintf("%.4g B", value)
	}
}

// amountAtTarget writes the cost at full size, a second unless it is memory.
func amountAtTarget(l capacity.Line) string {
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

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }
