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
		Long:    "Run one entry instance that sends requests directly to workers.\nThe settings file defaults to the one that the platform provides.",
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

// memoryShare is the share of the memory limit that the Go runtime may use. The
// rest is for memory that the runtime does not count, such as stacks of the C
// library and socket buffers.
const (
	memoryShare = 0.6
	megabyte    = 1 << 20
)

func runDirect(ctx context.Context, file string, log zerolog.Logger) error {
	if file == "" {
		return errors.New("no settings file given: set --settings")
	}
	s, err := direct.LoadSettings(file)
	if err != nil {
		logFindings(log, file, err)
		return err
	}
	runtime.GOMAXPROCS(1) // an instance is given a share of one core
	debug.SetMemoryLimit(int64(float64(s.MemoryLimitMB) * memoryShare * megabyte))
	decisions := decision.New(decision.DefaultConfig(), os.Stdout, s.Instance)
	instance, err := direct.New(s, direct.Ports{
		Codec: platform.Codec{}, Orderer: platform.NewWorkers(s.Instance), Directory: platform.NewStore(s.StoreAddress, s.StoreReadLimit()),
	}, decisions)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	go watchSettings(ctx, file, instance)
	return errors.Join(instance.Run(ctx), decisions.Close())
}

// settingsPollInterval is the interval at which the settings file is checked for
// changes, since it may be replaced without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings on SIGHUP and when the file has changed, until
// ctx ends.
func watchSettings(ctx context.Context, file string, instance *direct.Instance) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	loaded := modificationTime(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if modificationTime(file).Equal(loaded) {
				continue
			}
		}
		loaded = modificationTime(file)
		s, err := direct.LoadSettings(file)
		if err != nil {
			instance.ReloadFailed(err)
			continue
		}
		instance.Reload(s)
	}
}

// modificationTime returns the modification time of the file. It is zero if the
// file can't be read, which the next load reports.
func modificationTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
