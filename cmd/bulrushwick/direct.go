package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

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
	go watchSettings(ctx, file, instance)
	return errors.Join(instance.Run(ctx), decisions.Close())
}

// settingsEvery is the interval at which a change of the settings file is looked
// for; it may come without a signal.
const settingsEvery = 2 * time.Second

// watchSettings reloads the settings on SIGHUP and when the file has changed.
func watchSettings(ctx context.Context, file string, instance *direct.Instance) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	last := modified(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if modified(file).Equal(last) {
				continue
			}
		}
		last = modified(file)
		s, err := direct.LoadSettings(file)
		if err != nil {
			instance.ReloadFailed(err)
			continue
		}
		instance.Reload(s)
	}
}

// modified is when the file was last changed; zero where it can't be read, which
// the next load reports.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
