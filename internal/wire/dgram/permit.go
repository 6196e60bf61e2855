package dgram

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// permitTimeout bounds the decision on a request for permits, which may wait for a message to another daemon.
const permitTimeout = 100 * time.Millisecond

// permits are the requests for permits that wait for their replies.
type permits struct {
	number atomic.Uint64

	mu      sync.Mutex
	waiting map[uint64]permitWaiter
}

type permitWaiter struct {
	to    netip.AddrPort
	reply chan *proto.PermitReply // has room for the reply
}

func (p *permits) add(to netip.AddrPort) (uint64, permitWaiter) {
	w := permitWaiter{to: to, reply: make(chan *proto.PermitReply, 1)}
	number := p.number.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = make(map[uint64]permitWaiter)
	}
	p.waiting[number] = w
	return number, w
}

// remove removes a request. It reports false if it does not wait any longer, or waits for another daemon.
func (p *permits) remove(number uint64, from netip.AddrPort) (permitWaiter, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, found := p.waiting[number]
	if !found || w.to != from {
		return permitWaiter{}, false
	}
	delete(p.waiting, number)
	return w, true
}

// Permit implements proto.PermitClient. A request or reply that the network loses is not repeated; the call then ends with ctx.
func (r *Reporter) Permit(ctx context.Context, to netip.AddrPort, req *proto.PermitRequest) (*proto.PermitReply, error) {
	number, w := r.permits.add(to)
	defer r.permits.remove(number, to)
	if _, err := r.Conn.WriteToUDPAddrPort(proto.EncodeDatagram(proto.NumberedPermitRequest{Number: number, Request: *req}), to); err != nil {
		r.counters.failed.Add(1)
		return nil, code.NotRunf(code.PeerUnreachable, "the request was not sent").WithCause(err)
	}
	select {
	case reply := <-w.reply:
		return reply, nil
	case <-ctx.Done():
		return nil, code.Unknownf(code.PeerUnreachable, "no reply from %v", to).WithCause(ctx.Err())
	}
}

func (r *Reporter) replied(m proto.NumberedPermitReply, from netip.AddrPort) {
	if w, found := r.permits.remove(m.Number, from); found {
		w.reply <- &m.Reply
	}
}

// servePermit decides on a request for permits in the background, because the decision may take some time.
func (r *Reporter) servePermit(m proto.NumberedPermitRequest, from netip.AddrPort) {
	if r.Permits == nil || !r.permitReplies.take(time.Now(), maxReplies) {
		r.counters.limited.Add(1)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
		defer cancel()
		reply, err := r.Permits.Permit(ctx, &proto.Peer{Hello: proto.Hello{Address: from}}, &m.Request)
		if err != nil {
			return // the other daemon then asks another one
		}
		payload := proto.EncodeDatagram(proto.NumberedPermitReply{Number: m.Number, Reply: *reply})
		if _, err := r.Conn.WriteToUDPAddrPort(payload, from); err != nil {
			r.counters.failed.Add(1)
		}
	}()
}
