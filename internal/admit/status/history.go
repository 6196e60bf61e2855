package status

import "time"

// maxLateness is how late a check-in may arrive.
const maxLateness = 10 * time.Second

// AwaitHistory says that an earlier process may have acknowledged a departure of the server that is not known yet. It is called before the
// first use, at the start of the process.
func (s *Server) AwaitHistory() {
	s.awaiting = time.Now()
}

// HistoryKnown says that a departure which an earlier process acknowledged has been restored, if there is one.
func (s *Server) HistoryKnown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaiting = time.Time{}
}

// checkHistory ends the wait for the history of an earlier process when a check-in shows that the server is in service: it has started
// after this process, or the check-in arrived too late after the start to have been sent before.
func (s *Server) checkHistory(born time.Time) {
	if s.awaiting.IsZero() {
		return
	}
	if born.After(s.awaiting) || time.Since(s.awaiting) > maxLateness {
		s.Log.Info("server-history-settled", "server", s.id, "born", born)
		s.awaiting = time.Time{}
		return
	}
	if !s.polled {
		s.PollHealth()
	}
}
