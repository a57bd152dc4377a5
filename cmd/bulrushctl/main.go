// Command bulrushctl is the operators' command line tool: it checks
// configuration, inspects running instances, and runs stand-ins, simulations and
// measurements.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ends := []os.Signal{os.Interrupt, syscall.SIGTERM}
	if !signal.Ignored(syscall.SIGHUP) { // as under nohup
		// A closed terminal ends a command in the same way, so that it ends its processes.
		ends = append(ends, syscall.SIGHUP)
	}
	ctx, stop := signal.NotifyContext(context.Background(), ends...)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "bulrushctl",
		Short:         "Operate, check and measure bulrushwick",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		capacityCommand(),
		checkCommand(),
		demoCommand(),
		experimentCommand(),
		explainCommand(),
		keyscopeCommand(),
		loadCommand(),
		standinCommand(),
		statusCommand(),
		traceCommand(), soakCommand(),
		versionCommand(),
	)
	return root
}
