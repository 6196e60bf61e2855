package status

// A health response tells the id of the server at the address, but not its service. After a server has ended, a server of another service
// may get its address. Only a check-in tells the service; an id stays with its service for good.

// verify records that the server with the id runs Service, and reports whether that is another server than the last one known to.
func (s *Server) verify(id string) bool {
	if s.verified == id {
		return false
	}
	s.Log.Info("server-verified", "server", id, "service", s.Service, "before", s.verified)
	s.verified = id
	return true
}

// RestoreVerified records that an earlier process of this daemon had a check-in for Service from the server with the id. A check-in that
// this process has had is of a later server.
func (s *Server) RestoreVerified(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.verified == "" {
		s.verify(id)
	}
}

// Identity returns the identity that the server must have to run a request, or the empty string while none is known to run Service.
func (s *Server) Identity() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verified
}
