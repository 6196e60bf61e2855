package daemon

import (
	"context"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"marigoldwinch.example/marigoldwinch/internal/admit/gate"
	"marigoldwinch.example/marigoldwinch/internal/base/opts"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/quota/permit"
	"marigoldwinch.example/marigoldwinch/internal/route/pool"
	"marigoldwinch.example/marigoldwinch/internal/wire/dgram"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

type reporterParts struct {
	fx.In
	Settings *opts.Settings
	Network  Network
	Gate     *gate.Gate
	Members  *member.Table
	Reports  *pool.Pool
	Caps     *permit.Agent
	Log      logr.Logger
}

// newReporter returns nil when load is not asked for in datagrams; daemons then probe for reports.
func newReporter(parts reporterParts) (*dgram.Reporter, error) {
	if !parts.Settings.LoadQueries || parts.Network.ListenPacket == nil {
		return nil, nil
	}
	conn, err := parts.Network.ListenPacket(parts.Settings.Daemons)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for datagrams on %s", parts.Settings.Daemons)
	}
	r := &dgram.Reporter{
		Conn:   conn,
		Report: parts.Gate.Report,
		OnReport: func(report proto.Report, from netip.AddrPort) {
			record, known := parts.Members.Get(report.Server)
			if known && from == report.Server {
				parts.Reports.Service(record.Service).AddReport(report)
			}
		},
		Permits: parts.Caps,
		Log:     parts.Log,
	}
	parts.Reports.Ask = r.Ask
	parts.Caps.Client = r
	return r, nil
}

// runReporter only waits for the end of ctx when reporter is nil.
func runReporter(reporter *dgram.Reporter) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		if reporter == nil {
			<-ctx.Done()
			return nil
		}
		return reporter.Run(ctx)
	}
}
