package pool

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

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
	Floor    int // priority from which on requests are refused; 0 if none
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
			Age: age, Waiting: waiting, Warming: r.Warming, Refusing: r.Refusing, Pace: r.Pace, Floor: r.Floor,
		})
	}
	s.reports = live
	return s.views
}
