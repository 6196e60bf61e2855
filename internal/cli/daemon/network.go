package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/wire/dgram"
)

const (
	dialTimeout   = time.Second
	platformConns = 4 // enough for the few requests that a daemon sends to the platform
)

// Network opens the connections of a daemon. Tests replace it to run whole daemons in virtual time.
type Network struct {
	Listen func(address netip.AddrPort) (net.Listener, error)
	Dial   func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// ListenPacket opens a datagram socket; nil when the network carries no datagrams.
	ListenPacket func(address netip.AddrPort) (dgram.Conn, error)
}

func (n Network) orTCP() Network {
	if n.Listen == nil {
		n.Listen = listenTCP
		n.ListenPacket = listenUDP
	}
	if n.Dial == nil {
		n.Dial = dialTCP
	}
	return n
}

func listenTCP(address netip.AddrPort) (net.Listener, error) {
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
}

func listenUDP(address netip.AddrPort) (dgram.Conn, error) {
	return net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
}

// keepAlive detects a silent connection within about 3 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

func dialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp", to.String())
}

// client returns an HTTP client for the platform. The platform is addressed by IP address, so nothing is resolved.
func (n Network) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, target string) (net.Conn, error) {
			address, err := netip.ParseAddrPort(target)
			if err != nil {
				return nil, errors.Wrapf(err, "parse platform address")
			}
			return n.Dial(ctx, address)
		},
		MaxConnsPerHost:     platformConns,
		MaxIdleConnsPerHost: platformConns,
		IdleConnTimeout:     time.Minute,
	}}
}
