package cmds

import (
	"net/netip"

	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

func newServer() *cobra.Command {
	cmd := newGroup("server", "Make a server leave, or return")
	cmd.AddCommand(
		newServerState("leave ADDRESS", "Make the server beside the daemon at ADDRESS leave: it gets no new work", config.ServerLeaving),
		newServerState("return ADDRESS", "Let the server beside the daemon at ADDRESS return", config.ServerIn),
	)
	return cmd
}

func newServerState(use, short string, state config.ServerState) *cobra.Command {
	var p platform
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			address, err := netip.ParseAddrPort(args[0])
			if err != nil {
				return usagef("address %q: want IP:PORT of the server's daemon", args[0])
			}
			writer, err := p.writer(cmd.ErrOrStderr(), true)
			if err != nil {
				return err
			}
			result, err := writer.Server(cmd.Context(), address, state, p.changes)
			if err != nil {
				return err
			}
			return p.writeResult(cmd.OutOrStdout(), result)
		},
	}
	p.addWrite(cmd)
	return cmd
}
