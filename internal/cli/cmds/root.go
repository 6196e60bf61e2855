// Package cmds holds the commands of marigoldwinch, a file for each.
package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Execute runs the command line and returns the exit status.
func Execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "marigoldwinch:", err)
		return 1
	}
	return 0
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "marigoldwinch",
		Short:         "Load balancer for servers whose load shifts in milliseconds",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(loadCommand(), standInCommand())
	return root
}

func standInCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "stand-in",
		Short: "Run a stand-in for an outside system, for tests and trials",
	}
	command.AddCommand(standInServerCommand())
	return command
}
