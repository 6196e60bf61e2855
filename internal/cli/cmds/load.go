package cmds

import (
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/base/logs"
	"marigoldwinch.example/marigoldwinch/internal/bench/load"
)

const (
	loadConnections    = 2048
	loadConnectTimeout = 2 * time.Second
)

func newLoad() *cobra.Command {
	var plot string
	command := &cobra.Command{
		Use:   "load PLAN",
		Short: "Send planned requests at a fixed rate and report latency and outcomes",
		Long: `Sends requests at their planned times, even while earlier ones are in flight, and measures latency from the planned time.
Checks that each response belongs to its request and that no request marked once ran twice.
Exits with status 1 when one of these checks fails.`,
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			plan, err := load.ParsePlan(args[0])
			if err != nil {
				return err
			}
			return runLoad(command, plan, plot)
		},
	}
	command.Flags().StringVar(&plot, "plot", "", "write a latency plot to this file (.svg, .png or .pdf)")
	return command
}

func runLoad(command *cobra.Command, plan *load.Plan, plot string) error {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: loadConnectTimeout}).DialContext,
		MaxIdleConns:        loadConnections,
		MaxIdleConnsPerHost: loadConnections,
		DisableCompression:  true,
	}
	run := &load.Run{
		Plan:   *plan,
		Client: &http.Client{Transport: transport},
		Log:    logs.New(os.Stderr, slog.LevelInfo),
	}
	result, err := run.Do(command.Context())
	if err != nil {
		return err
	}
	if err := result.Write(command.OutOrStdout()); err != nil {
		return errors.Wrap(err, "write result")
	}
	if plot != "" {
		if err := result.Plot(plot); err != nil {
			return err
		}
	}
	if broken := result.Violations(); len(broken) > 0 {
		return errors.Newf("checks failed: %v", broken)
	}
	return nil
}
