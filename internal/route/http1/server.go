// Package http1 serves HTTP/1.1 connections on which callers send requests behind one another. It reads ahead and runs the
// requests side by side; the responses leave in the order of the requests. net/http's server runs them one at a time.
package http1

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
)

// Limits of a connection.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration // for a request's header
	IdleTimeout   time.Duration // without a request
}

const (
	// maxPipelined bounds the requests of a connection that are in service.
	maxPipelined = 32
	// acceptRetryDelay follows a failed accept, which most often lacks descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// Server serves the connections of a listener. Its fields are set before Run.
type Server struct {
	Listener net.Listener
	Handler  http.Handler
	Limits   func() Limits // read for each request
	Log      logr.Logger

	mu            sync.Mutex
	conns         map[*conn]struct{}
	keepAlivesOff bool // each connection closes after the requests it has read
	shuttingDown  bool // no request is read any more
	drained       chan struct{}
}

// Run accepts connections until Shutdown.
func (s *Server) Run() error {
	s.mu.Lock()
	s.conns = make(map[*conn]struct{})
	s.mu.Unlock()
	for {
		accepted, err := s.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			if s.isShuttingDown() {
				return nil
			}
			s.Log.Error(err, "accept-failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.startConn(accepted)
	}
}

func (s *Server) isShuttingDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shuttingDown
}

func (s *Server) startConn(accepted net.Conn) {
	c := newConn(s, accepted)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shuttingDown {
		_ = accepted.Close() // nothing of it has been read
		return
	}
	s.conns[c] = struct{}{}
	go c.run()
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if len(s.conns) == 0 && s.drained != nil {
		close(s.drained)
		s.drained = nil
	}
}

// DisableKeepAlives makes each response close its connection, so that callers go elsewhere. Requests are still served.
func (s *Server) DisableKeepAlives() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepAlivesOff = true
}

func (s *Server) keepAlivesDisabled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keepAlivesOff
}

// Shutdown stops accepting and reading, closes idle connections and waits for the requests in service.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.shuttingDown, s.keepAlivesOff = true, true
	_ = s.Listener.Close() // Run returns
	drained := make(chan struct{})
	if len(s.conns) == 0 {
		close(drained)
	} else {
		s.drained = drained
	}
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.stopReading()
	}
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
