package daemon_test

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/opts"
	"marigoldwinch.example/marigoldwinch/internal/bench/load"
	"marigoldwinch.example/marigoldwinch/internal/bench/memnet"
	"marigoldwinch.example/marigoldwinch/internal/bench/sample"
	"marigoldwinch.example/marigoldwinch/internal/cli/daemon"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
	"marigoldwinch.example/marigoldwinch/internal/wire/dgram"
)

const (
	platformHost     = "platform"
	claimReleaseTime = 20 * time.Minute // the release of a claim is abandoned after about ten minutes
)

var platformAddress = netip.MustParseAddrPort("10.9.0.1:5000")

// system is a complete system in virtual time: daemons, simulated servers and a simulated platform on an in-memory network.
// It must be created inside a synctest bubble.
type system struct {
	*WithT
	t        *testing.T
	fabric   *memnet.Network
	platform *fake.Platform
	layout   layout
	nodes    []*node
	running  sync.WaitGroup
	outcomes outcomes
}

// node is a daemon and its server, on a separate host.
type node struct {
	host          string
	zone          string
	service       string
	settings      *opts.Settings
	server        *sample.Server // the running one
	killed        []*sample.Server
	serverProcess *memnet.Process // runs server
	daemonProcess atomic.Pointer[memnet.Process]
	stop          context.CancelFunc // of the daemon
	stopped       chan error         // of the daemon
}

// layout describes the system to create.
type layout struct {
	folder      string // configuration of the services
	settings    string // added to the settings of every daemon
	services    []string
	perService  int           // servers of each service, spread over three zones
	serviceTime time.Duration // mean time that a server takes for a request
	latency     func(from, to string) time.Duration
	wrap        func(*system, *node, http.Handler) http.Handler // serves requests in front of the simulated servers
	datagrams   func(netip.AddrPort) (dgram.Conn, error)        // opens the datagram sockets of daemons; nil for none
}

const folder = `[service stock]
timeout = 1s
[service orders]
class = write
timeout = 1s
`

// newSystem starts a system with the default configuration, with the servers of each service spread over three zones.
func newSystem(t *testing.T, perService int, services ...string) *system {
	return layout{folder: folder, services: services, perService: perService}.start(t)
}

func (l layout) start(t *testing.T) *system {
	l.serviceTime = cmp.Or(l.serviceTime, 5*time.Millisecond)
	s := &system{WithT: NewWithT(t), t: t, fabric: memnet.New(), platform: fake.NewPlatform(1), layout: l}
	s.fabric.Latency = func(from, to string) time.Duration {
		if zoneOf(from) == zoneOf(to) {
			return 100 * time.Microsecond
		}
		return time.Millisecond
	}
	if l.latency != nil {
		s.fabric.Latency = l.latency
	}
	t.Cleanup(s.close)
	s.serve(platformHost, platformAddress, (&fake.Server{Platform: s.platform}).Handler())
	_, err := s.writer("setup").Add(t.Context(), []files.File{{Name: "10-services.ini", Content: l.folder}}, change.Options{})
	s.Expect(err).NotTo(HaveOccurred())
	for i := range l.perService * len(l.services) {
		s.addNode(l.services[i%len(l.services)], i/len(l.services)%3)
	}
	s.Eventually(s.allReady).WithTimeout(time.Minute).Should(BeTrue())
	return s
}

// zoneOf is the part of a host's name before the slash.
func zoneOf(host string) string {
	zone, _, _ := strings.Cut(host, "/")
	return zone
}

func (s *system) serve(host string, address netip.AddrPort, handler http.Handler) {
	listener, err := s.fabric.Process(host).Listen(address)
	s.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: handler}
	s.running.Go(func() { _ = server.Serve(listener) })
	s.t.Cleanup(func() { _ = server.Close() })
}

func (s *system) addNode(service string, zone int) *node {
	index := len(s.nodes)
	n := &node{zone: fmt.Sprintf("zone-%c", 'a'+zone), service: service}
	n.host = fmt.Sprintf("%s/%d", n.zone, index)
	address := func(port int) string { return fmt.Sprintf("10.%d.0.%d:%d", zone+1, index+1, port) }
	text := fmt.Sprintf("[daemon]\nservice = %s\nzone = %s\n[listen]\ncallers = %s\ndaemons = %s\nadmin = 127.0.0.1:%d\n"+
		"[server]\naddress = %s\n[platform]\ntable = %s\nobjects = %s\n[fleet]\nseeds = 10.1.0.1:9000\n[stop]\ntimeout = 20s\n",
		service, n.zone, address(8000), address(9000), 7000+index, address(6000), platformAddress, platformAddress)
	var err error
	n.settings, err = opts.Parse("test", []byte(text+s.layout.settings))
	s.Expect(err).NotTo(HaveOccurred())
	s.nodes = append(s.nodes, n)
	s.startServer(n, 0)
	s.startDaemon(n)
	return n
}

// startServer runs the server of a node. The server is cold for the given time.
func (s *system) startServer(n *node, cold time.Duration) {
	n.serverProcess = s.fabric.Process(n.host)
	address := n.settings.Server
	if s.layout.wrap != nil { // the simulated server then runs behind the wrapping handler, on another port
		address = netip.AddrPortFrom(address.Addr(), address.Port()+1)
	}
	listener, err := n.serverProcess.Listen(address)
	s.Expect(err).NotTo(HaveOccurred())
	n.server = &sample.Server{
		Name: n.host, Listener: listener, Slots: 12, ServiceTime: s.layout.serviceTime, ColdPeriod: cold, Log: logr.Discard(),
	}
	ctx, stop := context.WithCancel(s.t.Context())
	s.t.Cleanup(stop)
	server := n.server
	s.running.Go(func() { _ = server.Run(ctx) })
	synctest.Wait() // until the server has been prepared
	if s.layout.wrap != nil {
		s.serve(n.host, n.settings.Server, s.layout.wrap(s, n, server.Handler()))
	}
}

// startDaemon runs the daemon of a node.
func (s *system) startDaemon(n *node) {
	ctx, stop := context.WithCancel(s.t.Context())
	process := s.fabric.Process(n.host)
	n.daemonProcess.Store(process)
	n.stop, n.stopped = stop, make(chan error, 1)
	network := process.Network()
	network.ListenPacket = s.layout.datagrams
	d, stopped := &daemon.Daemon{Settings: n.settings, Network: network, Log: logr.Discard()}, n.stopped
	s.running.Go(func() {
		stopped <- d.Run(ctx)
		close(stopped)
	})
}

// killDaemon ends the daemon of a node without a planned stop.
func (s *system) killDaemon(n *node) {
	n.daemonProcess.Load().Kill()
	n.stop()
}

// killServer ends the server of a node.
func (s *system) killServer(n *node) {
	n.serverProcess.Kill()
	n.killed = append(n.killed, n.server)
}

func (s *system) close() {
	for _, n := range s.nodes {
		n.stop()
	}
	for _, n := range s.nodes {
		if err := <-n.stopped; !n.daemonProcess.Load().Killed() {
			s.Expect(err).NotTo(HaveOccurred(), n.host)
		}
	}
	s.fabric.Close()
	time.Sleep(claimReleaseTime) // lets delayed deliveries and releases of claims end
}

func (s *system) writer(operator string) *change.Writer {
	return &change.Writer{Store: s.platform.Table, Objects: s.platform.Objects, Operator: operator, Log: logr.Discard()}
}

// client returns a client on a host. Its connections are closed at the end of the test.
func (s *system) client(host string) *http.Client {
	process := s.fabric.Process(host)
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return process.Dial(ctx, netip.MustParseAddrPort(address))
		},
		MaxIdleConnsPerHost: 256,
	}
	s.t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: recordingTransport{transport, &s.outcomes}, Timeout: 30 * time.Second}
}

// plan returns a load of lookups and orders through the daemons of all nodes except the excluded ones.
func (s *system) plan(rate float64, duration time.Duration, excluded ...*node) load.Plan {
	plan := load.Plan{
		Rate: rate, Duration: duration, Timeout: time.Second, Seed: 1, InFlight: 10000,
		Kinds: []load.Kind{
			{Name: "lookup", Weight: 3, Method: http.MethodGet, Service: "stock", Path: "/jars/1"},
			{Name: "order", Weight: 1, Method: http.MethodPost, Service: "orders", Path: "/orders", Body: 200, Once: true},
		},
	}
	for _, n := range s.nodes {
		skip := false
		for _, other := range excluded {
			skip = skip || other == n
		}
		if !skip {
			plan.Daemons = append(plan.Daemons, n.settings.Callers)
		}
	}
	return plan
}

// load runs a plan in the background and sends its complete result to the channel.
func (s *system) load(plan load.Plan) <-chan *load.Result {
	done := make(chan *load.Result, 1)
	run := &load.Run{Plan: plan, Client: s.client("callers"), Log: logr.Discard()}
	s.running.Go(func() {
		result, err := run.Do(s.t.Context())
		s.Expect(err).NotTo(HaveOccurred())
		done <- result
	})
	return done
}
