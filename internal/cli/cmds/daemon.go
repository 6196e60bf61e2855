package cmds

import (
	"cmp"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/logs"
	"marigoldwinch.example/marigoldwinch/internal/base/opts"
	"marigoldwinch.example/marigoldwinch/internal/cli/daemon"
)

// notifyReload returns a channel that receives a value for each SIGHUP, and a function that ends it.
func notifyReload() (reload <-chan struct{}, stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	requests := make(chan struct{})
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
			case requests <- struct{}{}:
			}
		}
	}()
	return requests, func() {
		signal.Stop(signals)
		close(done)
	}
}

// settingsEnv is the environment variable that holds the path of the settings file.
const settingsEnv = "MARIGOLDWINCH_CONFIG"

func newDaemon() *cobra.Command {
	var file, killAfter string
	cmd := &cobra.Command{
		Use:   "daemon --settings FILE [--kill-after DURATION]",
		Short: "Run the daemon beside a server",
		Long: `Runs the daemon until SIGTERM or SIGINT, then stops it gracefully: it announces its departure, refuses new work and
finishes the requests in flight.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			reload, stop := notifyReload() // first of all, because SIGHUP ends a process that has not asked for it
			defer stop()
			settings, err := opts.Load(file)
			if err != nil {
				return err
			}
			kill, err := parseKillAfter(killAfter)
			if err != nil {
				return err
			}
			settings.KillAfter = cmp.Or(kill, settings.KillAfter)
			daemon.TuneGC(settings.MemoryMB)
			level := &slog.LevelVar{}
			level.Set(settings.LogLevel)
			out := logs.NewWriter(os.Stdout)
			defer out.Close()
			run := &daemon.Daemon{
				Settings: settings, KillAfter: kill, File: file, Reload: reload, Log: logs.New(out, level),
				Changed: func(changed *opts.Settings) { level.Set(changed.LogLevel) },
			}
			return run.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&file, "settings", os.Getenv(settingsEnv), "settings file, see docs/settings.md; default $"+settingsEnv)
	cmd.Flags().StringVar(&killAfter, "kill-after", "",
		"time from SIGTERM until the process is killed, in place of the setting of that name; empty for the setting")
	if os.Getenv(settingsEnv) == "" {
		_ = cmd.MarkFlagRequired("settings") // the flag exists
	}
	return cmd
}

// parseKillAfter parses the flag of that name. A platform that does not tell the time passes an empty text.
func parseKillAfter(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	killAfter, err := time.ParseDuration(text)
	if err != nil || killAfter < 0 {
		return 0, code.NotRunf(code.BadRequest, "--kill-after: %q is not a duration of 0s or more", text).WithCause(err)
	}
	return killAfter, nil
}
