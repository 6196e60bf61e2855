package cmds

import (
	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

func newZone() *cobra.Command {
	cmd := newGroup("zone", "Take an availability zone out, or bring it back")
	cmd.AddCommand(
		newZoneState("out NAME", "Take a zone out: it gets no new work", config.ZoneOut),
		newZoneState("in NAME", "Bring a zone back", config.ZoneIn),
	)
	return cmd
}

func newZoneState(use, short string, state config.ZoneState) *cobra.Command {
	var p platform
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			writer, err := p.writer(cmd.ErrOrStderr(), true)
			if err != nil {
				return err
			}
			result, err := writer.Zone(cmd.Context(), args[0], state, p.changes)
			if err != nil {
				return err
			}
			return p.writeResult(cmd.OutOrStdout(), result)
		},
	}
	p.addWrite(cmd)
	return cmd
}
