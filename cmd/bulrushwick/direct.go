package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/bulrushwick/bulrushwick/entry/decision"
	"github.com/bulrushwick/bulrushwick/entry/direct"
	"github.com/bulrushwick/bulrushwick/platform"
)

func directCommand(log zerolog.Logger) *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:     "direct --settings FILE",
		Short:   "Run one entry instance on the users' platform",
		Long:    "Run one entry instance that sends requests straight to workers.\nThe settings file defaults to the one that the platform names.",
		Example: "  bulrushwick direct --settings entry-a.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				file = platform.SettingsFile()
			}
			return runDirect(cmd.Context(), file, log)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file in JSON")
	return c
}

// Shares of the memory limit. The rest is for what the Go runtime does not
// count: stacks of the C library and bytes in sockets.
const (
	memoryShare = 0.6
	megabyte    = 1 << 20
)

func runDirect(ctx context.Context, file string, log zerolog.Logger) error {
	if file == "" {
		return errors.New("no settings file is given")
	}
	s, err := direct.LoadSettings(file)
	if err != nil {
		logFindings(log, file, err)
		return err
	}
	runtime.GOMAXPROCS(1) // an instance has a part of one core
	debug.SetMemoryLimit(int64(float64(s.MemoryLimitMB) * memoryShare * megabyte))
	decisions := decision.New(decision.DefaultConfig(), os.Stdout, s.Instance)
	instance, err := direct.New(s, direct.Ports{
		Codec: platform.Codec{}, Orderer: platform.NewWorkers(s.Instance), Directory: platform.NewStore(s.StoreAddress),
	}, decisions)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return errors.Join(instance.Run(ctx), decisions.Close())
}
