package daemon

import (
	"context"
	"net"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"

	"marigoldwinch.example/marigoldwinch/internal/base/stats"
)

// traffic counts the bytes sent between daemons, so that the overhead of control messages can be measured.
type traffic struct {
	network  Network
	sent     *metrics.Counter
	received *metrics.Counter
}

func newTraffic(network Network, set *stats.Set) *traffic {
	return &traffic{
		network:  network,
		sent:     set.Counter("peer_bytes_total", "direction", "sent"),
		received: set.Counter("peer_bytes_total", "direction", "received"),
	}
}

// dial opens a counted connection to another daemon.
func (t *traffic) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	conn, err := t.network.Dial(ctx, to)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: t}, nil
}

type countedListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(n)
	return n, err
}
