package cmds

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/base/logs"
	"marigoldwinch.example/marigoldwinch/internal/base/opts"
	"marigoldwinch.example/marigoldwinch/internal/cli/daemon"
)

// reloads tells of each SIGHUP.
func reloads() (asked <-chan struct{}, stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	told := make(chan struct{})
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-signals:
			}
			select {
			case <-done:
				return
			case told <- struct{}{}:
			}
		}
	}()
	return told, func() {
		signal.Stop(signals)
		close(done)
	}
}

// settingsVariable names the settings file in the environment.
const settingsVariable = "MARIGOLDWINCH_CONFIG"

func newDaemon() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "daemon --settings FILE",
		Short: "Run the daemon beside a server",
		Long: `Runs the daemon until SIGTERM or SIGINT, then stops it gracefully: it announces its departure, refuses new work and
finishes the requests in flight.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := opts.Load(file)
			if err != nil {
				return err
			}
			daemon.TuneGC()
			level := &slog.LevelVar{}
			level.Set(settings.LogLevel)
			reload, stop := reloads()
			defer stop()
			out := logs.NewWriter(os.Stdout)
			defer out.Close()
			run := &daemon.Daemon{
				Settings: settings, File: file, Reload: reload, Log: logs.New(out, level),
				Changed: func(changed *opts.Settings) { level.Set(changed.LogLevel) },
			}
			return run.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&file, "settings", os.Getenv(settingsVariable), "settings file, see docs/settings.md; default $"+settingsVariable)
	if os.Getenv(settingsVariable) == "" {
		_ = cmd.MarkFlagRequired("settings") // the flag exists
	}
	return cmd
}
