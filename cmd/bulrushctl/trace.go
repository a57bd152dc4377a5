package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/bulrushwick/bulrushwick/entry/decision/trace"
)

// errNoLines makes trace exit with code 1 if no log line names the request.
var errNoLines = errors.New("no line of these logs names the request")

func traceCommand() *cobra.Command {
	var format output
	c := &cobra.Command{
		Use:   "trace REQUEST-ID FILE...",
		Short: "Gather a request's decisions from the logs of several instances",
		Long: "Show the log lines of a request in order of time, the line that decided how it\n" +
			"ended, and the changes of its worker and of the instance shortly before.\n\n" +
			"Exit code 0: found. Exit code 1: no line names the request.",
		Example: "  bulrushctl trace 9c41d07be2a35f68 entry-0.log entry-1.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			requestTrace, err := trace.FromFiles(args[0], args[1:])
			if err != nil {
				return usageError{err}
			}
			if len(requestTrace.Lines) == 0 {
				return errNoLines
			}
			return format.write(cmd.OutOrStdout(), requestTrace, func(w io.Writer) { writeTrace(w, requestTrace) })
		},
	}
	format.addFlag(c)
	return c
}

// writeTrace writes the request's lines, the one that decided its outcome, and
// the related changes shortly before.
func writeTrace(w io.Writer, requestTrace trace.RequestTrace) {
	for _, line := range requestTrace.Lines {
		_, _ = fmt.Fprintln(w, line)
	}
	if requestTrace.Cause != nil {
		_, _ = fmt.Fprintf(w, "\ndecided by: %s\n", requestTrace.Cause)
	}
	for _, line := range requestTrace.RelatedChanges {
		_, _ = fmt.Fprintf(w, "shortly before: %s\n", line)
	}
}
