package cmds

import (
	"os"

	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/base/logs"
	"marigoldwinch.example/marigoldwinch/internal/base/opts"
	"marigoldwinch.example/marigoldwinch/internal/cli/daemon"
)

// settingsVariable names the settings file in the environment.
const settingsVariable = "MARIGOLDWINCH_CONFIG"

func newDaemon() *cobra.Command {
	var file string
	var check bool
	cmd := &cobra.Command{
		Use:   "daemon --settings FILE",
		Short: "Run the daemon beside a server",
		Long: `Runs the daemon until SIGTERM or SIGINT, then stops it gracefully: it announces its departure, refuses new work and
finishes the requests in flight.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := opts.Load(file)
			if err != nil || check {
				return err
			}
			daemon.SetMemory()
			log := logs.New(os.Stdout, settings.LogLevel)
			return (&daemon.Daemon{Settings: settings, Log: log}).Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&file, "settings", os.Getenv(settingsVariable), "settings file, see docs/settings.md; default $"+settingsVariable)
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	if os.Getenv(settingsVariable) == "" {
		_ = cmd.MarkFlagRequired("settings") // the flag exists
	}
	return cmd
}
