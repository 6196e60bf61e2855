package daemon_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"slices"
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

func (s *system) allReady() bool {
	for _, n := range s.nodes {
		if !s.ready(n) {
			return false
		}
	}
	return true
}

func (s *system) ready(n *node) bool {
	response, err := s.client(n.host).Get("http://" + n.settings.Admin.String() + "/health")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
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

// runs returns how many times the request was run by all servers together.
func (s *system) runs(id string) int {
	total := 0
	for _, n := range s.nodes {
		total += n.server.Runs(id)
		for _, server := range n.killed {
			total += server.Runs(id)
		}
	}
	return total
}

// expectTruthfulOutcomes checks what must hold under any fault: no request that must run once ran twice, no request that was
// reported as not run ran, and every response belonged to its request.
func (s *system) expectTruthfulOutcomes(result *load.Result) {
	s.t.Helper()
	s.Expect(result.Violations()).To(BeEmpty())
	s.outcomes.mu.Lock()
	defer s.outcomes.mu.Unlock()
	for id, outcome := range s.outcomes.byID {
		ran := s.runs(id)
		if strings.HasPrefix(id, "once-") {
			s.Expect(ran).To(BeNumerically("<=", 1), "request %s ran %d times", id, ran)
		}
		if outcome == "not-run" {
			s.Expect(ran).To(BeZero(), "request %s was reported as not run", id)
		}
	}
}

// outcomes records the outcomes that were reported to callers, by Sample-Request header.
type outcomes struct {
	mu   sync.Mutex
	byID map[string]string
}

// recordingTransport records the outcome of each request.
type recordingTransport struct {
	next     http.RoundTripper
	outcomes *outcomes
}

func (r recordingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var tries atomic.Int64
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { tries.Add(1) }}
	response, err := r.next.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	outcome := "failed"
	switch {
	case tries.Load() > 1:
		// net/http has repeated the request on a new connection; a not-run outcome then describes only the last attempt.
		outcome = "repeated"
	case err == nil:
		outcome = response.Header.Get("Marigoldwinch-Outcome")
	}
	r.outcomes.mu.Lock()
	defer r.outcomes.mu.Unlock()
	if r.outcomes.byID == nil {
		r.outcomes.byID = map[string]string{}
	}
	r.outcomes.byID[request.Header.Get(sample.RequestHeader)] = outcome
	return response, err
}

// dump reads a part of a daemon's state dump.
func (s *system) dump(n *node, part string, into any) error {
	response, err := s.client(n.host).Get("http://" + n.settings.Admin.String() + "/dump/" + part)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// revision returns the revision in force at a daemon, or 0 when the daemon does not answer.
func (s *system) revision(n *node) uint64 {
	state := struct {
		Revision uint64 `json:"revision"`
	}{}
	if s.dump(n, "configuration", &state) != nil {
		return 0
	}
	return state.Revision
}

// watchRevisions polls the revision of every daemon. The returned function ends this and lists the decreases that were seen.
func (s *system) watchRevisions() func() []string {
	var mu sync.Mutex
	var decreased []string
	ctx, stop := context.WithCancel(s.t.Context())
	nodes := slices.Clone(s.nodes)
	s.running.Go(func() {
		highest := map[*memnet.Process]uint64{} // by process, because a restarted daemon begins without a configuration
		for ctx.Err() == nil {
			for _, n := range nodes {
				process := n.daemonProcess.Load()
				now := s.revision(n)
				if process.Killed() || process != n.daemonProcess.Load() {
					continue
				}
				if now < highest[process] {
					mu.Lock()
					decreased = append(decreased, fmt.Sprintf("%s from %d to %d", n.host, highest[process], now))
					mu.Unlock()
				}
				highest[process] = max(highest[process], now)
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
	return func() []string {
		stop()
		mu.Lock()
		defer mu.Unlock()
		return decreased
	}
}
