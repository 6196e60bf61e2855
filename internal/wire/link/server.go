package link

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"storj.io/drpc/drpcserver"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Defaults of a Server's bounds.
const (
	DefaultMaxConns     = 4096 // each has two 4 KiB buffers and three goroutines in drpc
	DefaultHelloTimeout = 3 * time.Second
	DefaultIdleTimeout  = 5 * time.Minute // above DefaultIdleClose, so that the connecting side closes first
	DefaultStopTimeout  = 10 * time.Second
	DefaultMinDrain     = 200 * time.Millisecond
)

const (
	acceptPause = 50 * time.Millisecond // after a failed accept, which may be a lack of file descriptors
	stopPoll    = 10 * time.Millisecond // while waiting for the running streams to end
	closeWait   = time.Second           // for handlers to return after their streams were cut
)

// Server accepts the connections of other daemons.
type Server struct {
	Listener      net.Listener   // used when set, else one on ListenAddress is opened
	ListenAddress netip.AddrPort // used without a Listener
	Calls         proto.CallHandler
	Fleet         proto.FleetHandler
	Incarnation   ident.Incarnation // of this daemon
	Log           logr.Logger

	MaxConns     int           // bound on open connections; more are closed at once
	HelloTimeout time.Duration // for the handshake, and for the first message of each stream
	IdleTimeout  time.Duration // a connection without a stream for longer is closed
	StopTimeout  time.Duration // streams that run longer after the stop are cut
	MinDrain     time.Duration // calls that arrive so long after the stop are refused as not run

	registry registry
	stopping atomic.Bool
	refused  atomic.Uint64 // connections over the bound
	failed   atomic.Uint64 // handshakes that failed or timed out
	accepted atomic.Uint64
	running  sync.WaitGroup

	mu      sync.Mutex
	open    map[*serverConn]struct{}
	address net.Addr // of the listener, once there is one
}

// Run serves until ctx ends. Then it stops accepting, refuses new calls, and lets the running streams end within
// StopTimeout.
func (s *Server) Run(ctx context.Context) error {
	if err := s.prepare(ctx); err != nil {
		return err
	}
	// Streams outlive ctx, because a stop lets them end.
	serving, cut := context.WithCancel(context.WithoutCancel(ctx))
	defer cut()
	release := context.AfterFunc(ctx, func() {
		s.stopping.Store(true)
		_ = s.Listener.Close()
	})
	defer release()
	err := s.accept(ctx, serving)
	s.stopping.Store(true)
	_ = s.Listener.Close()
	s.drain()
	cut()
	s.closeAll()
	return errors.CombineErrors(err, s.waitHandlers())
}

func (s *Server) prepare(ctx context.Context) error {
	s.MaxConns = orDefault(s.MaxConns, DefaultMaxConns)
	s.HelloTimeout = orDefault(s.HelloTimeout, DefaultHelloTimeout)
	s.IdleTimeout = orDefault(s.IdleTimeout, DefaultIdleTimeout)
	s.StopTimeout = orDefault(s.StopTimeout, DefaultStopTimeout)
	s.MinDrain = orDefault(s.MinDrain, DefaultMinDrain)
	if s.Listener == nil {
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp", s.ListenAddress.String())
		if err != nil {
			return errors.Wrap(err, "listen for daemons")
		}
		s.Listener = listener
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = make(map[*serverConn]struct{})
	s.address = s.Listener.Addr()
	return nil
}

func (s *Server) accept(ctx, serving context.Context) error {
	for ctx.Err() == nil {
		conn, err := s.Listener.Accept()
		if err == nil {
			s.start(serving, conn)
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "accept daemons")
		}
		s.Log.Error(err, "accept-failed")
		time.Sleep(acceptPause)
	}
	return nil
}

func (s *Server) start(serving context.Context, accepted net.Conn) {
	ctx, cancel := context.WithCancel(serving)
	conn := &serverConn{server: s, tr: &pipe{Conn: accepted}, cancel: cancel, opened: time.Now()}
	if !s.admit(conn) {
		s.refused.Add(1)
		s.Log.V(1).Info("connection-refused", "remote", accepted.RemoteAddr().String(), "bound", s.MaxConns)
		conn.close()
		return
	}
	s.accepted.Add(1)
	conn.guard = time.AfterFunc(s.HelloTimeout, conn.expire)
	s.running.Go(func() { s.serve(ctx, conn) })
}

func (s *Server) admit(conn *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= s.MaxConns {
		return false
	}
	s.open[conn] = struct{}{}
	return true
}

func (s *Server) serve(ctx context.Context, conn *serverConn) {
	server := drpcserver.NewWithOptions(conn, drpcserver.Options{Manager: managerOptions()})
	err := server.ServeOne(ctx, conn.tr)
	conn.guard.Stop()
	conn.close()
	s.forget(conn)
	s.Log.V(1).Info("connection-closed", "remote", conn.tr.RemoteAddr().String(), "reason", errorText(err))
}

func (s *Server) forget(conn *serverConn) {
	if peer := conn.peer.Load(); peer != nil {
		s.registry.remove(keyOf(peer), conn)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

// drain waits until no stream runs, for Linger at least and StopTimeout at most.
func (s *Server) drain() {
	start := time.Now()
	time.Sleep(s.MinDrain)
	for s.busy() > 0 && time.Since(start) < s.StopTimeout {
		time.Sleep(stopPoll)
	}
	if left := s.busy(); left > 0 {
		s.Log.Info("streams-cut", "streams", left, "after", s.StopTimeout)
	}
}

func (s *Server) busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for conn := range s.open {
		if conn.busy.Load() {
			count++
		}
	}
	return count
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		conn.close()
	}
}

func (s *Server) waitHandlers() error {
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	timer := time.NewTimer(closeWait)
	defer timer.Stop()
	select {
	case <-done:
		return nil
	case <-timer.C:
		return errors.Newf("handlers still run %v after their streams were cut", closeWait)
	}
}
