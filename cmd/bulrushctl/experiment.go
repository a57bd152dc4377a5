package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/bulrushwick/bulrushwick/cmd/internal/experiment"
)

// experimentOptions are the flags of the experiment command.
type experimentOptions struct {
	json     string
	plots    string
	policies []string
	seeds    []uint
}

func experimentCommand() *cobra.Command {
	var options experimentOptions
	c := &cobra.Command{
		Use:   "experiment [scenario or file]...",
		Short: "Measure placement, loads and ranks on scenarios, beside baselines",
		Long: "Measure placement, loads and ranks on scenarios, beside baselines.\n\nScenarios: " +
			strings.Join(experiment.Names(), ", ") + "; all of them where none is named.",
		Example: "  bulrushctl experiment silttolge-steady\n  bulrushctl experiment --json result.json --policy bulrushwick scenario.json",
		RunE: func(cmd *cobra.Command, args []string) error {
			return runExperiment(cmd, args, options)
		},
	}
	c.Flags().StringVar(&options.json, "json", "", "write the results to this file")
	c.Flags().StringVar(&options.plots, "plots", "", "draw each scenario's tokens over time into this directory, as SVG")
	c.Flags().StringSliceVar(&options.policies, "policy", nil, "run only these policies")
	c.Flags().UintSliceVar(&options.seeds, "seeds", nil, "run these seeds in place of the scenario's")
	return c
}

func runExperiment(cmd *cobra.Command, names []string, options experimentOptions) error {
	policies, err := choosePolicies(options.policies)
	if err != nil {
		return err
	}
	if len(names) == 0 {
		names = experiment.Names()
	}
	var all []experiment.Result
	for _, name := range names {
		results, err := runScenario(name, policies, options)
		if err != nil {
			return err
		}
		all = append(all, results...)
	}
	if options.json != "" {
		if err := writeResults(options.json, all); err != nil {
			return err
		}
	}
	return experiment.WriteTable(cmd.OutOrStdout(), all)
}

// runScenario runs one scenario, with the seeds of the options in place of its own
// if there are any, and draws its plot if options.plots is set.
func runScenario(name string, policies []experiment.Policy, options experimentOptions) ([]experiment.Result, error) {
	scenario, err := experiment.Load(name)
	if err != nil {
		return nil, err
	}
	if len(options.seeds) > 0 {
		scenario.Seeds = nil
		for _, seed := range options.seeds {
			scenario.Seeds = append(scenario.Seeds, uint64(seed))
		}
	}
	results, err := experiment.Run(scenario, policies)
	if err != nil || options.plots == "" {
		return results, err
	}
	return results, experiment.Plot(results, filepath.Join(options.plots, scenario.Name+".svg"))
}

// choosePolicies returns the policies with these names, or all without names.
func choosePolicies(names []string) ([]experiment.Policy, error) {
	policies := experiment.Policies()
	if len(names) == 0 {
		return policies, nil
	}
	var chosen []experiment.Policy
	for _, name := range names {
		i := slices.IndexFunc(policies, func(p experiment.Policy) bool { return p.Name == name })
		if i < 0 {
			return nil, oops.Code("unknown_policy").Errorf("unknown policy %q", name)
		}
		chosen = append(chosen, policies[i])
	}
	return chosen, nil
}

func writeResults(file string, results []experiment.Result) error {
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o600)
}
