// Package dgram carries load queries and load reports between daemons in UDP datagrams.
package dgram

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const (
	// maxReplies limits the replies that a daemon sends per second, so that queries cannot use up its processor time.
	maxReplies = 2000
	// maxQueries limits the queries that a daemon sends per second. Above it, routers select by the reports in acks and answers.
	maxQueries = 1000
	// burst is the time over which unused replies and queries are saved up.
	burst = 100 * time.Millisecond
	// maxSize is the maximum size of a received datagram in bytes.
	maxSize = 1 << 10
)

// Conn is a datagram socket, usually a *net.UDPConn.
type Conn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Reporter replies to load queries, sends them and receives the reports. Its exported fields must be set before Run.
type Reporter struct {
	Conn     Conn
	Report   func() proto.Report
	OnReport func(report proto.Report, from netip.AddrPort)
	Permits  proto.PermitHandler // if nil, requests for permits are not answered
	Log      logr.Logger

	queries, replies, permitReplies bucket

	permits permits

	counters counters
}

type counters struct {
	sent, received, answered, limited, failed, malformed atomic.Uint64
}

// Ask sends a load query to the daemon beside a server. It reports false if none was sent. A lost query is not repeated.
func (r *Reporter) Ask(daemon netip.AddrPort) bool {
	if !r.queries.take(time.Now(), maxQueries) {
		r.counters.limited.Add(1)
		return false
	}
	if _, err := r.Conn.WriteToUDPAddrPort(proto.EncodeDatagram(proto.LoadQuery{}), daemon); err != nil {
		r.counters.failed.Add(1) // the same as a query that the network loses
		return false
	}
	r.counters.sent.Add(1)
	return true
}

// Run receives datagrams until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = r.Conn.Close() }) // makes the read in receive return
	defer stop()
	buf := make([]byte, maxSize)
	for {
		n, from, err := r.Conn.ReadFromUDPAddrPort(buf)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			continue // for example, an earlier datagram was sent to a closed port
		}
		r.handle(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (r *Reporter) handle(payload []byte, from netip.AddrPort) {
	message, err := proto.DecodeDatagram(payload)
	if err != nil {
		if r.counters.malformed.Add(1) == 1 {
			r.Log.Info("report-malformed", "from", from.String(), "cause", err.Error())
		}
		return
	}
	switch m := message.(type) {
	case proto.Report:
		r.counters.received.Add(1)
		r.OnReport(m, from)
	case proto.NumberedPermitRequest:
		r.servePermit(m, from)
	case proto.NumberedPermitReply:
		r.replied(m, from)
	default: // proto.LoadQuery
		r.reply(from)
	}
}

func (r *Reporter) reply(to netip.AddrPort) {
	if !r.replies.take(time.Now(), maxReplies) {
		r.counters.limited.Add(1)
		return
	}
	if _, err := r.Conn.WriteToUDPAddrPort(proto.EncodeDatagram(r.Report()), to); err != nil {
		r.counters.failed.Add(1)
		return
	}
	r.counters.answered.Add(1)
}

// Dump holds counts of queries and reports.
type Dump struct {
	Sent      uint64 // queries of this daemon
	Received  uint64 // reports
	Answered  uint64 // queries of other daemons
	Limited   uint64 // queries and replies above the limits of this daemon
	Failed    uint64 // queries and replies refused by the system
	Malformed uint64 // datagrams that are neither a query nor a report
}

// Dump returns the state for the state dump.
func (r *Reporter) Dump() any {
	return r.Counts()
}

// Counts returns the counts since the start. They are zero when r is nil, as in a daemon that does not ask for load.
func (r *Reporter) Counts() Dump {
	if r == nil {
		return Dump{}
	}
	n := &r.counters
	return Dump{
		Sent: n.sent.Load(), Received: n.received.Load(), Answered: n.answered.Load(), Limited: n.limited.Load(),
		Failed: n.failed.Load(), Malformed: n.malformed.Load(),
	}
}
