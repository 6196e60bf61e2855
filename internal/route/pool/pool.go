// Package pool keeps the latest load reports of the servers of each service that a router uses, and probes servers for new
// reports.
package pool

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const (
	// MaxReports is the maximum number of reports per service, bounded because every selection scans all of them.
	MaxReports = 64
	// MaxReportAge is the age above which a report is dropped: load changes within milliseconds, so an old report misleads.
	MaxReportAge = 250 * time.Millisecond
	// MaxReportUses is the maximum number of selections based on one report. Acks bring a new report within a round trip, so
	// only a server that has stopped answering reaches it.
	MaxReportUses = 8
	// idleRetention is how long the state of an unused server is kept.
	idleRetention = time.Minute
	// maxUnanswered is the maximum number of attempts per server whose waiting time is tracked. Only the oldest ones matter.
	maxUnanswered = 32
	// roundTripDivisor sets the weight of a new sample in the moving average of the round-trip time to 1/8.
	roundTripDivisor = 8
)

// Pool holds the load reports for all services that this router uses.
type Pool struct {
	Client  proto.CallClient                      // sends the probes
	Servers func(service string) []netip.AddrPort // servers that may be selected, and therefore probed
	Now     func() time.Time                      // time.Now when nil
	Rand    func(service string) *rand.Rand       // random source for a service; randomly seeded when nil
	// Ask sends a load query to the daemon beside a server, and reports false if none was sent. The report comes through AddReport.
	// Selections ask for themselves then, and no probes are sent. It is nil where daemons take no queries.
	Ask      func(server netip.AddrPort) bool
	Log      logr.Logger
	services sync.Map // name to *Service
}

// Service holds the servers' reports and this router's counters for one service.
type Service struct {
	Name string

	pool     *Pool
	requests atomic.Int64 // selections since the last round of probes

	mu      sync.Mutex
	rand    *rand.Rand
	reports []reportEntry // at most MaxReports, and at most one per server
	servers map[netip.AddrPort]*serverState
	views   []View   // reused by currentViews
	rounds  []*round // waits for reports that have not all arrived
	probes  probeState
}

type reportEntry struct {
	report     proto.Report
	receivedAt time.Time
	uses       int
}

type serverState struct {
	inFlight    int // attempts sent and not yet ended
	unacked     int // attempts in flight without an ack, which the server's reports do not include yet
	roundTrip   time.Duration
	nextProbe   time.Time // earliest time of the next probe, as set by the server's last reply or by noReplyDelay
	lastUsed    time.Time
	lastLatency time.Duration // from the server's last report with a latency that was not taken during warm-up
	unanswered  []time.Time   // send times of the timed attempts without an answer, oldest first; at most maxUnanswered
}

// Selection is an attempt that Pick has counted as sent.
type Selection struct {
	Server netip.AddrPort
	SentAt time.Time
	Timed  bool // the answer is expected within the usual latency, unlike that of an upload

	Load  int           // load of the server when it was selected, see View
	Limit int           // 0 when there was no report
	Age   time.Duration // age of the report

	PeerLatency time.Duration // median latency of the other servers, set if the server may be warming up; 0 when unknown
}

// View is a server's report, adjusted by the attempts that this router has sent since.
type View struct {
	Server   netip.AddrPort
	Load     int // requests running and queued by the report, plus attempts of this router without an ack
	Limit    int // at least 1
	Latency  time.Duration
	Age      time.Duration
	Waiting  time.Duration // age of this router's oldest timed attempt without an answer
	Warming  bool
	Refusing code.Code
	Pace     int // duration of work in percent of the usual; 0 when unknown
}

// Ratio is the load relative to the server's concurrency limit.
func (v View) Ratio() float64 {
	return float64(v.Load) / float64(v.Limit)
}

// Snapshot is the state of a service that a Picker selects on. It is valid only during Pick.
type Snapshot struct {
	Views   []View
	Rand    *rand.Rand
	Now     time.Time
	service *Service
}

// InFlight returns the number of this router's attempts in flight at a server.
func (s *Snapshot) InFlight(server netip.AddrPort) int {
	if state := s.service.servers[server]; state != nil {
		return state.inFlight
	}
	return 0
}

// View returns the view of a server, or nil if there is no current report.
func (s *Snapshot) View(server netip.AddrPort) *View {
	for i := range s.Views {
		if s.Views[i].Server == server {
			return &s.Views[i]
		}
	}
	return nil
}

// Picker selects a server.
type Picker interface {
	// Pick returns false when no server can be selected. It is called with the service's lock held.
	Pick(snapshot *Snapshot) (netip.AddrPort, bool)
}

// Service returns the state of a service, which is created on first use.
func (p *Pool) Service(name string) *Service {
	if found, ok := p.services.Load(name); ok {
		return found.(*Service)
	}
	s := &Service{Name: name, pool: p, servers: make(map[netip.AddrPort]*serverState)}
	if p.Rand != nil {
		s.rand = p.Rand(name)
	} else {
		s.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	found, _ := p.services.LoadOrStore(name, s)
	return found.(*Service)
}

func (p *Pool) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}

// Pick selects a server and counts an attempt as sent to it, so that concurrent selections see each other. Every Pick that
// returns true must be followed by one call of Ended.
func (s *Service) Pick(picker Picker, timed bool) (Selection, bool) {
	s.requests.Add(1)
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := Snapshot{Views: s.currentViews(now), Rand: s.rand, Now: now, service: s}
	server, ok := picker.Pick(&snapshot)
	if !ok {
		return Selection{}, false
	}
	state := s.touch(server, now)
	state.inFlight++
	state.unacked++
	if timed && len(state.unanswered) < maxUnanswered {
		state.unanswered = append(state.unanswered, now)
	}
	if i := s.reportIndex(server); i >= 0 {
		s.reports[i].uses++
	}
	selection := Selection{Server: server, SentAt: now, Timed: timed}
	if v := snapshot.View(server); v == nil || v.Warming {
		selection.PeerLatency = s.medianPeerLatency(server)
	}
	if v := snapshot.View(server); v != nil {
		selection.Load, selection.Limit, selection.Age = v.Load, v.Limit, v.Age
	}
	return selection, true
}

// currentViews drops reports that are too old or used too often, and returns the others, adjusted by the attempts that this
// router has sent since.
func (s *Service) currentViews(now time.Time) []View {
	s.views = s.views[:0]
	live := s.reports[:0]
	for _, e := range s.reports {
		age := now.Sub(e.receivedAt)
		if age > MaxReportAge || e.uses >= MaxReportUses {
			continue
		}
		live = append(live, e)
		r := e.report
		load := r.InFlight + r.Queued
		var waiting time.Duration
		if state := s.servers[r.Server]; state != nil {
			load += state.unacked
			if len(state.unanswered) > 0 {
				waiting = now.Sub(state.unanswered[0])
			}
		}
		s.views = append(s.views, View{
			Server: r.Server, Load: load, Limit: max(r.Limit, 1), Latency: r.Latency,
			Age: age, Waiting: waiting, Warming: r.Warming, Refusing: r.Refusing, Pace: r.Pace,
		})
	}
	s.reports = live
	return s.views
}

func (s *Service) reportIndex(server netip.AddrPort) int {
	for i := range s.reports {
		if s.reports[i].report.Server == server {
			return i
		}
	}
	return -1
}

// touch returns the state of a server, which is created on first use, and marks the server as used.
func (s *Service) touch(server netip.AddrPort, now time.Time) *serverState {
	state := s.servers[server]
	if state == nil {
		state = &serverState{}
		s.servers[server] = state
	}
	state.lastUsed = now
	return state
}

// Acked counts the ack of an attempt and stores the report in it.
func (s *Service) Acked(selection Selection, report proto.Report) {
	now := s.pool.now()
	elapsed := now.Sub(selection.SentAt)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.touch(selection.Server, now)
	state.unacked = max(state.unacked-1, 0)
	if state.roundTrip == 0 {
		state.roundTrip = elapsed
	} else {
		state.roundTrip += (elapsed - state.roundTrip) / roundTripDivisor
	}
	s.addReport(report, now)
}

// Answered counts the response header of an attempt and stores the report in it.
func (s *Service) Answered(selection Selection, report proto.Report) {
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.touch(selection.Server, now).answered(selection)
	s.addReport(report, now)
}

// Ended counts the end of an attempt, whether or not it was acked.
func (s *Service) Ended(selection Selection, acked bool) {
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.touch(selection.Server, now)
	state.inFlight = max(state.inFlight-1, 0)
	if !acked {
		state.unacked = max(state.unacked-1, 0)
	}
	state.answered(selection)
}

func (s *serverState) answered(selection Selection) {
	if !selection.Timed {
		return
	}
	if i := slices.Index(s.unanswered, selection.SentAt); i >= 0 {
		s.unanswered = slices.Delete(s.unanswered, i, i+1)
	}
}

// medianPeerLatency returns the median of the last latencies reported by the other servers of the service, or 0 when none is
// known. It is the reference for a server that is warming up, whose own earlier latencies may be those of a cold server.
func (s *Service) medianPeerLatency(except netip.AddrPort) time.Duration {
	var space [MaxReports]time.Duration
	latencies := space[:0]
	for server, state := range s.servers {
		if server != except && state.lastLatency > 0 {
			latencies = append(latencies, state.lastLatency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}

// AddReport stores a report. It replaces the server's previous one, or else the oldest one if there are MaxReports. A report
// without a server is ignored.
func (s *Service) AddReport(report proto.Report) {
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addReport(report, now)
}

func (s *Service) addReport(report proto.Report, now time.Time) {
	if !report.Server.IsValid() {
		return
	}
	if report.Latency > 0 && !report.Warming {
		s.touch(report.Server, now).lastLatency = report.Latency
	}
	entry := reportEntry{report: report, receivedAt: now}
	s.reportArrived(report.Server)
	if i := s.reportIndex(report.Server); i >= 0 {
		s.reports[i] = entry
		return
	}
	if len(s.reports) < MaxReports {
		s.reports = append(s.reports, entry)
		return
	}
	oldest := 0
	for i := range s.reports {
		if s.reports[i].receivedAt.Before(s.reports[oldest].receivedAt) {
			oldest = i
		}
	}
	s.reports[oldest] = entry
}

// RoundTrip returns the moving average of the time from sending an attempt to its ack, or 0 when none was measured.
func (s *Service) RoundTrip(server netip.AddrPort) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.servers[server]; state != nil {
		return state.roundTrip
	}
	return 0
}

// Dump is the part of the state dump about the pool, sorted by service.
type Dump struct {
	Services []ServiceDump
}

// ServiceDump is the state of one service.
type ServiceDump struct {
	Service string
	Reports []View
	Servers []ServerDump
}

// ServerDump holds this router's counters for one server.
type ServerDump struct {
	Server    netip.AddrPort
	InFlight  int
	Unacked   int
	RoundTrip time.Duration
}

// Dump returns the state for the state dump.
func (p *Pool) Dump() any {
	var dump Dump
	now := p.now()
	p.services.Range(func(_, value any) bool {
		dump.Services = append(dump.Services, value.(*Service).dump(now))
		return true
	})
	sort.Slice(dump.Services, func(i, j int) bool { return dump.Services[i].Service < dump.Services[j].Service })
	return dump
}

func (s *Service) dump(now time.Time) ServiceDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := ServiceDump{Service: s.Name}
	d.Reports = append(d.Reports, s.currentViews(now)...)
	for server, state := range s.servers {
		d.Servers = append(d.Servers, ServerDump{
			Server: server, InFlight: state.inFlight, Unacked: state.unacked, RoundTrip: state.roundTrip,
		})
	}
	sort.Slice(d.Servers, func(i, j int) bool { return d.Servers[i].Server.Compare(d.Servers[j].Server) < 0 })
	return d
}
