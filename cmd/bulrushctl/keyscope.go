package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/bulrushwick/bulrushwick/cmd/internal/keyscope"
)

func keyscopeCommand() *cobra.Command {
	var format output
	c := &cobra.Command{
		Use:   "keyscope",
		Short: "Compare who may own idempotency keys, under faults",
		Long: "Compare scopes of idempotency key ownership: a data centre, a region or all.\n" +
			"Simulates the records in virtual time and counts the orders that end refused\n" +
			"or unknown. Exit code 0: no key ran twice.",
		Example: "  bulrushctl keyscope",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var results []keyscope.Result
			for _, fault := range keyscope.Faults() {
				for _, scope := range keyscope.Scopes() {
					result, err := keyscope.Run(scope, fault)
					if err != nil {
						return err
					}
					results = append(results, result)
				}
			}
			return format.write(cmd.OutOrStdout(), results, func(w io.Writer) { writeKeyscopeTable(w, results) })
		},
	}
	format.addFlag(c)
	return c
}

func writeKeyscopeTable(out io.Writer, results []keyscope.Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "FAULT\tSCOPE\tORDERS\tREFUSED %\tUNKNOWN %")
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.3f\t%.3f\n", r.Fault, r.Scope, r.Orders, 100*r.Refused, 100*r.Unknown)
	}
	_ = w.Flush()
}
