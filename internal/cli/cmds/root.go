// Package cmds defines the commands of marigoldwinch, each in its own file.
package cmds

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Execute runs the command line and returns the exit status.
func Execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// Run runs a command with the arguments and returns its exit status.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	started := false
	root := &cobra.Command{
		Use:              "marigoldwinch",
		Short:            "Load balancer for servers whose load changes within milliseconds",
		SilenceUsage:     true,
		SilenceErrors:    true,
		PersistentPreRun: func(*cobra.Command, []string) { started = true },
	}
	root.AddCommand(newConfig(), newZone(), newServer(), newRollout(), newSettings(), newDaemon(), newDump(), newExplain())
	root.AddCommand(newStandIn(), newLoad(), newLocal(), newBounds())
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	executed, err := root.ExecuteContextC(ctx)
	if err == nil {
		return StatusOK
	}
	if !started { // cobra rejected the command, its flags or its arguments
		err = usagef("%v", err)
	}
	report(executed, errOut, err)
	return exitStatus(err)
}
