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
	// maxAhead bounds the requests of a connection that are in service.
	maxAhead = 32
	// acceptRetry follows a failed accept, which most often lacks descriptors.
	acceptRetry = 20 * time.Millisecond
)

// Server serves the connections of a listener. Its fields are set before Run.
type Server struct {
	Listener net.Listener
	Handler  http.Handler
	Limits   func() Limits // read for each request
	Log      logr.Logger

	mu       sync.Mutex
	conns    map[*conn]struct{}
	last     bool // each connection closes after the requests it has read
	closing  bool // no request is read any more
	finished chan struct{}
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
			if s.stopping() {
				return nil
			}
			s.Log.Error(err, "accept-failed")
			time.Sleep(acceptRetry)
			continue
		}
		s.serve(accepted)
	}
}

func (s *Server) stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

func (s *Server) serve(accepted net.Conn) {
	c := newConn(s, accepted)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		_ = accepted.Close() // nothing of it has been read
		return
	}
	s.conns[c] = struct{}{}
	go c.run()
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if len(s.conns) == 0 && s.finished != nil {
		close(s.finished)
		s.finished = nil
	}
}

// DisableKeepAlives makes each response close its connection, so that callers go elsewhere. Requests are still served.
func (s *Server) DisableKeepAlives() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = true
}

func (s *Server) isLast() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// Shutdown stops accepting and reading, closes idle connections and waits for the requests in service.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing, s.last = true, true
	_ = s.Listener.Close() // Run returns
	finished := make(chan struct{})
	if len(s.conns) == 0 {
		close(finished)
	} else {
		s.finished = finished
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
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
