package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// output is the output format of a command, set by its --output flag.
type output struct{ name string }

// Output formats.
const (
	tableOutput = "table"
	jsonOutput  = "json"
)

// addFlag adds the --output flag and its completions to a command.
func (o *output) addFlag(c *cobra.Command) {
	c.Flags().StringVarP(&o.name, "output", "o", tableOutput, "format of the result: table or json")
	_ = c.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{tableOutput, jsonOutput}, cobra.ShellCompDirectiveNoFileComp))
}

// write writes value as indented JSON, or the tab-separated lines of writeRows as
// an aligned table. An unknown format is a usage error.
func (o *output) write(w io.Writer, value any, writeRows func(w io.Writer)) error {
	switch o.name {
	case jsonOutput:
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case tableOutput:
		aligned := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		writeRows(aligned)
		return aligned.Flush()
	default:
		return usageError{fmt.Errorf("--output %q is not table or json", o.name)}
	}
}

// writeRow writes one tab-separated line of a table.
func writeRow(w io.Writer, cells ...string) {
	_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
}
