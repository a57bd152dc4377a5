package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/bulrushwick/bulrushwick/entry/decision/trace"
)

var errNoLines = errors.New("no line of these logs names the request")

func traceCommand() *cobra.Command {
	var format output
	c := &cobra.Command{
		Use:   "trace REQUEST-ID FILE...",
		Short: "Gather a request's decisions from the logs of several instances",
		Long: "Order what the logs say of a request, and name the line that decided how it\n" +
			"ended and what was learned of its worker shortly before.\n\n" +
			"Exit code 0: found. Exit code 1: no line names the request.",
		Example: "  bulrushctl trace 9c41d07be2a35f68 entry-0.log entry-1.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			account, err := trace.FromFiles(args[0], args[1:])
			if err != nil {
				return usageError{err}
			}
			if len(account.Lines) == 0 {
				return errNoLines
			}
			return format.write(cmd.OutOrStdout(), account, func(w io.Writer) { writeAccount(w, account) })
		},
	}
	format.flag(c)
	return c
}

func writeAccount(w io.Writer, account trace.RequestTrace) {
	for _, line := range account.Lines {
		_, _ = fmt.Fprintln(w, line)
	}
	if account.Cause != nil {
		_, _ = fmt.Fprintf(w, "\ndecided by: %s\n", account.Cause)
	}
	for _, line := range account.RelatedChanges {
		_, _ = fmt.Fprintf(w, "shortly before: %s\n", line)
	}
}
