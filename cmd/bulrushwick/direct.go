package main

import (
	"context"
	"errors"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/bulrushwick/bulrushwick/entry/decision"
	"github.com/bulrushwick/bulrushwick/entry/direct"
	"github.com/bulrushwick/bulrushwick/platform"
)

func directCommand(log zerolog.Logger, hangups <-chan os.Signal) *cobra.Command {
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
			return runDirect(cmd.Context(), file, hangups, log)
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

func runDirect(ctx context.Context, file string, hangups <-chan os.Signal, log zerolog.Logger) error {
	if file == "" {
		return errors.New("no settings file given: set --settings")
	}
	loaded := versionOf(file)
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
	go watchSettings(file, loaded, hangups, instance)
	return errors.Join(instance.Run(ctx), decisions.Close())
}

// settingsPollInterval is the interval at which the settings file is checked for
// changes, since it may be replaced without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings at each hangup, and when the file is no longer of
// the version that was loaded. It runs until the process exits: the handler of hangups
// must outlast a graceful stop.
func watchSettings(file string, loaded fileVersion, hangups <-chan os.Signal, instance *direct.Instance) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	failure := "" // of the latest reload
	for {
		requested := false
		select {
		case <-hangups:
			requested = true
		case <-ticker.C:
			if versionOf(file) == loaded && failure == "" {
				continue
			}
		}
		version := versionOf(file)
		s, err := direct.LoadSettings(file)
		if err != nil {
			// A failed load is repeated, since the file may be in the middle of being written.
			if requested || err.Error() != failure {
				instance.ReloadFailed(err)
			}
			failure = err.Error()
			continue
		}
		loaded, failure = version, ""
		instance.Reload(s)
	}
}

// fileVersion distinguishes versions of a file; it is zero if the file can't be read.
type fileVersion struct {
	modified time.Time
	size     int64
}

func versionOf(file string) fileVersion {
	info, err := os.Stat(file)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{modified: info.ModTime(), size: info.Size()}
}
