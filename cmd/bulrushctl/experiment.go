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
	"github.com/bulrushwick/bulrushwick/cmd/internal/experiment/routes"
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
			strings.Join(slices.Concat(experiment.Names(), routes.Names()), ", ") + "; all of them where none is named.",
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
		names = slices.Concat(experiment.Names(), routes.Names())
	}
	var all []experiment.Result
	var choices []routes.Result
	for _, name := range names {
		if slices.Contains(routes.Names(), name) {
			results, err := runRoutes(name, options)
			if err != nil {
				return err
			}
			choices = append(choices, results...)
			continue
		}
		results, err := runScenario(name, policies, options)
		if err != nil {
			return err
		}
		all = append(all, results...)
	}
	if options.json != "" {
		if err := writeResults(options.json, all, choices); err != nil {
			return err
		}
	}
	if len(choices) > 0 {
		if err := routes.WriteTable(cmd.OutOrStdout(), choices); err != nil || len(all) == 0 {
			return err
		}
	}
	return experiment.WriteTable(cmd.OutOrStdout(), all)
}

// runRoutes runs a scenario of the choice of workers.
func runRoutes(name string, options experimentOptions) ([]routes.Result, error) {
	scenario, err := routes.Load(name)
	if err != nil {
		return nil, err
	}
	scenario.Seeds = options.chosenSeeds(scenario.Seeds)
	policies := routes.Policies()
	if len(options.policies) > 0 {
		policies = slices.DeleteFunc(policies, func(p routes.Policy) bool { return !slices.Contains(options.policies, p.Name) })
	}
	return routes.Run(scenario, policies), nil
}

// chosenSeeds returns the seeds of the options, or else those of a scenario.
func (o experimentOptions) chosenSeeds(own []uint64) []uint64 {
	if len(o.seeds) == 0 {
		return own
	}
	var seeds []uint64
	for _, seed := range o.seeds {
		seeds = append(seeds, uint64(seed))
	}
	return seeds
}

// runScenario runs one scenario, with the seeds of the options in place of its own
// if there are any, and draws its plot if options.plots is set.
func runScenario(name string, policies []experiment.Policy, options experimentOptions) ([]experiment.Result, error) {
	scenario, err := experiment.Load(name)
	if err != nil {
		return nil, err
	}
	scenario.Seeds = options.chosenSeeds(scenario.Seeds)
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
		if i < 0 && slices.ContainsFunc(routes.Policies(), func(p routes.Policy) bool { return p.Name == name }) {
			continue
		}
		if i < 0 {
			return nil, oops.Code("unknown_policy").Errorf("unknown policy %q", name)
		}
		chosen = append(chosen, policies[i])
	}
	return chosen, nil
}

// writeResults writes one array of the results of both kinds.
func writeResults(file string, results []experiment.Result, choices []routes.Result) error {
	all := make([]any, 0, len(results)+len(choices))
	for _, r := range results {
		all = append(all, r)
	}
	for _, r := range choices {
		all = append(all, r)
	}
	data, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o600)
}
