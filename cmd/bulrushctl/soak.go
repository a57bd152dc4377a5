package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/bulrushwick/bulrushwick/cmd/internal/soak"
)

// errBroken ends soak with exit code 1 after its result has been written.
var errBroken = errors.New("promises were broken")

// soakReport is the result of all seeds.
type soakReport struct {
	Outcomes []soak.Outcome `json:"outcomes"`
}

func soakCommand() *cobra.Command {
	var format output
	var program string
	var first uint64
	var count, together int
	var faults time.Duration
	c := &cobra.Command{
		Use:   "soak --program PATH",
		Short: "Play faults on processes of an entry instance and check what it promises",
		Long: "Start instances of the program between stand-ins of the users' platform, let\n" +
			"faults strike by a seed, and check what callers and workers see: nothing runs\n" +
			"twice that must not, a refusal is true, answers and events are whole and their\n" +
			"own, one instance orders a worker at a time, no worker is ordered to hold too\n" +
			"much, no configuration goes back, and all is served afterwards.\n\n" +
			"Exit code 0: all kept. Exit code 1: something was broken; the logs stay.",
		Example: "  bulrushctl soak --program ./bulrushwick --first 1 --count 50",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if program == "" {
				var err error
				if program, err = siblingProgram(); err != nil {
					return usageError{err}
				}
			}
			report, err := playSeeds(cmd.Context(), program, first, count, together, faults)
			if err != nil {
				return err
			}
			if err := format.write(cmd.OutOrStdout(), report, report.write); err != nil {
				return err
			}
			return report.err()
		},
	}
	c.Flags().StringVar(&program, "program", "", "the bulrushwick binary; by default the one beside this program")
	c.Flags().Uint64Var(&first, "first", 1, "the first seed")
	c.Flags().IntVar(&count, "count", 1, "the number of seeds")
	c.Flags().IntVar(&together, "together", 2, "the number of seeds that are played at once")
	c.Flags().DurationVar(&faults, "faults", soak.DefaultConfig("", 0).FaultDuration, "how long faults strike")
	format.flag(c)
	return c
}

// siblingProgram is the bulrushwick binary beside this one.
func siblingProgram() (string, error) {
	own, err := os.Executable()
	if err != nil {
		return "", err
	}
	program := filepath.Join(filepath.Dir(own), "bulrushwick")
	_, err = os.Stat(program)
	return program, err
}

func playSeeds(ctx context.Context, program string, first uint64, count, together int, faults time.Duration) (soakReport, error) {
	report := soakReport{Outcomes: make([]soak.Outcome, count)}
	var group errgroup.Group
	group.SetLimit(max(together, 1))
	for n := range count {
		group.Go(func() error {
			config := soak.DefaultConfig(program, first+uint64(n))
			config.FaultDuration = faults
			outcome, err := soak.Run(ctx, config)
			report.Outcomes[n] = outcome
			return err
		})
	}
	return report, group.Wait()
}

func (r soakReport) write(w io.Writer) {
	for _, o := range r.Outcomes {
		_, _ = fmt.Fprintf(w, "seed %d: %d faults, %d requests, %d served, %d orders, %d promises broken\n",
			o.Seed, o.Faults, o.Requests, o.Served, o.Orders, len(o.Broken))
		for _, line := range o.Broken[:min(len(o.Broken), shownBroken)] {
			_, _ = fmt.Fprintf(w, "  %s\n", line)
		}
		if o.Logs != "" {
			_, _ = fmt.Fprintf(w, "  logs: %s\n", o.Logs)
		}
	}
}

// shownBroken bounds the broken promises that are shown of a seed.
const shownBroken = 10

func (r soakReport) err() error {
	for _, o := range r.Outcomes {
		if len(o.Broken) > 0 {
			return errBroken
		}
	}
	return nil
}
