package cmds

import (
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/base/logs"
	"marigoldwinch.example/marigoldwinch/internal/bench/sample"
)

func newStandInServer() *cobra.Command {
	server := &sample.Server{}
	var listen string
	command := &cobra.Command{
		Use:   "server",
		Short: "Run a stand-in server with slots, a cold start and injectable faults",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			config := net.ListenConfig{}
			listener, err := config.Listen(command.Context(), "tcp", listen)
			if err != nil {
				return errors.Wrap(err, "listen")
			}
			server.Listener = listener
			server.Log = logs.New(os.Stderr, slog.LevelInfo)
			return server.Run(command.Context())
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:0", "IP:PORT to listen on for the daemon beside the server")
	flags.StringVar(&server.Name, "name", "server", "name in responses and logs")
	flags.StringVar(&server.Daemon, "daemon", "", "base URL of the daemon for nested calls")
	flags.IntVar(&server.Slots, "slots", sample.DefaultSlots, "number of requests that run concurrently")
	flags.DurationVar(&server.ServiceTime, "service-time", sample.DefaultServiceTime, "mean service time of a request")
	flags.DurationVar(&server.ColdPeriod, "cold", time.Duration(0), "how long the server is cold after its start")
	flags.StringVar(&server.RunsFile, "record", "", "file that records which requests ran, and survives a kill of the process")
	return command
}
