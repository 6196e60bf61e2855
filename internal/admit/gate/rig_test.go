package gate

import (
	"context"
	"flag"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/admit/ledger"
	"marigoldwinch.example/marigoldwinch/internal/admit/limit"
	"marigoldwinch.example/marigoldwinch/internal/admit/probe"
	"marigoldwinch.example/marigoldwinch/internal/admit/server"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// A fixed seed makes rapid generate the same cases in each run.
var _, _ = flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")

const (
	incarnation = ident.Incarnation(7)
	serviceTime = 10 * time.Millisecond
)

var address = netip.MustParseAddrPort("127.0.0.1:7000")

// backend is a fake server that runs in virtual time and records the requests that it receives.
type backend struct {
	serve func(r *http.Request) time.Duration // returns the service time; nil means serviceTime

	mu        sync.Mutex
	client    *server.Client // runs the requests instead, when set
	draining  bool
	running   int
	peak      int
	cancelled int
	runs      map[string]int // by path
	last      http.Header
}

func (b *backend) Do(a *server.Attempt) (*http.Response, *code.Error) {
	b.mu.Lock()
	if client := b.client; client != nil {
		b.mu.Unlock()
		return client.Do(a)
	}
	b.running++
	b.peak = max(b.peak, b.running)
	b.runs[a.Request.URL.Path]++
	b.last = a.Request.Header
	duration := serviceTime
	if b.serve != nil {
		duration = b.serve(a.Request)
	}
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
	}()
	if a.Request.Body != nil {
		if _, err := io.Copy(io.Discard, a.Request.Body); err != nil {
			return nil, code.Unknownf(code.ServerUnreachable, "body").WithCause(err)
		}
	}
	a.Written()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		header := http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-End": {"2"}}
		return &http.Response{StatusCode: http.StatusOK, Header: header, ContentLength: 2, Body: io.NopCloser(strings.NewReader("ok"))}, nil
	case <-a.Request.Context().Done():
	}
	b.mu.Lock()
	b.cancelled++
	b.mu.Unlock()
	if errors.Is(a.Request.Context().Err(), context.DeadlineExceeded) {
		return nil, code.Unknownf(code.DeadlineExceeded, "late")
	}
	return nil, code.Unknownf(code.Cancelled, "cancelled")
}

func (b *backend) Draining() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.draining
}

func (b *backend) set(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

func (b *backend) peakConcurrency() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak
}

func (b *backend) count(path string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[path]
}

func (b *backend) total() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0
	for _, n := range b.runs {
		sum += n
	}
	return sum
}

// stream is a fake of the gate's side of a call's stream.
type stream struct {
	ctx    context.Context
	cancel context.CancelFunc
	pieces chan *proto.Piece // closed when the router has closed its sending direction
	pause  time.Duration     // simulated pause of the daemon while it sends the Ack
	lost   atomic.Bool       // the stream ends with its connection
	ends   bool              // the stream ends with the last frame, as drpc ends it when the router has sent its last one before
	mu     sync.Mutex
	sent   []proto.Frame
}

func newStream(ctx context.Context) *stream {
	s := &stream{pieces: make(chan *proto.Piece)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

func (s *stream) Context() context.Context { return s.ctx }
func (s *stream) CloseSend() error         { return nil }
func (s *stream) Cancelled() bool          { return s.ctx.Err() != nil && !s.lost.Load() }

// lose ends the stream as a lost connection does.
func (s *stream) lose() {
	s.lost.Store(true)
	s.cancel()
}

func (s *stream) Close() error {
	s.cancel()
	return nil
}

func (s *stream) Send(frame proto.Frame) error {
	if _, isAck := frame.(*proto.Ack); isAck {
		time.Sleep(s.pause)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return s.ctx.Err()
	}
	if piece, isPiece := frame.(*proto.Piece); isPiece {
		frame = &proto.Piece{Data: append([]byte(nil), piece.Data...), End: piece.End, Trailer: piece.Trailer}
	}
	s.sent = append(s.sent, frame)
	if answer, isAnswer := frame.(*proto.Answer); s.ends && isAnswer && answer.End {
		s.cancel()
	}
	return nil
}

func (s *stream) Recv() (proto.Frame, error) {
	select {
	case piece, open := <-s.pieces:
		if !open {
			return nil, io.EOF
		}
		return piece, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

// frames returns the Ack and the last frame that were sent. The last frame is nil when only an Ack was sent, as in a refusal.
func (s *stream) frames() (*proto.Ack, proto.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sent) == 0 {
		return nil, nil
	}
	ack, isAck := s.sent[0].(*proto.Ack)
	if isAck && len(s.sent) == 1 {
		return ack, nil
	}
	return ack, s.sent[len(s.sent)-1]
}

// refusal returns the code and outcome with which a call was refused or failed.
func (s *stream) refusal() []any {
	switch ack, last := s.frames(); failure := last.(type) {
	case *proto.Failure:
		return []any{failure.Code, failure.Outcome}
	case nil:
		return []any{ack.Code, code.NotRun}
	}
	return nil
}

type rig struct {
	*Gate
	*WithT
	t        testing.TB
	backend  *backend
	service  *config.Service
	lastSeq  uint64
	revision uint64
	calls    sync.WaitGroup

	isolated atomic.Bool
}

// inBubble runs body with a started gate in a synctest bubble.
func inBubble(t *testing.T, body func(r *rig)) {
	inBubbleWith(t, func(*rig) {}, body)
}

// inBubbleWith does the same with a gate that prepare has changed before its start.
func inBubbleWith(t *testing.T, prepare, body func(r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		prepare(r)
		ctx, cancel := context.WithCancel(t.Context())
		for _, run := range []func(context.Context) error{r.Run, r.Limit.Run, r.Ledger.Run} {
			go func() { _ = run(ctx) }()
		}
		body(r)
		r.calls.Wait()
		cancel()
	})
}

func newRig(t testing.TB) *rig {
	holder := &config.Holder{}
	b := &backend{runs: make(map[string]int)}
	r := &rig{t: t, WithT: NewWithT(t), backend: b, service: config.NewService("stock")}
	r.service.Queue = 24 // the scripts rely on this capacity
	r.Gate = &Gate{
		Config: holder, Service: "stock", Zone: "a", Address: address, Incarnation: incarnation,
		Target: netip.MustParseAddrPort("127.0.0.1:80"), Server: b, Dialect: hdrs.Default(),
		Limit:  &limit.Limiter{Config: holder, Service: "stock", Log: logr.Discard()},
		Ledger: &ledger.Ledger{Incarnation: incarnation}, Probes: &probe.Budget{Config: holder}, Log: logr.Discard(),
	}
	r.Isolated = r.isolated.Load
	r.service.Checks = []config.Pattern{{Path: "/check"}}
	r.configure(func(*config.Config) {})
	return r
}

// configure applies a new configuration revision that change has modified.
func (r *rig) configure(change func(c *config.Config)) {
	r.revision++
	c := &config.Config{Revision: r.revision, Services: map[string]*config.Service{"stock": r.service}}
	change(c)
	r.Expect(r.Config.Set(c)).To(Succeed())
}

func (r *rig) head(class ident.Class, timeout time.Duration) *proto.Head {
	r.lastSeq++
	return &proto.Head{
		ID:      ident.AttemptID{Request: ident.RequestID{Router: 1, Seq: r.lastSeq}, Attempt: 1},
		Service: "stock", Method: http.MethodGet, Target: "/" + class.String(), Host: "stock", Class: class,
		Remaining: timeout, SentAt: time.Since(epoch), Idempotent: true, End: true,
	}
}

// call starts a call in its own goroutine.
func (r *rig) call(peer *proto.Peer, head *proto.Head) *stream {
	s := newStream(r.t.Context())
	r.calls.Go(func() {
		_ = r.Call(peer, head, s)
		s.cancel()
	})
	return s
}

func (r *rig) lookup(timeout time.Duration) *stream {
	return r.call(&proto.Peer{}, r.head(ident.Lookup, timeout))
}

// runCheck runs a single check, so that the full reserve is kept for fullReserveFor.
func (r *rig) runCheck() {
	r.calls.Wait()
	r.call(&proto.Peer{}, r.head(ident.Check, time.Second))
	r.calls.Wait()
}

// warm sends requests until the limit has risen to the configured number of slots.
func (r *rig) warm() {
	for range 1000 {
		if !r.Limit.Warming() {
			break
		}
		for range r.Limit.Current() {
			r.lookup(time.Second)
		}
		time.Sleep(10 * serviceTime)
	}
	r.runCheck()
	r.Expect(r.Limit.Current()).To(Equal(r.service.Slots))
	r.backend.set(func() { r.backend.peak = 0 })
}
