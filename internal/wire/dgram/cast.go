// Package dgram sends load reports to the daemons that use a server, in datagrams.
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
	// interest is how long a daemon that has sent a request gets reports.
	interest = 5 * time.Second
	// datagramRate bounds the datagrams per second of a daemon. With many users, each gets reports less often.
	datagramRate = 600
	// quietEvery is how often a report goes out that has not changed.
	quietEvery = 5
	// maxDatagram bounds a received datagram in bytes.
	maxDatagram = 1 << 10
)

// Reporter sends and receives reports. Its fields are set before Run.
type Reporter struct {
	Conn     net.PacketConn
	Interval time.Duration // between two reports that differ
	Report   func() proto.Report
	OnReport func(report proto.Report, from netip.AddrPort)
	Log      logr.Logger

	mu    sync.Mutex
	users map[netip.AddrPort]time.Time // when a daemon last sent a request

	sent, received, malformed atomic.Uint64
}

// AddUser notes that a daemon has sent a request to the server.
func (c *Reporter) AddUser(daemon netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.users == nil {
		c.users = make(map[netip.AddrPort]time.Time)
	}
	c.users[daemon] = time.Now()
}

// Run sends and receives until ctx ends.
func (c *Reporter) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = c.Conn.Close() }) // ends the reads
	defer stop()
	failed := make(chan error, 1)
	go func() { failed <- c.receive(ctx) }()
	ticker := time.NewTicker(c.Interval)
	defer ticker.Stop()
	var last proto.Report
	credit := 0.0
	for unchanged := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-ticker.C:
		}
		report := c.Report()
		if report == last && unchanged < quietEvery {
			unchanged++
			continue
		}
		credit = min(credit+datagramRate*c.Interval.Seconds(), datagramRate)
		users := c.interested()
		if float64(len(users)) > credit {
			continue
		}
		credit -= float64(len(users))
		last, unchanged = report, 0
		c.send(report, users)
	}
}

// send tells the daemons that use the server. A datagram that is lost is followed by the next one.
func (c *Reporter) send(report proto.Report, users []netip.AddrPort) {
	if len(users) == 0 {
		return
	}
	datagram := proto.EncodeReport(&report)
	for _, user := range users {
		if _, err := c.Conn.WriteTo(datagram, net.UDPAddrFromAddrPort(user)); err == nil {
			c.sent.Add(1)
		}
	}
}

func (c *Reporter) interested() []netip.AddrPort {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	users := make([]netip.AddrPort, 0, len(c.users))
	for user, at := range c.users {
		if now.Sub(at) > interest {
			delete(c.users, user)
			continue
		}
		users = append(users, user)
	}
	return users
}

func (c *Reporter) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := c.Conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			continue // a datagram sent earlier met a closed port
		}
		report, err := proto.DecodeReport(buffer[:n])
		udp, ok := from.(*net.UDPAddr)
		if err != nil || !ok {
			if c.malformed.Add(1) == 1 {
				c.Log.Info("report-malformed", "from", from.String())
			}
			continue
		}
		c.received.Add(1)
		c.OnReport(report, udp.AddrPort())
	}
}

// Dump is the state of a caster.
type Dump struct {
	Users     int
	Sent      uint64
	Received  uint64
	Malformed uint64
}

// Dump returns the state for the state dump.
func (c *Reporter) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Dump{Users: len(c.users), Sent: c.sent.Load(), Received: c.received.Load(), Malformed: c.malformed.Load()}
}
