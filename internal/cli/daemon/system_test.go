package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/opts"
	"marigoldwinch.example/marigoldwinch/internal/bench/load"
	"marigoldwinch.example/marigoldwinch/internal/bench/sample"
	"marigoldwinch.example/marigoldwinch/internal/cli/daemon"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
)

const platformHost = "platform"

var platformAddress = netip.MustParseAddrPort("10.9.0.1:5000")

// system is a whole system in virtual time: whole daemons, stand-in servers and a stand-in platform on a network in memory.
// It must be made inside a synctest bubble.
type system struct {
	*WithT
	t        *testing.T
	fabric   *fabric
	platform *fake.Platform
	nodes    []*node
	running  sync.WaitGroup
	outcomes outcomes
}

// node is a daemon with its server, on a host of its own.
type node struct {
	host     string
	zone     string
	settings *opts.Settings
	server   *sample.Server
	stop     context.CancelFunc // of the daemon
	stopped  chan error         // of the daemon
}

const folder = `[service stock]
timeout = 1s
[service orders]
class = write
timeout = 1s
`

// newSystem starts servers of the services in turn, over three zones.
func newSystem(t *testing.T, perService int, services ...string) *system {
	s := &system{WithT: NewWithT(t), t: t, fabric: newFabric(), platform: fake.NewPlatform(1)}
	s.fabric.latency = func(from, to string) time.Duration {
		if zoneOf(from) == zoneOf(to) {
			return 100 * time.Microsecond
		}
		return time.Millisecond
	}
	t.Cleanup(s.close)
	s.serve(platformHost, platformAddress, (&fake.Server{Platform: s.platform}).Handler())
	_, err := s.writer("setup").Add(t.Context(), []files.File{{Name: "10-services.ini", Content: folder}}, change.Options{})
	s.Expect(err).NotTo(HaveOccurred())
	for i := range perService * len(services) {
		s.addNode(services[i%len(services)], i/len(services)%3)
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
	listener, err := s.fabric.listen(host, address)
	s.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: handler}
	s.running.Go(func() { _ = server.Serve(listener) })
	s.t.Cleanup(func() { _ = server.Close() })
}

func (s *system) addNode(service string, zone int) {
	number := len(s.nodes)
	n := &node{zone: fmt.Sprintf("zone-%c", 'a'+zone)}
	n.host = fmt.Sprintf("%s/%d", n.zone, number)
	address := func(port int) string { return fmt.Sprintf("10.%d.0.%d:%d", zone+1, number+1, port) }
	text := fmt.Sprintf("[daemon]\nservice = %s\nzone = %s\n[listen]\ncallers = %s\ndaemons = %s\nadmin = 127.0.0.1:%d\n"+
		"[server]\naddress = %s\n[platform]\ntable = %s\nobjects = %s\n[fleet]\nseeds = 10.1.0.1:9000\n[stop]\ntimeout = 20s\n",
		service, n.zone, address(8000), address(9000), 7000+number, address(6000), platformAddress, platformAddress)
	var err error
	n.settings, err = opts.Parse("test", []byte(text))
	s.Expect(err).NotTo(HaveOccurred())
	listener, err := s.fabric.listen(n.host, n.settings.Server)
	s.Expect(err).NotTo(HaveOccurred())
	n.server = &sample.Server{Name: n.host, Listener: listener, Slots: 12, Service: 5 * time.Millisecond, Log: logr.Discard()}
	serving, stop := context.WithCancel(s.t.Context())
	s.t.Cleanup(stop)
	s.running.Go(func() { _ = n.server.Run(serving) })
	s.nodes = append(s.nodes, n)
	s.start(n)
}

// start runs the daemon of a node.
func (s *system) start(n *node) {
	running, stop := context.WithCancel(s.t.Context())
	n.stop, n.stopped = stop, make(chan error, 1)
	d := &daemon.Daemon{Settings: n.settings, Network: s.fabric.network(n.host), Log: logr.Discard()}
	s.running.Go(func() {
		n.stopped <- d.Run(running)
		close(n.stopped)
	})
}

func (s *system) close() {
	for _, n := range s.nodes {
		n.stop()
	}
	for _, n := range s.nodes {
		s.Expect(<-n.stopped).To(Succeed(), n.host)
	}
	s.fabric.close()
	time.Sleep(time.Second) // lets what sleeps on a path end
}

func (s *system) writer(operator string) *change.Writer {
	return &change.Writer{Store: s.platform.Table, Objects: s.platform.Objects, Operator: operator, Log: logr.Discard()}
}

// client sends requests from a host, without connections that outlive a test.
func (s *system) client(host string) *http.Client {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return s.fabric.network(host).Dial(ctx, netip.MustParseAddrPort(address))
		},
		MaxIdleConnsPerHost: 256,
	}
	s.t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: recording{transport, &s.outcomes}, Timeout: 30 * time.Second}
}

func (s *system) allReady() bool {
	for _, n := range s.nodes {
		response, err := s.client(n.host).Get("http://" + n.settings.Admin.String() + "/health")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// plan is a load of lookups and orders through the daemons of all nodes but those left out.
func (s *system) plan(rate float64, duration time.Duration, without ...*node) load.Plan {
	plan := load.Plan{
		Rate: rate, Duration: duration, Timeout: time.Second, Seed: 1, InFlight: 10000,
		Kinds: []load.Kind{
			{Name: "lookup", Weight: 3, Method: http.MethodGet, Service: "stock", Path: "/jars/1"},
			{Name: "order", Weight: 1, Method: http.MethodPost, Service: "orders", Path: "/orders", Body: 200, Once: true},
		},
	}
	for _, n := range s.nodes {
		left := false
		for _, other := range without {
			left = left || other == n
		}
		if !left {
			plan.Daemons = append(plan.Daemons, n.settings.Callers)
		}
	}
	return plan
}

// load sends a plan in the background. The result is complete when the channel gives it.
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

// runs returns how often all servers together ran the request.
func (s *system) runs(id string) int {
	total := 0
	for _, n := range s.nodes {
		total += n.server.Runs(id)
	}
	return total
}

// expectTruth checks what must hold whatever fails: nothing that must run once ran twice, nothing that was reported as
// not run ran, and every response belonged to its request.
func (s *system) expectTruth(result *load.Result) {
	s.t.Helper()
	s.Expect(result.Broken()).To(BeEmpty())
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

// outcomes records what callers were told, by Sample-Request header.
type outcomes struct {
	mu   sync.Mutex
	byID map[string]string
}

// recording is a transport that records outcomes.
type recording struct {
	next     http.RoundTripper
	outcomes *outcomes
}

func (r recording) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := r.next.RoundTrip(request)
	told := "failed"
	if err == nil {
		told = response.Header.Get("Marigoldwinch-Outcome")
	}
	r.outcomes.mu.Lock()
	defer r.outcomes.mu.Unlock()
	if r.outcomes.byID == nil {
		r.outcomes.byID = map[string]string{}
	}
	r.outcomes.byID[request.Header.Get(sample.RequestHeader)] = told
	return response, err
}

// revision returns the revision in force at a daemon.
func (s *system) revision(n *node) uint64 {
	response, err := s.client(n.host).Get("http://" + n.settings.Admin.String() + "/dump/configuration")
	s.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	state := struct {
		Revision uint64 `json:"revision"`
	}{}
	s.Expect(json.NewDecoder(response.Body).Decode(&state)).To(Succeed())
	return state.Revision
}

// watchRevisions reads every daemon's revision often. The function it returns lists those that fell.
func (s *system) watchRevisions() func() []string {
	var mu sync.Mutex
	var fell []string
	ctx, stop := context.WithCancel(s.t.Context())
	s.running.Go(func() {
		highest := make([]uint64, len(s.nodes))
		for ctx.Err() == nil {
			for i, n := range s.nodes {
				now := s.revision(n)
				if now < highest[i] {
					mu.Lock()
					fell = append(fell, fmt.Sprintf("%s from %d to %d", n.host, highest[i], now))
					mu.Unlock()
				}
				highest[i] = max(highest[i], now)
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
	return func() []string {
		stop()
		mu.Lock()
		defer mu.Unlock()
		return fell
	}
}
