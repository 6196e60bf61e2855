// Package pool keeps a router's load reports per service and probes servers for new ones.
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
	// MaxReports bounds the reports per service: every selection looks at all of them.
	MaxReports = 64
	// MaxReportAge is the age at which a report is dropped: load changes within milliseconds, and an old report misleads.
	MaxReportAge = 250 * time.Millisecond
	// MaxReportUses bounds the selections on one report. Acks bring a new report within a round trip, so the bound is met only
	// by a server that has stopped answering.
	MaxReportUses = 8
	// idleServer is how long the counts of a server that is no longer used are kept.
	idleServer = time.Minute
	// maxWaiting bounds the attempts per server whose waiting time is tracked. The oldest ones matter.
	maxWaiting = 32
	// roundTripWeight is the weight of a new sample in the round-trip average.
	roundTripWeight = 8
)

// Pool holds the reports of all services that this router uses.
type Pool struct {
	Client        proto.CallClient                      // for probes
	Servers       func(service string) []netip.AddrPort // servers that may be selected and so are worth a probe
	Now           func() time.Time                      // time.Now when nil
	Rand          func(service string) *rand.Rand       // source per service; randomly seeded when nil
	ReportsPushed bool                                  // servers' daemons send reports by themselves, so that none is probed
	Log           logr.Logger
	services      sync.Map // name to *Service
}

// Service holds the reports and the own counts for one service.
type Service struct {
	Name string

	pool     *Pool
	requests atomic.Int64 // since the last round of probes

	mu      sync.Mutex
	rand    *rand.Rand
	reports []entry // at most Size, at most one per server
	counts  map[netip.AddrPort]*counts
	views   []View // scratch space of Pick
	probes  probing
}

type entry struct {
	report proto.Report
	at     time.Time
	uses   int
}

type counts struct {
	inFlight  int // attempts sent and not ended
	unacked   int // those of them with no ack yet, which no report of the server counts
	roundTrip time.Duration
	nextProbe time.Time // the server asked not to be probed before
	last      time.Time
	latency   time.Duration // of the server's last report that told one
	waiting   []time.Time   // when the timed attempts with no answer yet were sent, oldest first; at most maxWaiting
}

// Selection is an attempt that was counted as sent.
type Selection struct {
	Server netip.AddrPort
	SentAt time.Time
	Timed  bool // its answer is expected within the usual latency, unlike an upload's

	Load  int           // at the server when it was selected, by the report
	Limit int           // 0 without a report
	Age   time.Duration // of the report

	PeerLatency time.Duration // median service time at the other servers, for a server that may be warming up; 0 when unknown
}

// View is a report as it counts for a selection now.
type View struct {
	Server   netip.AddrPort
	Load     int // requests at the server: running, queued, and sent by this router since the report
	Limit    int // at least 1
	Latency  time.Duration
	Age      time.Duration
	Waiting  time.Duration // the oldest timed attempt of this router with no answer yet
	Warming  bool
	Refusing code.Code
	Pace     int // percent of the usual; 0 when unknown
}

// Ratio is the load relative to what the server may run at once.
func (v View) Ratio() float64 {
	return float64(v.Load) / float64(v.Limit)
}

// Snapshot is what a selection sees. It is valid only during Pick.
type Snapshot struct {
	Views []View
	Rand  *rand.Rand
	Now   time.Time
	s     *Service
}

// InFlight is the number of attempts that this router has in flight at a server.
func (l *Snapshot) InFlight(server netip.AddrPort) int {
	if c := l.s.counts[server]; c != nil {
		return c.inFlight
	}
	return 0
}

// View returns the report of a server as it counts now, or nil.
func (l *Snapshot) View(server netip.AddrPort) *View {
	for i := range l.Views {
		if l.Views[i].Server == server {
			return &l.Views[i]
		}
	}
	return nil
}

// Picker selects a server.
type Picker interface {
	// Pick returns false when there is no server to select. It runs under the lock of the service.
	Pick(look *Snapshot) (netip.AddrPort, bool)
}

// Service returns the state of one service.
func (p *Pool) Service(name string) *Service {
	if found, ok := p.services.Load(name); ok {
		return found.(*Service)
	}
	s := &Service{Name: name, pool: p, counts: make(map[netip.AddrPort]*counts)}
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

// Pick selects a server and counts an attempt as sent to it. Every Pick that returns true is followed by one Ended, so
// that concurrent selections see each other.
func (s *Service) Pick(picker Picker, timed bool) (Selection, bool) {
	s.requests.Add(1)
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	look := Snapshot{Views: s.look(now), Rand: s.rand, Now: now, s: s}
	server, ok := picker.Pick(&look)
	if !ok {
		return Selection{}, false
	}
	c := s.count(server, now)
	c.inFlight++
	c.unacked++
	if timed && len(c.waiting) < maxWaiting {
		c.waiting = append(c.waiting, now)
	}
	if i := s.find(server); i >= 0 {
		s.reports[i].uses++
	}
	sent := Selection{Server: server, SentAt: now, Timed: timed}
	if v := look.View(server); v == nil || v.Warming {
		sent.PeerLatency = s.usual(server)
	}
	if v := look.View(server); v != nil {
		sent.Load, sent.Limit, sent.Age = v.Load, v.Limit, v.Age
	}
	return sent, true
}

// look drops spent reports and returns the others, corrected by what this router has sent since.
func (s *Service) look(now time.Time) []View {
	s.views = s.views[:0]
	kept := s.reports[:0]
	for _, e := range s.reports {
		age := now.Sub(e.at)
		if age > MaxReportAge || e.uses >= MaxReportUses {
			continue
		}
		kept = append(kept, e)
		r := e.report
		load := r.InFlight + r.Queued
		var waiting time.Duration
		if c := s.counts[r.Server]; c != nil {
			load += c.unacked
			if len(c.waiting) > 0 {
				waiting = now.Sub(c.waiting[0])
			}
		}
		s.views = append(s.views, View{
			Server: r.Server, Load: load, Limit: max(r.Limit, 1), Latency: r.Latency,
			Age: age, Waiting: waiting, Warming: r.Warming, Refusing: r.Refusing, Pace: r.Pace,
		})
	}
	s.reports = kept
	return s.views
}

func (s *Service) find(server netip.AddrPort) int {
	for i := range s.reports {
		if s.reports[i].report.Server == server {
			return i
		}
	}
	return -1
}

func (s *Service) count(server netip.AddrPort, now time.Time) *counts {
	c := s.counts[server]
	if c == nil {
		c = &counts{}
		s.counts[server] = c
	}
	c.last = now
	return c
}

// Acked counts the ack of an attempt and learns the report in it.
func (s *Service) Acked(sent Selection, report proto.Report) {
	now := s.pool.now()
	elapsed := now.Sub(sent.SentAt)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.count(sent.Server, now)
	c.unacked = max(c.unacked-1, 0)
	if c.roundTrip == 0 {
		c.roundTrip = elapsed
	} else {
		c.roundTrip += (elapsed - c.roundTrip) / roundTripWeight
	}
	s.learn(report, now)
}

// Answered counts the header of an attempt's answer and learns the report in it.
func (s *Service) Answered(sent Selection, report proto.Report) {
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(sent.Server, now).answered(sent)
	s.learn(report, now)
}

// Ended counts the end of an attempt, acked or not.
func (s *Service) Ended(sent Selection, acked bool) {
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.count(sent.Server, now)
	c.inFlight = max(c.inFlight-1, 0)
	if !acked {
		c.unacked = max(c.unacked-1, 0)
	}
	c.answered(sent)
}

func (c *counts) answered(sent Selection) {
	if !sent.Timed {
		return
	}
	if i := slices.Index(c.waiting, sent.SentAt); i >= 0 {
		c.waiting = slices.Delete(c.waiting, i, i+1)
	}
}

// usual returns the median of the latencies that the service's other servers last told, or 0 when none is known. A server that
// warms up is judged by it, since its own earlier answers may have been those of a cold one.
func (s *Service) usual(except netip.AddrPort) time.Duration {
	var space [MaxReports]time.Duration
	told := space[:0]
	for server, c := range s.counts {
		if server != except && c.latency > 0 {
			told = append(told, c.latency)
		}
	}
	if len(told) == 0 {
		return 0
	}
	slices.Sort(told)
	return told[len(told)/2]
}

// AddReport takes in a report. One without a server is ignored.
func (s *Service) AddReport(report proto.Report) {
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learn(report, now)
}

func (s *Service) learn(report proto.Report, now time.Time) {
	if !report.Server.IsValid() {
		return
	}
	if report.Latency > 0 && !report.Warming {
		s.count(report.Server, now).latency = report.Latency
	}
	next := entry{report: report, at: now}
	if i := s.find(report.Server); i >= 0 {
		s.reports[i] = next
		return
	}
	if len(s.reports) < MaxReports {
		s.reports = append(s.reports, next)
		return
	}
	oldest := 0
	for i := range s.reports {
		if s.reports[i].at.Before(s.reports[oldest].at) {
			oldest = i
		}
	}
	s.reports[oldest] = next
}

// HasRecentReport reports whether a report of the server has come lately, so that its daemon lives and its messages arrive.
func (s *Service) HasRecentReport(server netip.AddrPort) bool {
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.find(server)
	return i >= 0 && now.Sub(s.reports[i].at) < MaxReportAge
}

// RoundTrip is the average time from sending an attempt to its ack, or 0 when none was measured.
func (s *Service) RoundTrip(server netip.AddrPort) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.counts[server]; c != nil {
		return c.roundTrip
	}
	return 0
}

// Dump is the state of the pool, sorted by service.
type Dump struct {
	Services []ServiceDump
}

// ServiceDump is the state of one service.
type ServiceDump struct {
	Service string
	Reports []View
	Servers []ServerDump
}

// ServerDump holds the own counts for one server.
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
	d.Reports = append(d.Reports, s.look(now)...)
	for server, c := range s.counts {
		d.Servers = append(d.Servers, ServerDump{
			Server: server, InFlight: c.inFlight, Unacked: c.unacked, RoundTrip: c.roundTrip,
		})
	}
	sort.Slice(d.Servers, func(i, j int) bool { return d.Servers[i].Server.Compare(d.Servers[j].Server) < 0 })
	return d
}
