package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Show what this program was built from",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), version())
			return err
		},
	}
}

// version returns the commit, if the build recorded it, whether the working tree
// was modified, and the Go release.
func version() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return "bulrushctl (no build information)"
	}
	commit, modified := "unknown commit", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			commit = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = " with changes"
		}
	}
	return fmt.Sprintf("bulrushctl %s%s, %s", commit, modified, info.GoVersion)
}
