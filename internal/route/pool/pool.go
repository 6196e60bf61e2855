// Package pool keeps the latest load reports of the servers of each service that a router uses, and probes servers for new
// reports.
package pool

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// idleRetention is how long the state of an unused server is kept.
const idleRetention = time.Minute

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
