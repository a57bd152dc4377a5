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

// errViolations makes soak exit with code 1 after it has written its result.
var errViolations = errors.New("guarantees were violated")

// soakReport holds the outcomes of all seeds, in the order of the seeds.
type soakReport struct {
	Outcomes []soak.Outcome `json:"outcomes"`
}

func soakCommand() *cobra.Command {
	var format output
	var program string
	var firstSeed uint64
	var seedCount, concurrency int
	var faultDuration time.Duration
	c := &cobra.Command{
		Use:   "soak --program PATH",
		Short: "Inject faults into entry instances and check their guarantees",
		Long: "Start instances of the program between stand-ins of the users' platform, inject\n" +
			"faults chosen by a seed, and check what callers and workers see: nothing runs twice\n" +
			"that must not, a refused request has not run, answers and events are complete and\n" +
			"belong to their request, one instance at a time orders a worker, never to hold too\n" +
			"much, no older configuration comes back, a new one takes effect in time though\n" +
			"the connections to the store are silent, and all requests are served afterwards.\n\n" +
			"Exit code 0: all guarantees held. Exit code 1: one was violated; the logs stay.",
		Example: "  bulrushctl soak --program ./bulrushwick --first 1 --count 50",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if program == "" {
				var err error
				if program, err = siblingProgram(); err != nil {
					return usageError{err}
				}
			}
			report, err := runSeeds(cmd.Context(), program, firstSeed, seedCount, concurrency, faultDuration)
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
	c.Flags().Uint64Var(&firstSeed, "first", 1, "the first seed")
	c.Flags().IntVar(&seedCount, "count", 1, "the number of seeds")
	c.Flags().IntVar(&concurrency, "together", 2, "the number of seeds that run at once")
	c.Flags().DurationVar(&faultDuration, "faults", soak.DefaultConfig("", 0).FaultDuration, "how long faults are injected")
	format.addFlag(c)
	return c
}

// siblingProgram returns the path of the bulrushwick binary in the directory of
// this program. It fails if there is none.
func siblingProgram() (string, error) {
	executable, err := os.Executable()
	if err != nil {
		return "", err
	}
	program := filepath.Join(filepath.Dir(executable), "bulrushwick")
	_, err = os.Stat(program)
	return program, err
}

// runSeeds runs seedCount soaks with consecutive seeds, at most concurrency of
// them at once. Its error says that a soak could not run; violations are in the
// report.
func runSeeds(ctx context.Context, program string, firstSeed uint64, seedCount, concurrency int, faultDuration time.Duration) (soakReport, error) {
	report := soakReport{Outcomes: make([]soak.Outcome, seedCount)}
	var group errgroup.Group
	group.SetLimit(max(concurrency, 1))
	for n := range seedCount {
		group.Go(func() error {
			config := soak.DefaultConfig(program, firstSeed+uint64(n))
			config.FaultDuration = faultDuration
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
		for _, line := range o.Broken[:min(len(o.Broken), maxShownViolations)] {
			_, _ = fmt.Fprintf(w, "  %s\n", line)
		}
		if o.Logs != "" {
			_, _ = fmt.Fprintf(w, "  logs: %s\n", o.Logs)
		}
	}
}

// maxShownViolations is the maximum number of violations that write shows of a
// seed.
const maxShownViolations = 10

// err returns errViolations if any seed has violations.
func (r soakReport) err() error {
	for _, o := range r.Outcomes {
		if len(o.Broken) > 0 {
			return errViolations
		}
	}
	return nil
}
