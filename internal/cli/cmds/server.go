package cmds

import (
	"context"
	"net/netip"

	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

func newServer() *cobra.Command {
	cmd := newGroup("server", "Make a server leave or return")
	cmd.AddCommand(
		newServerState("leave ADDRESS", "Make the server beside the daemon at ADDRESS leave: it gets no new work", config.ServerLeaving),
		newServerState("return ADDRESS", "Let the server beside the daemon at ADDRESS return", config.ServerIn),
	)
	return cmd
}

func newServerState(use, short string, state config.ServerState) *cobra.Command {
	return newChange(use, short, cobra.ExactArgs(1),
		func(ctx context.Context, writer *change.Writer, args []string, options change.Options) (change.Result, error) {
			address, err := netip.ParseAddrPort(args[0])
			if err != nil {
				return change.Result{}, usagef("address %q: want IP:PORT of the server's daemon", args[0])
			}
			return writer.Server(ctx, address, state, options)
		})
}
