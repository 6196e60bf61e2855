// Package http1 serves HTTP/1.1 connections with pipelining. Unlike net/http's server, which runs the requests of a connection
// one at a time, it runs pipelined requests concurrently. Responses are sent in the order of the requests.
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

// Limits are the limits on a connection.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration // for reading a request's header
	IdleTimeout   time.Duration // with no request in service
}

const (
	// maxPipelined is the maximum number of concurrent requests on a connection.
	maxPipelined = 32
	// acceptRetryDelay is the delay after a failed accept, which most often fails for lack of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// Server serves the connections of a listener. Its fields are set before Run.
type Server struct {
	Listener net.Listener
	Handler  http.Handler
	Limits   func() Limits // called for each request
	Log      logr.Logger

	mu            sync.Mutex
	conns         map[*conn]struct{}
	keepAlivesOff bool          // each connection closes after the requests already read
	shuttingDown  bool          // no further request is read
	drained       chan struct{} // closed when the last connection has closed during Shutdown; nil before
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
		_ = accepted.Close() // safe, because nothing has been read from it
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

// DisableKeepAlives makes responses close their connections, so that callers reconnect to other daemons. Requests are still
// served: a connection closes only after the response to the last request read.
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

// CancelRequests cancels the requests in service. Their handlers can still answer.
func (s *Server) CancelRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.cancel()
	}
}

// Shutdown stops accepting connections and reading requests, closes idle connections and waits for the requests in service.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.shuttingDown, s.keepAlivesOff = true, true
	_ = s.Listener.Close() // makes Run return
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
