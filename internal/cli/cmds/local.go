package cmds

import (
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/base/logs"
	"marigoldwinch.example/marigoldwinch/internal/bench/local"
)

func newLocal() *cobra.Command {
	var verbose bool
	cmd := &cobra.Command{
		Use:   "local",
		Short: "Run a small complete system on loopback addresses, for trials",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			level := slog.LevelWarn
			if verbose {
				level = slog.LevelInfo
			}
			system := &local.System{Out: cmd.OutOrStdout(), Log: logs.New(os.Stderr, level)}
			return system.Run(cmd.Context())
		},
	}
	cmd.Flags().BoolVar(&verbose, "verbose", false, "write events to the standard error output")
	return cmd
}
