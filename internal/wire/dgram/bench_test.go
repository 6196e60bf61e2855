package dgram

import (
	"context"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// BenchmarkPermit measures a request for permits over loopback, and reports the processor time of both sides and their bytes.
func BenchmarkPermit(b *testing.B) {
	g := NewWithT(b)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	var reporters [2]*Reporter
	var addresses [2]netip.AddrPort
	for i := range reporters {
		conn, self := listen(g)
		addresses[i] = self
		reporters[i] = &Reporter{Conn: conn, Log: logr.Discard(), Permits: granter{}}
		go func() { _ = reporters[i].Run(ctx) }()
	}
	request := &proto.PermitRequest{Organisation: "Bakers United", Wanted: 1, Revision: 812, Rate: 16, Burst: 16}
	before := processorTime(b)
	for b.Loop() {
		callCtx, stop := context.WithTimeout(ctx, time.Second)
		// More requests than the limit of a daemon get no reply.
		_, err := reporters[0].Permit(callCtx, addresses[1], request)
		stop()
		if err != nil {
			b.Fatal(err)
		}
		time.Sleep(time.Second / maxReplies)
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
	sent := len(proto.EncodeDatagram(proto.NumberedPermitRequest{Number: 1 << 20, Request: *request}))
	received := len(proto.EncodeDatagram(proto.NumberedPermitReply{Number: 1 << 20, Reply: proto.PermitReply{Granted: 1}}))
	b.ReportMetric(float64(sent+received), "bytes/op")
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
