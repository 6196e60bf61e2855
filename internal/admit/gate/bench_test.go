package gate

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/admit/server"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// instantBackend returns a response immediately.
type instantBackend struct{}

var instantHeader = http.Header{"Content-Type": {"text/plain"}, "Content-Length": {"2"}}

func (instantBackend) Do(a *server.Attempt) (*http.Response, *code.Error) {
	a.Written()
	body := io.NopCloser(strings.NewReader("ok"))
	return &http.Response{StatusCode: http.StatusOK, Header: instantHeader, ContentLength: 2, Body: body}, nil
}

func (instantBackend) Draining() bool { return false }

// discardStream is a stream that discards all sent frames and receives none.
type discardStream struct{ ctx context.Context }

func (s discardStream) Context() context.Context { return s.ctx }
func (discardStream) Send(proto.Frame) error     { return nil }
func (discardStream) Recv() (proto.Frame, error) { return nil, io.EOF }
func (discardStream) CloseSend() error           { return nil }
func (discardStream) Cancelled() bool            { return false }
func (discardStream) Close() error               { return nil }

// BenchmarkCall measures the overhead of the gate for one call, without the stream and the server.
func BenchmarkCall(b *testing.B) {
	r := newBench(b)
	for b.Loop() {
		r.serveOne()
	}
}

// BenchmarkCallQueued measures the same for calls of which nearly all are queued, because the limit stays at its initial value of 1.
func BenchmarkCallQueued(b *testing.B) {
	const callers = 16
	r := newBench(b)
	b.SetParallelism(callers)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.serveOne()
		}
	})
}

// benchRig runs calls on a gate whose server responds immediately.
type benchRig struct {
	*rig
	b      *testing.B
	peer   proto.Peer
	stream discardStream
	seq    atomic.Uint64
}

var benchHeader = http.Header{"Accept": {"*/*"}, "X-Trace": {"1"}, "User-Agent": {"kiosk"}}

func newBench(b *testing.B) *benchRig {
	r := &benchRig{rig: newRig(b), b: b, stream: discardStream{b.Context()}}
	r.service.Queue = 1000
	r.Server = instantBackend{}
	b.Cleanup(func() { r.Expect(r.Dump().(Dump).Failures).To(BeEmpty()) })
	b.ReportAllocs()
	return r
}

func (r *benchRig) serveOne() {
	head := &proto.Head{
		ID:      ident.AttemptID{Request: ident.RequestID{Router: 1, Seq: r.seq.Add(1)}, Attempt: 1},
		Service: "stock", Method: http.MethodGet, Target: "/item/7?shop=3", Host: "stock", Class: ident.Lookup,
		Remaining: time.Minute, SentAt: time.Since(epoch), Idempotent: true, End: true, Header: benchHeader,
	}
	if err := r.Call(&r.peer, head, r.stream); err != nil {
		r.b.Error(err)
	}
}
