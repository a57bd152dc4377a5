package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/bulrushwick/bulrushwick/cmd/internal/check"
)

// errFindings makes check exit with code 1 after it has written its result.
var errFindings = errors.New("the files have findings")

func checkCommand() *cobra.Command {
	var format output
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Find every defect of settings, tables and lists in files",
		Long: "Check settings, settings templates of the platform, manifests, chunks with routes, pools, endpoints and adapters,\n" +
			"the lists of instances and endpoints, and configurations of the platform, as an\n" +
			"instance does. A file's kind is detected from its fields. Chunks are checked together, grouped by the manifests\n" +
			"among the files if there are any. Each finding is a line\n" +
			"file:line:column: path: message.\n\n" +
			"Exit code 0: no findings. Exit code 1: findings. Exit code 2: wrong usage, or a\n" +
			"file can't be read.",
		Example: "  bulrushctl check entry-a.json\n  bulrushctl check manifest.json routes.json pools.json --output json",
		Args: func(cmd *cobra.Command, files []string) error {
			if err := cobra.MinimumNArgs(1)(cmd, files); err != nil {
				return usageError{err}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, files []string) error {
			findings, err := check.Files(files)
			if err != nil {
				return usageError{err}
			}
			if err := writeFindings(cmd.OutOrStdout(), format, findings); err != nil {
				return err
			}
			if len(findings) > 0 {
				return errFindings
			}
			return nil
		},
	}
	format.addFlag(c)
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	return c
}

func writeFindings(w io.Writer, format output, findings []check.Finding) error {
	if findings == nil {
		findings = []check.Finding{} // encodes as [], not null
	}
	return format.write(w, findings, func(w io.Writer) {
		for _, f := range findings {
			_, _ = fmt.Fprintln(w, f)
		}
	})
}
