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
	"marigoldwinch.example/marigoldwinch/internal/route/pool"
	"marigoldwinch.example/marigoldwinch/internal/wire/dgram"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// observed tells the caster which daemons use the server.
type observed struct {
	*gate.Gate
	caster *dgram.Reporter // nil without datagrams
}

// Call implements proto.CallHandler.
func (o observed) Call(peer *proto.Peer, head *proto.Head, stream proto.Stream) error {
	if o.caster != nil {
		o.caster.AddUser(peer.Hello.Address)
	}
	return o.Gate.Call(peer, head, stream)
}

type casterParts struct {
	fx.In
	Settings *opts.Settings
	Network  Network
	Gate     *gate.Gate
	Members  *member.Table
	Reports  *pool.Pool
	Log      logr.Logger
}

// newCaster returns nil when daemons probe instead.
func newCaster(parts casterParts) (*dgram.Reporter, error) {
	if parts.Settings.ReportInterval == 0 || parts.Network.ListenPacket == nil {
		return nil, nil
	}
	conn, err := parts.Network.ListenPacket(parts.Settings.Daemons)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for datagrams on %s", parts.Settings.Daemons)
	}
	parts.Reports.ReportsPushed = true
	return &dgram.Reporter{
		Conn:     conn,
		Interval: parts.Settings.ReportInterval,
		Report:   parts.Gate.Report,
		OnReport: func(report proto.Report, from netip.AddrPort) {
			record, known := parts.Members.Get(report.Server)
			if known && from == report.Server {
				parts.Reports.Service(record.Service).AddReport(report)
			}
		},
		Log: parts.Log,
	}, nil
}

// runCaster waits when there is no caster.
func runCaster(caster *dgram.Reporter) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		if caster == nil {
			<-ctx.Done()
			return nil
		}
		return caster.Run(ctx)
	}
}
