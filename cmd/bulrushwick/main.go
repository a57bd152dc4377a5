// Command bulrushwick runs an entry instance.
package main

import (
	"context"
	"errors"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/bulrushwick/bulrushwick/cmd/internal/signals"
	"github.com/bulrushwick/bulrushwick/coord/strictjson"
	"github.com/bulrushwick/bulrushwick/entry/daemon"
	"github.com/bulrushwick/bulrushwick/entry/settings"
)

func main() {
	ctx, hangups := signals.Handle()
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if err := rootCommand(log, hangups).ExecuteContext(ctx); err != nil {
		log.Error().Err(err).Str("event", "failed").Send()
		os.Exit(1)
	}
}

// rootCommand returns the command line of a process that receives SIGHUP from hangups.
func rootCommand(log zerolog.Logger, hangups <-chan os.Signal) *cobra.Command {
	root := &cobra.Command{
		Use:           "bulrushwick",
		Short:         "Serve requests against LoRA adapters on a shared fleet of model engines",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	var file string
	serve := &cobra.Command{
		Use:     "serve --settings FILE",
		Short:   "Run one entry instance until it is told to stop",
		Example: "  bulrushwick serve --settings entry-a.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runServe(cmd.Context(), file, hangups, log)
		},
	}
	serve.Flags().StringVar(&file, "settings", "", "settings file in JSON")
	_ = serve.MarkFlagRequired("settings")
	root.AddCommand(serve, directCommand(log, hangups))
	return root
}

func runServe(ctx context.Context, file string, hangups <-chan os.Signal, log zerolog.Logger) error {
	go logHangups(hangups, log)
	s, err := settings.Load(file)
	if err != nil {
		logFindings(log, file, err)
		return err
	}
	runtime.GOMAXPROCS(s.Processors)
	debug.SetMemoryLimit(int64(float64(s.MemoryLimitMB) * memoryShare * megabyte))
	d, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return nil // stopped before a listener was open
	}
	addresses, err := d.Listen()
	if err != nil {
		return err
	}
	log.Info().Str("event", "listening").
		Str("callers", addresses.Callers).
		Str("peers", addresses.Peers).
		Str("control", addresses.Control).
		Str("operator", addresses.Operator).
		Send()
	return d.Run(ctx)
}

// logHangups logs each SIGHUP: settings are read at the start only.
func logHangups(hangups <-chan os.Signal, log zerolog.Logger) {
	for range hangups {
		log.Warn().Str("event", "not_reloaded").Str("message", "changed settings take effect at the next start").Send()
	}
}

// logFindings logs each finding in a settings file.
func logFindings(log zerolog.Logger, file string, err error) {
	var findings strictjson.Findings
	if !errors.As(err, &findings) {
		return
	}
	for _, f := range findings {
		log.Error().Str("event", "settings_finding").
			Str("file", file).Int("line", f.Line).Int("column", f.Column).
			Str("path", f.Path).Str("message", f.Message).
			Send()
	}
}
