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

	"marigoldwinch.example/marigoldwinch/internal/admit/own"
	"marigoldwinch.example/marigoldwinch/internal/base/opts"
	"marigoldwinch.example/marigoldwinch/platform"
)

const (
	endpointHeaderTimeout = time.Second
	endpointStopTimeout   = 100 * time.Millisecond
)

// endpoint serves check-ins and the question whether the daemon takes callers. It has no listener without a hosted platform.
type endpoint struct {
	listeners []net.Listener
	handler   http.Handler
}

type endpointParts struct {
	fx.In
	Settings  *opts.Settings
	Listeners *Listeners
	Own       *own.Server
	State     *stateKeeper
	Log       logr.Logger
}

func newEndpoint(parts endpointParts) *endpoint {
	if parts.Own == nil {
		return &endpoint{}
	}
	served := &platform.Endpoint{
		CheckIn: parts.Own.CheckIn,
		Leave:   parts.Own.Leave,
		Ready:   parts.State.takesCallers,
		Log:     parts.Log,
	}
	made := &endpoint{handler: served.Handler()}
	for _, listener := range []net.Listener{parts.Listeners.CheckIns, parts.Listeners.Ready} {
		if listener != nil {
			made.listeners = append(made.listeners, listener)
		}
	}
	return made
}

// Run serves until ctx ends.
func (e *endpoint) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, listener := range e.listeners {
		server := &http.Server{Handler: e.handler, ReadHeaderTimeout: endpointHeaderTimeout}
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
