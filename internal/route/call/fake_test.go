package call

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/route/budget"
	"marigoldwinch.example/marigoldwinch/internal/route/choice"
	"marigoldwinch.example/marigoldwinch/internal/route/pool"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// fake is a proto.CallClient whose attempts follow scripts: lists of steps separated by semicolons.
type fake struct {
	script       func(head *proto.Head) string // returns the script of an attempt
	resolveDelay time.Duration                 // until the reply to a resolve

	mu        sync.Mutex
	heads     []*proto.Head
	streams   []*fakeStream
	resolves  []string // remaining replies to resolves; the last one is repeated
	log       []string
	pooled    map[uint64]bool // connections that other calls may use
	confirmed int             // confirmations of held responses
}

func (f *fake) logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, fmt.Sprintf(format, args...))
}

// pool makes a connection available to other calls, as the stream of link does on its close.
func (f *fake) pool(conn uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pooled == nil {
		f.pooled = make(map[uint64]bool)
	}
	f.pooled[conn] = true
}

type fakeStream struct {
	ctx          context.Context
	f            *fake
	number       int
	steps        []string
	ignoresClose bool // Recv still returns frames after the stream is closed
	trickles     bool // bytes of the next frame arrive all the time
	complete     bool // the last frame of the response was received
	broken       bool // the connection has failed
	closed       chan struct{}
	once         sync.Once
	mu           sync.Mutex
	body         []byte
}

func (f *fake) Call(ctx context.Context, _ netip.AddrPort, head *proto.Head) (proto.ClientStream, error) {
	script := f.script(head) // called without the lock, because it may make further calls itself
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &fakeStream{ctx: ctx, f: f, number: len(f.streams) + 1, closed: make(chan struct{}), body: append([]byte(nil), head.Body...)}
	f.heads = append(f.heads, head)
	f.streams = append(f.streams, s)
	f.log = append(f.log, fmt.Sprintf("attempt %d", head.ID.Attempt))
	for step := range strings.SplitSeq(script, ";") {
		s.steps = append(s.steps, strings.TrimSpace(step))
	}
	switch s.steps[0] {
	case "refused-connection":
		close(s.closed)
		return nil, code.NotRunf(code.PeerUnreachable, "connection refused")
	case "broken-connection":
		close(s.closed)
		return nil, code.Unknownf(code.PeerUnreachable, "broken while sending")
	}
	return s, nil
}

func (f *fake) Probe(context.Context, netip.AddrPort, *proto.Probe) (*proto.ProbeReply, error) {
	return nil, code.NotRunf(code.PeerUnreachable, "no probes")
}

func (f *fake) Resolve(_ context.Context, _ netip.AddrPort, ask *proto.Resolve) (*proto.Resolution, error) {
	time.Sleep(f.resolveDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if ask.Done {
		f.confirmed++
		return &proto.Resolution{}, nil
	}
	reply := "error"
	if len(f.resolves) > 0 {
		reply = f.resolves[0]
		if len(f.resolves) > 1 {
			f.resolves = f.resolves[1:]
		}
	}
	f.log = append(f.log, fmt.Sprintf("resolve conn %d: %s", ask.Conn, reply))
	if f.pooled[ask.Conn] {
		f.log = append(f.log, fmt.Sprintf("closed conn %d under another call", ask.Conn))
	}
	word, rest, _ := strings.Cut(reply, ":")
	switch word {
	case "revoked":
		return &proto.Resolution{State: proto.StateRevoked}, nil
	case "running":
		return &proto.Resolution{State: proto.StateRunning}, nil
	case "finished":
		return &proto.Resolution{State: proto.StateFinished, Answer: answer("200 "+rest, true)}, nil
	case "ended":
		return &proto.Resolution{State: proto.StateFinished}, nil
	case "unknown":
		return &proto.Resolution{State: proto.StateUnknown}, nil
	case "cancelled-in-queue":
		return &proto.Resolution{State: proto.StateFinished, Failure: &proto.Failure{Code: code.Cancelled, Outcome: code.NotRun}}, nil
	case "cancelled":
		return &proto.Resolution{State: proto.StateFinished, Failure: &proto.Failure{Code: code.Cancelled}}, nil
	case "busy":
		return nil, code.Unknownf(code.Overloaded, "too many resolves")
	default:
		return nil, code.NotRunf(code.PeerUnreachable, "no reply")
	}
}

func answer(text string, end bool) *proto.Answer {
	status, body, _ := strings.Cut(text, " ")
	number, _ := strconv.Atoi(status)
	return &proto.Answer{Status: number, Header: http.Header{}, ContentLength: -1, Body: []byte(body), End: end}
}

var errBroken = errors.New("connection reset")

// Recv records whether the response is complete. Close then returns the connection to the pool instead of cancelling the call.
func (s *fakeStream) Recv() (proto.Frame, error) {
	frame, err := s.next()
	switch f := frame.(type) {
	case *proto.Ack:
		s.complete = f.Verdict == proto.Refused
	case *proto.Answer:
		s.complete = f.End
	case *proto.Piece:
		s.complete = f.End
	case *proto.Failure:
		s.complete = true
	}
	return frame, err
}

func (s *fakeStream) next() (proto.Frame, error) {
	for {
		closed := s.closed
		if s.ignoresClose {
			closed = nil
		}
		select {
		case <-closed:
			return nil, errBroken
		case <-s.ctx.Done():
			return nil, s.ctx.Err()
		default:
		}
		if len(s.steps) == 0 {
			return nil, io.EOF
		}
		step := s.steps[0]
		s.steps = s.steps[1:]
		word, rest, _ := strings.Cut(step, " ")
		switch word {
		case "ack":
			return &proto.Ack{Verdict: proto.Admitted}, nil
		case "queue":
			return &proto.Ack{Verdict: proto.Queued}, nil
		case "refuse":
			return &proto.Ack{Verdict: proto.Refused, Code: code.Overloaded, Detail: "full"}, nil
		case "outranked":
			return &proto.Ack{Verdict: proto.Refused, Code: code.LowPrecedence, RetryAfter: time.Second}, nil
		case "answer":
			return answer(rest, true), nil
		case "answer-with-blank": // in the name of a field
			blank := answer(rest, true)
			blank.Header["Content-Length "] = []string{"1"}
			return blank, nil
		case "end-with-blank":
			return &proto.Piece{Data: []byte(rest), End: true, Trailer: http.Header{"X Sum": {"1"}}}, nil
		case "start":
			return answer(rest, false), nil
		case "piece":
			return &proto.Piece{Data: []byte(rest)}, nil
		case "end":
			return &proto.Piece{Data: []byte(rest), End: true, Trailer: http.Header{"X-Sum": {"1"}}}, nil
		case "unconfigured":
			return &proto.Ack{Verdict: proto.Refused, Code: code.NoConfiguration, Detail: "started"}, nil
		case "out-of-service":
			return &proto.Ack{Verdict: proto.Refused, Code: code.OutOfService, Detail: "replaced"}, nil
		case "switched":
			return &proto.Failure{Code: code.OutOfService, Outcome: code.NotRun}, nil
		case "not-run":
			return &proto.Failure{Code: code.QueueDeadline, Outcome: code.NotRun}, nil
		case "fail":
			return &proto.Failure{Code: code.ServerUnreachable, Outcome: code.Unknown}, nil
		case "late": // the following frames were received before the connection was closed
			wait, _ := time.ParseDuration(rest)
			time.Sleep(wait)
			s.ignoresClose = true
		case "break":
			s.broken = true
			return nil, errBroken
		case "trickle": // the next frame arrives byte by byte during the duration that follows
			s.mu.Lock()
			s.trickles = true
			s.mu.Unlock()
		default: // a duration to wait
			wait, err := time.ParseDuration(word)
			if err != nil {
				panic(err)
			}
			timer := time.NewTimer(wait)
			select {
			case <-timer.C:
			case <-s.closed:
			case <-s.ctx.Done():
			}
			timer.Stop()
		}
	}
}

func (s *fakeStream) Context() context.Context { return s.ctx }
func (s *fakeStream) Send(frame proto.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.body = append(s.body, frame.(*proto.Piece).Data...)
	return nil
}

func (s *fakeStream) bodySize() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.body)
}

func (s *fakeStream) CloseSend() error               { return nil }
func (s *fakeStream) Cancelled() bool                { return false }
func (s *fakeStream) Conn() uint64                   { return uint64(s.number) }
func (s *fakeStream) Incarnation() ident.Incarnation { return 9 }

func (s *fakeStream) Received() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.trickles {
		return 0
	}
	return uint64(time.Now().UnixNano())
}

func (s *fakeStream) Close() error {
	s.once.Do(func() {
		if !s.complete {
			s.f.logf("closed %d", s.number)
		}
		if !s.broken {
			s.f.pool(s.Conn())
		}
		close(s.closed)
	})
	return nil
}

// leaked returns the number of streams that were not closed. Each of them would keep a connection from the pool.
func (f *fake) leaked() int {
	count := 0
	for _, s := range f.streams {
		select {
		case <-s.closed:
		default:
			count++
		}
	}
	return count
}

func (s *fakeStream) CloseSilent() {
	s.once.Do(func() {
		s.f.logf("silent %d", s.number)
		close(s.closed)
	})
}

type records []member.Record

func (r records) Service(string) []member.Record { return r }

// newClient returns a Client with n servers and a budget of one additional attempt per ten requests.
func newClient(f *fake, n int) *Client {
	var list records
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
		list = append(list, member.Record{Address: address, State: member.Serving})
	}
	holder := &config.Holder{}
	_ = holder.Set(&config.Config{Revision: 1, Services: map[string]*config.Service{"stock": config.NewService("stock")}})
	p := &pool.Pool{Rand: func(string) *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }}
	return &Client{
		Transport: f, Config: holder, Pool: p, Budgets: &budget.Budgets{}, Incarnation: 5, Start: time.Now(),
		Choice: &choice.Chooser{Policy: choice.Probing{}, Pool: p, Members: list, Config: holder},
	}
}

// membersUntil are the members of a fleet that takes all of them for ended from a time on.
type membersUntil struct {
	records
	end time.Time
}

func (m membersUntil) Service(service string) []member.Record {
	if time.Now().After(m.end) {
		return nil
	}
	return m.records.Service(service)
}

// endAll makes the fleet take all daemons for ended after a time.
func endAll(c *Client, after time.Duration) {
	c.Choice.Members = membersUntil{records: c.Choice.Members.(records), end: time.Now().Add(after)}
}

// readAll reads a response to its end.
func readAll(x *Response) (string, error) {
	defer x.Close()
	var body []byte
	for {
		piece, err := x.Next()
		body = append(body, piece...)
		if errors.Is(err, io.EOF) {
			err = errors.CombineErrors(x.AwaitBody(), err)
		}
		if err != nil {
			return string(body), err
		}
	}
}
