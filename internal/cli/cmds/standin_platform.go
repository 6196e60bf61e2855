package cmds

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
)

const (
	headerTimeout = 5 * time.Second
	stopTimeout   = 5 * time.Second
)

func newStandInPlatform() *cobra.Command {
	var listen string
	var seed uint64
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve an in-memory table and object store with injectable faults; prints the address",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			address, err := netip.ParseAddrPort(listen)
			if err != nil {
				return usagef("--listen %q: want IP:PORT", listen)
			}
			listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
			if err != nil {
				return errors.Wrap(err, "listen")
			}
			if _, err := fmt.Fprintln(cmd.OutOrStdout(), listener.Addr()); err != nil {
				return errors.Wrap(err, "print the address")
			}
			server := &fake.Server{Platform: fake.NewPlatform(seed)}
			return serve(cmd.Context(), listener, server.Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "IP:PORT to listen on; port 0 selects a free one")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the random numbers for faults with a probability")
	return cmd
}

// serve runs an HTTP server until ctx ends, and then waits up to stopTimeout for requests in flight.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		return server.Shutdown(stopping)
	})
	return group.Wait()
}
