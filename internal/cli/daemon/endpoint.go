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

// endpoint serves requests that need no token: metrics and, on a hosted platform, check-ins and the readiness of the daemon for
// callers.
type endpoint struct {
	handlers []boundHandler
}

type boundHandler struct {
	listener net.Listener
	handler  http.Handler
}

type endpointParts struct {
	fx.In
	Settings  *opts.Settings
	Listeners *Listeners
	Status    *status.Server
	Watch     *watch.Watch
	State     *stateAnnouncer
	Metrics   *stats.Set
	Log       logr.Logger
}

func newEndpoint(parts endpointParts) *endpoint {
	e := &endpoint{}
	if parts.Status != nil {
		checkIns := &checkInHandler{Status: parts.Status, Watch: parts.Watch, Log: parts.Log}
		platformEndpoint := &platform.Endpoint{
			CheckIn: checkIns.checkIn,
			Leave:   checkIns.leave,
			Ready:   parts.State.acceptsCallers,
			Log:     parts.Log,
		}
		e.add(parts.Listeners.CheckIns, platformEndpoint.Handler())
		e.add(parts.Listeners.Ready, platformEndpoint.Handler())
	}
	e.add(parts.Listeners.Metrics, rest.MetricsHandler(parts.Metrics))
	return e
}

func (e *endpoint) add(listener net.Listener, handler http.Handler) {
	if listener != nil {
		e.handlers = append(e.handlers, boundHandler{listener, handler})
	}
}

// Run serves until ctx ends.
func (e *endpoint) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, bound := range e.handlers {
		listener := bound.listener
		server := &http.Server{Handler: bound.handler, ReadHeaderTimeout: endpointHeaderTimeout}
		group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrapf(err, "serve on %s", listener.Addr())
			}
			return nil
		})
		group.Go(func() error {
			<-ctx.Done()
			stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endpointStopTimeout)
			defer cancel()
			_ = server.Shutdown(stopCtx) // a response that the client has not read by now is dropped
			return server.Close()
		})
	}
	<-ctx.Done()
	return group.Wait()
}
