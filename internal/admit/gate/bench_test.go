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

// instant answers at once.
type instant struct{}

var instantHeader = http.Header{"Content-Type": {"text/plain"}, "Content-Length": {"2"}}

func (instant) Do(a *server.Attempt) (*http.Response, *code.Error) {
	a.Written()
	body := io.NopCloser(strings.NewReader("ok"))
	return &http.Response{StatusCode: http.StatusOK, Header: instantHeader, ContentLength: 2, Body: body}, nil
}

func (instant) Draining() bool { return false }

// sink is a stream whose router reads all at once and sends nothing more.
type sink struct{ ctx context.Context }

func (s sink) Context() context.Context { return s.ctx }
func (sink) Send(proto.Frame) error     { return nil }
func (sink) Recv() (proto.Frame, error) { return nil, io.EOF }
func (sink) CloseSend() error           { return nil }
func (sink) Close() error               { return nil }

// BenchmarkCall measures the gate's part of a call: all of it but the stream and the server.
func BenchmarkCall(b *testing.B) {
	r := newBench(b)
	for b.Loop() {
		r.one()
	}
}

// BenchmarkCallQueued measures it for calls that nearly all pass the queue: the limit is that of a start, one call.
func BenchmarkCallQueued(b *testing.B) {
	const callers = 16
	r := newBench(b)
	b.SetParallelism(callers)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.one()
		}
	})
}

// bench gives a gate calls that end at once.
type bench struct {
	*rig
	b      *testing.B
	peer   proto.Peer
	stream sink
	seq    atomic.Uint64
}

var benchHeader = http.Header{"Accept": {"*/*"}, "X-Trace": {"1"}, "User-Agent": {"kiosk"}}

func newBench(b *testing.B) *bench {
	r := &bench{rig: newRig(b), b: b, stream: sink{b.Context()}}
	r.service.Queue = 1000
	r.Server = instant{}
	b.Cleanup(func() { r.Expect(r.Dump().(Dump).Failures).To(BeEmpty()) })
	b.ReportAllocs()
	return r
}

func (r *bench) one() {
	head := &proto.Head{
		ID:      ident.AttemptID{Request: ident.RequestID{Router: 1, Seq: r.seq.Add(1)}, Attempt: 1},
		Service: "stock", Method: http.MethodGet, Target: "/item/7?shop=3", Host: "stock", Class: ident.Lookup,
		Remaining: time.Minute, SentAt: time.Since(epoch), Idempotent: true, End: true, Header: benchHeader,
	}
	if err := r.Call(&r.peer, head, r.stream); err != nil {
		r.b.Error(err)
	}
}
