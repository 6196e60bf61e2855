// Package daemon assembles the parts of a daemon with fx and runs them.
package daemon

import (
	"cmp"
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

// Run runs the daemon until ctx ends or a task fails. It then stops without aborting requests in flight. When the settings name another
// service, it stops in the same way and starts anew with them.
func (d *Daemon) Run(ctx context.Context) error {
	settings := d.Settings
	for {
		next, err := d.runWith(ctx, settings)
		if err != nil || next == nil || ctx.Err() != nil {
			return err
		}
		settings = next
	}
}

// runWith runs the daemon with the settings. It returns the next ones when these name another service.
func (d *Daemon) runWith(ctx context.Context, settings *opts.Settings) (next *opts.Settings, err error) {
	failures, restarts := make(chan error, 1), make(chan *opts.Settings, 1)
	live := &opts.Reloader{File: d.File, KillAfter: d.KillAfter, Signals: d.Reload, Changed: d.Changed, Log: d.Log}
	live.Restart = func(next *opts.Settings) {
		select {
		case restarts <- next:
		default: // a restart is due already, and reads the file again
		}
	}
	live.Start(settings)
	grace, timeout := settings.StopPeriods()
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(grace+timeout+stopMargin),
		fx.Supply(settings, live, d.Network.orTCP(), failures),
		fx.Provide(func() logr.Logger { return d.Log }),
		fx.Provide(newIncarnation, openListeners),
		shared, fleet, admission, router, administration, rollouts,
		fx.Invoke(registerMetrics, start),
	)
	if err := app.Err(); err != nil {
		return nil, errors.Wrap(err, "assemble daemon")
	}
	if err := app.Start(ctx); err != nil {
		return nil, errors.Wrap(err, "start daemon")
	}
	d.Log.Info("daemon-started", "name", settings.Name, "service", settings.Service, "zone", settings.Zone,
		"callers", settings.Callers, "daemons", settings.Daemons, "admin", settings.Admin)
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-failures:
		d.Log.Error(failure, "part-failed")
	case next = <-restarts:
		d.Log.Info("service-changed", "service", next.Service, "before", settings.Service)
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancel()
	d.Log.Info("daemon-stopping")
	err = app.Stop(stopCtx)
	d.Log.Info("daemon-stopped")
	if next != nil {
		next = d.reread(next)
	}
	return next, errors.CombineErrors(failure, errors.Wrap(err, "stop daemon"))
}

// reread returns the settings in the file, which may have changed once more during the stop, or the given ones if it has become invalid.
func (d *Daemon) reread(next *opts.Settings) *opts.Settings {
	latest, err := opts.Load(d.File)
	if err != nil {
		d.Log.Error(err, "settings-refused", "file", d.File)
		return next
	}
	latest.KillAfter = cmp.Or(d.KillAfter, latest.KillAfter)
	return latest
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
