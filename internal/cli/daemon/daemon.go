// Package daemon assembles the parts of a daemon with fx and runs them.
package daemon

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/base/opts"
)

const (
	startTimeout = 15 * time.Second
	stopMargin   = 30 * time.Second // for the parts that stop after the requests in flight
)

// Daemon is one daemon. Set the exported fields before Run.
type Daemon struct {
	Settings *opts.Settings
	File     string                 // that the settings come from; followed while the daemon runs; empty for none
	Reload   <-chan struct{}        // asks for reading the file now; may be nil
	Changed  func(s *opts.Settings) // called with each valid change of the file; may be nil
	Network  Network                // TCP when its fields are nil
	Log      logr.Logger
}

// Listeners are the open listening sockets of a daemon. They are opened first, so that a wrong address stops the start
// before anything is announced.
type Listeners struct {
	Callers  net.Listener
	Daemons  net.Listener
	Admin    net.Listener
	CheckIns net.Listener // nil unless the settings name its address
	Ready    net.Listener // the same
	Metrics  net.Listener // the same
}

// Run starts the daemon, runs it until ctx ends or a part fails, and stops it without cutting requests in flight.
func (d *Daemon) Run(ctx context.Context) error {
	failures := make(chan error, 1)
	live := &opts.Reloader{File: d.File, Signals: d.Reload, Changed: d.Changed, Log: d.Log}
	live.Start(d.Settings)
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(d.Settings.StopGrace+d.Settings.StopTimeout+stopMargin),
		fx.Supply(d.Settings, live, d.Network.orTCP(), failures),
		fx.Provide(func() logr.Logger { return d.Log }),
		fx.Provide(newIncarnation, openListeners),
		shared, fleet, admission, router, administration,
		fx.Invoke(registerMetrics, start),
	)
	if err := app.Err(); err != nil {
		return errors.Wrap(err, "assemble daemon")
	}
	if err := app.Start(ctx); err != nil {
		return errors.Wrap(err, "start daemon")
	}
	d.Log.Info("daemon-started", "name", d.Settings.Name, "service", d.Settings.Service, "zone", d.Settings.Zone,
		"callers", d.Settings.Callers, "daemons", d.Settings.Daemons, "admin", d.Settings.Admin)
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-failures:
		d.Log.Error(failure, "part-failed")
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancel()
	d.Log.Info("daemon-stopping")
	err := app.Stop(stopping)
	d.Log.Info("daemon-stopped")
	return errors.CombineErrors(failure, errors.Wrap(err, "stop daemon"))
}

func newIncarnation() ident.Incarnation {
	return ident.NewIncarnation(time.Now())
}

func openListeners(settings *opts.Settings, network Network, lifecycle fx.Lifecycle) (*Listeners, error) {
	listeners := &Listeners{}
	opened := []struct {
		target  *net.Listener
		address netip.AddrPort
	}{
		{&listeners.Callers, settings.Callers},
		{&listeners.Daemons, settings.DaemonsListenAddr()},
		{&listeners.Admin, settings.Admin},
		{&listeners.CheckIns, settings.CheckIns},
		{&listeners.Ready, settings.Ready},
		{&listeners.Metrics, settings.Metrics},
	}
	for _, one := range opened {
		if !one.address.IsValid() {
			continue
		}
		listener, err := network.Listen(one.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", one.address)
		}
		*one.target = listener
		lifecycle.Append(fx.StopHook(func() { _ = listener.Close() })) // closed already after a graceful stop
	}
	return listeners, nil
}
