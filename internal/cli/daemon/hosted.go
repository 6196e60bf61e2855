package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"marigoldwinch.example/marigoldwinch/internal/admin/rest"
	"marigoldwinch.example/marigoldwinch/internal/admit/status"
	"marigoldwinch.example/marigoldwinch/internal/base/opts"
	"marigoldwinch.example/marigoldwinch/internal/base/stats"
	"marigoldwinch.example/marigoldwinch/internal/fleet/watch"
	"marigoldwinch.example/marigoldwinch/platform"
)

const (
	endpointHeaderTimeout = time.Second
	endpointStopTimeout   = 100 * time.Millisecond
)

// endpoint serves what is asked without a token: metrics, and on a hosted platform check-ins and whether the daemon takes
// callers.
type endpoint struct {
	served []served
}

type served struct {
	listener net.Listener
	handler  http.Handler
}

type endpointParts struct {
	fx.In
	Settings  *opts.Settings
	Listeners *Listeners
	Status    *status.Server
	Watch     *watch.Watch
	State     *stateKeeper
	Metrics   *stats.Set
	Log       logr.Logger
}

func newEndpoint(parts endpointParts) *endpoint {
	made := &endpoint{}
	if parts.Status != nil {
		kept := &departures{Status: parts.Status, Watch: parts.Watch, Log: parts.Log}
		hosted := &platform.Endpoint{
			CheckIn: kept.checkIn,
			Leave:   kept.leave,
			Ready:   parts.State.takesCallers,
			Log:     parts.Log,
		}
		made.add(parts.Listeners.CheckIns, hosted.Handler())
		made.add(parts.Listeners.Ready, hosted.Handler())
	}
	made.add(parts.Listeners.Metrics, rest.MetricsHandler(parts.Metrics))
	return made
}

func (e *endpoint) add(listener net.Listener, handler http.Handler) {
	if listener != nil {
		e.served = append(e.served, served{listener, handler})
	}
}

// Run serves until ctx ends.
func (e *endpoint) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, one := range e.served {
		listener := one.listener
		server := &http.Server{Handler: one.handler, ReadHeaderTimeout: endpointHeaderTimeout}
		group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrapf(err, "serve on %s", listener.Addr())
			}
			return nil
		})
		group.Go(func() error {
			<-ctx.Done()
			stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), endpointStopTimeout)
			defer cancel()
			_ = server.Shutdown(stopping) // an answer that is not taken is of no use after the stop
			return server.Close()
		})
	}
	<-ctx.Done()
	return group.Wait()
}
