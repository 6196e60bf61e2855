package cmds

import (
	"context"

	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

func newZone() *cobra.Command {
	cmd := newGroup("zone", "Take an availability zone out of service or back in")
	cmd.AddCommand(
		newZoneState("out NAME", "Take a zone out of service: it gets no new work", config.ZoneOut),
		newZoneState("in NAME", "Take a zone back into service", config.ZoneIn),
	)
	return cmd
}

func newZoneState(use, short string, state config.ZoneState) *cobra.Command {
	return newChange(use, short, cobra.ExactArgs(1),
		func(ctx context.Context, writer *change.Writer, args []string, options change.Options) (change.Result, error) {
			return writer.Zone(ctx, args[0], state, options)
		})
}
