package pool

import (
	"net/netip"
	"time"

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
)

type reportEntry struct {
	report     proto.Report
	receivedAt time.Time
	uses       int
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

func (s *Service) reportIndex(server netip.AddrPort) int {
	for i := range s.reports {
		if s.reports[i].report.Server == server {
			return i
		}
	}
	return -1
}
