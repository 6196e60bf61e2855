package link

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const maxLatency = int64(10 * time.Second)

// unrecordedHandler serves calls without recording their heads.
type unrecordedHandler struct {
	fakeAdmission
	serve func(stream proto.Stream) error
}

func (a *unrecordedHandler) Call(_ *proto.Peer, _ *proto.Head, stream proto.Stream) error {
	return a.serve(stream)
}

// BenchmarkCall measures a call with a 512-byte answer on a pooled connection over loopback TCP, and reports the median and the
// 99th percentile of its latency.
func BenchmarkCall(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	body := make([]byte, 512)
	handler := &unrecordedHandler{serve: func(stream proto.Stream) error {
		if err := stream.Send(&proto.Ack{Verdict: proto.Admitted}); err != nil {
			return err
		}
		header := http.Header{"Content-Type": {"text/plain"}}
		return stream.Send(&proto.Answer{Status: 200, Header: header, ContentLength: 512, Body: body, End: true})
	}}
	server := &Server{Listener: listener, Calls: handler, Fleet: handler, MinDrain: time.Millisecond, Log: logr.Discard()}
	ctx, stop := context.WithCancel(b.Context())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	pool := &Pool{Log: logr.Discard()}
	to := listener.Addr().(*net.TCPAddr).AddrPort()
	times := hdrhistogram.New(1, maxLatency, 3)
	b.ReportAllocs()
	for b.Loop() {
		start := time.Now()
		benchCall(b, pool, to)
		_ = times.RecordValue(int64(time.Since(start)))
	}
	b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-ns")
	b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-ns")
	stop()
	if err := <-done; err != nil {
		b.Fatal(err)
	}
}

func benchCall(b *testing.B, pool *Pool, to netip.AddrPort) {
	head := &proto.Head{
		Service: "stock", Method: http.MethodGet, Target: "/stock/17", Host: "stock", ContentLength: -1, End: true,
		Header:    http.Header{"Accept": {"*/*"}, "User-Agent": {"kiosk"}, "Accept-Encoding": {"gzip"}},
		Remaining: time.Second,
	}
	stream, err := pool.Call(b.Context(), to, head)
	if err != nil {
		b.Fatal(err)
	}
	for range 2 {
		if _, err := stream.Recv(); err != nil {
			b.Fatal(err)
		}
	}
	if err := stream.Close(); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkPermit measures a request for permits on a pooled connection over loopback TCP, and reports the processor time of both sides.
// The requests are paced as those of the benchmark with the same name in wire/dgram, because wake-ups take most of the time.
func BenchmarkPermit(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	handler := &fakeAdmission{}
	server := &Server{Listener: listener, Calls: handler, Fleet: handler, Permits: handler, MinDrain: time.Millisecond, Log: logr.Discard()}
	ctx, stop := context.WithCancel(b.Context())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	pool := &Pool{Log: logr.Discard()}
	to := listener.Addr().(*net.TCPAddr).AddrPort()
	b.ReportAllocs()
	before := processorTime(b)
	for b.Loop() {
		request := &proto.PermitRequest{Organisation: "Bakers United", Wanted: 1, Revision: 812, Rate: 16, Burst: 16}
		if _, err := pool.Permit(b.Context(), to, request); err != nil {
			b.Fatal(err)
		}
		time.Sleep(time.Millisecond / 2)
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
	stop()
	if err := <-done; err != nil {
		b.Fatal(err)
	}
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
