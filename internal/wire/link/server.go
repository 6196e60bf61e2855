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

// Defaults of the limits and timeouts of a Server.
const (
	DefaultMaxConns     = 4096 // a connection costs two 4 KiB buffers and three goroutines in drpc
	DefaultHelloTimeout = 3 * time.Second
	DefaultIdleTimeout  = 5 * time.Minute // above DefaultPoolIdleTimeout, so that the connecting side closes first
	DefaultStopTimeout  = 10 * time.Second
	DefaultMinDrain     = 200 * time.Millisecond
)

const (
	acceptRetryDelay = 50 * time.Millisecond // after a failed accept, for example when file descriptors have run out
	drainPoll        = 10 * time.Millisecond // interval of the check for open streams while draining
	handlerTimeout   = time.Second           // for handlers to return after their streams were cancelled
)

// Server accepts the connections of other daemons.
type Server struct {
	Listener      net.Listener   // if nil, Run listens on ListenAddress
	ListenAddress netip.AddrPort // ignored if Listener is set
	Calls         proto.CallHandler
	Fleet         proto.FleetHandler
	Rollouts      proto.RolloutHandler // may be nil
	Permits       proto.PermitHandler  // if nil, requests for permits are refused
	Incarnation   ident.Incarnation    // of this daemon
	Log           logr.Logger

	MaxConns     int           // limit on open connections; further ones are closed at once
	HelloTimeout time.Duration // for the handshake, and for the first message of each stream
	IdleTimeout  time.Duration // a connection that had no stream for longer is closed
	StopTimeout  time.Duration // how long open streams may take to end after the stop before they are cancelled
	MinDrain     time.Duration // minimum time that connections stay open after the stop, so that new calls on them are refused as not run

	registry registry
	stopping atomic.Bool
	refused  atomic.Uint64 // connections closed because MaxConns was reached
	failed   atomic.Uint64 // handshakes that failed or timed out
	accepted atomic.Uint64
	handlers sync.WaitGroup

	mu      sync.Mutex
	open    map[*serverConn]struct{}
	address net.Addr // of the listener; nil before Run
}

// Run serves until ctx ends. Then it stops accepting connections, refuses new calls, and gives open streams up to
// StopTimeout to end.
func (s *Server) Run(ctx context.Context) error {
	if err := s.prepare(ctx); err != nil {
		return err
	}
	// Streams outlive ctx, because they may still end regularly during the drain.
	serving, cancelStreams := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelStreams()
	stopWatching := context.AfterFunc(ctx, func() {
		s.stopping.Store(true)
		_ = s.Listener.Close()
	})
	defer stopWatching()
	err := s.accept(ctx, serving)
	s.stopping.Store(true)
	_ = s.Listener.Close()
	s.drain()
	cancelStreams()
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
		time.Sleep(acceptRetryDelay)
	}
	return nil
}

func (s *Server) start(serving context.Context, accepted net.Conn) {
	ctx, cancel := context.WithCancel(serving)
	conn := &serverConn{server: s, tr: &transport{Conn: accepted}, cancel: cancel, opened: time.Now()}
	if !s.track(conn) {
		s.refused.Add(1)
		s.Log.V(1).Info("connection-refused", "remote", accepted.RemoteAddr().String(), "bound", s.MaxConns)
		conn.close()
		return
	}
	s.accepted.Add(1)
	conn.watchdog = time.AfterFunc(s.HelloTimeout, conn.onTimeout)
	s.handlers.Go(func() { s.serve(ctx, conn) })
}

func (s *Server) track(conn *serverConn) bool {
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
	conn.watchdog.Stop()
	conn.close()
	s.untrack(conn)
	s.Log.V(1).Info("connection-closed", "remote", conn.tr.RemoteAddr().String(), "reason", errorText(err))
}

func (s *Server) untrack(conn *serverConn) {
	if peer := conn.peer.Load(); peer != nil {
		s.registry.remove(keyOf(peer), conn)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

// drain waits until no stream is open, for at least MinDrain and at most StopTimeout.
func (s *Server) drain() {
	start := time.Now()
	time.Sleep(s.MinDrain)
	for s.busyCount() > 0 && time.Since(start) < s.StopTimeout {
		time.Sleep(drainPoll)
	}
	if running := s.busyCount(); running > 0 {
		s.Log.Info("streams-cut", "streams", running, "after", s.StopTimeout)
	}
}

func (s *Server) busyCount() int {
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
		s.handlers.Wait()
		close(done)
	}()
	timer := time.NewTimer(handlerTimeout)
	defer timer.Stop()
	select {
	case <-done:
		return nil
	case <-timer.C:
		return errors.Newf("handlers still running %v after their streams were cancelled", handlerTimeout)
	}
}
