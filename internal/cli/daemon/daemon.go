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
	stopMargin   = 30 * time.Second // for the tasks that stop after the requests in flight have ended
)

// Daemon is one daemon. Set the exported fields before Run.
type Daemon struct {
	Settings  *opts.Settings         // not modified, as daemons may share it
	KillAfter time.Duration          // that of Settings where File does not have it; else 0
	File      string                 // source of the settings, reread when it changes; empty for none
	Reload    <-chan struct{}        // requests an immediate read of the file; may be nil
	Changed   func(s *opts.Settings) // called after each valid change of the file; may be nil
	Network   Network                // TCP when its fields are nil
	Log       logr.Logger
}

// Listeners are the listening sockets of a daemon. They are opened first, so that a wrong address fails the start before anything
// is announced.
type Listeners struct {
	Callers  net.Listener
	Daemons  net.Listener
	Admin    net.Listener
	CheckIns net.Listener // nil unless its address is set
	Ready    net.Listener // nil unless its address is set
	Metrics  net.Listener // nil unless its address is set
}

// Run runs the daemon until ctx ends or a task fails. It then stops without aborting requests in flight.
func (d *Daemon) Run(ctx context.Context) error {
	failures := make(chan error, 1)
	live := &opts.Reloader{File: d.File, KillAfter: d.KillAfter, Signals: d.Reload, Changed: d.Changed, Log: d.Log}
	live.Start(d.Settings)
	grace, timeout := d.Settings.StopPeriods()
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(grace+timeout+stopMargin),
		fx.Supply(d.Settings, live, d.Network.orTCP(), failures),
		fx.Provide(func() logr.Logger { return d.Log }),
		fx.Provide(newIncarnation, openListeners),
		shared, fleet, admission, router, administration, rollouts,
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
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancel()
	d.Log.Info("daemon-stopping")
	err := app.Stop(stopCtx)
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
	for _, entry := range opened {
		if !entry.address.IsValid() {
			continue
		}
		listener, err := network.Listen(entry.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", entry.address)
		}
		*entry.target = listener
		lifecycle.Append(fx.StopHook(func() { _ = listener.Close() })) // a graceful stop has closed it already
	}
	return listeners, nil
}
