// Package dgram exchanges load reports between daemons in UDP datagrams. A daemon sends the reports of its server to the
// daemons that have recently sent requests to the server.
package dgram

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const (
	// userRetention is how long a daemon gets reports after its last request.
	userRetention = 5 * time.Second
	// maxRate limits the datagrams that a daemon sends per second. With many users, each of them gets reports less often.
	maxRate = 600
	// maxUnchanged is the number of intervals for which an unchanged report is not sent again.
	maxUnchanged = 5
	// maxSize is the maximum size of a received datagram in bytes.
	maxSize = 1 << 10
)

// Reporter sends and receives load reports. Its exported fields must be set before Run.
type Reporter struct {
	Conn     net.PacketConn
	Interval time.Duration // minimum time between two reports
	Report   func() proto.Report
	OnReport func(report proto.Report, from netip.AddrPort)
	Log      logr.Logger

	mu    sync.Mutex
	users map[netip.AddrPort]time.Time // time of the last request by daemon address

	sent, received, malformed atomic.Uint64
}

// AddUser records that a daemon has sent a request to the server.
func (r *Reporter) AddUser(daemon netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.users == nil {
		r.users = make(map[netip.AddrPort]time.Time)
	}
	r.users[daemon] = time.Now()
}

// Run sends and receives reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = r.Conn.Close() }) // makes ReadFrom in receive return
	defer stop()
	readErr := make(chan error, 1)
	go func() { readErr <- r.receive(ctx) }()
	ticker := time.NewTicker(r.Interval)
	defer ticker.Stop()
	var last proto.Report
	tokens := 0.0
	for unchanged := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case err := <-readErr:
			return err
		case <-ticker.C:
		}
		report := r.Report()
		if report == last && unchanged < maxUnchanged {
			unchanged++
			continue
		}
		tokens = min(tokens+maxRate*r.Interval.Seconds(), maxRate)
		users := r.activeUsers()
		if float64(len(users)) > tokens {
			continue
		}
		tokens -= float64(len(users))
		last, unchanged = report, 0
		r.send(report, users)
	}
}

// send sends the report to the daemons that use the server. Lost datagrams are not repeated, because the next report replaces
// them.
func (r *Reporter) send(report proto.Report, users []netip.AddrPort) {
	if len(users) == 0 {
		return
	}
	datagram := proto.EncodeReport(&report)
	for _, user := range users {
		if _, err := r.Conn.WriteTo(datagram, net.UDPAddrFromAddrPort(user)); err == nil {
			r.sent.Add(1)
		}
	}
}

func (r *Reporter) activeUsers() []netip.AddrPort {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	users := make([]netip.AddrPort, 0, len(r.users))
	for user, at := range r.users {
		if now.Sub(at) > userRetention {
			delete(r.users, user)
			continue
		}
		users = append(users, user)
	}
	return users
}

func (r *Reporter) receive(ctx context.Context) error {
	buf := make([]byte, maxSize)
	for {
		n, from, err := r.Conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			continue // for example, an earlier datagram was sent to a closed port
		}
		report, err := proto.DecodeReport(buf[:n])
		udp, ok := from.(*net.UDPAddr)
		if err != nil || !ok {
			if r.malformed.Add(1) == 1 {
				r.Log.Info("report-malformed", "from", from.String())
			}
			continue
		}
		r.received.Add(1)
		r.OnReport(report, udp.AddrPort())
	}
}

// Dump is the state of a Reporter.
type Dump struct {
	Users     int
	Sent      uint64
	Received  uint64
	Malformed uint64
}

// Dump returns a Dump.
func (r *Reporter) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Dump{Users: len(r.users), Sent: r.sent.Load(), Received: r.received.Load(), Malformed: r.malformed.Load()}
}
