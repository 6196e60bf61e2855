package permit

import (
	"context"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// client sends the messages of a process.
type client struct {
	from *process
}

var errCut = code.Unknownf(code.PeerUnreachable, "no reply")

// Permit implements proto.PermitClient. Some packets are lost and sent again after 200 ms. A message to a paused process is processed when
// it resumes.
func (c client) Permit(ctx context.Context, to netip.AddrPort, req *proto.PermitRequest) (*proto.PermitReply, error) {
	f := c.from.fleet
	target := f.daemons[to.Addr().As4()[3]-1]
	f.mu.Lock()
	f.messages += 2
	f.mu.Unlock()
	type result struct {
		reply *proto.PermitReply
		err   error
	}
	done := make(chan result, 1)
	f.work.Go(func() {
		reply, err := c.deliver(target, req)
		done <- result{reply, err}
	})
	select {
	case r := <-done:
		if !c.from.waitWhilePaused(f.ctx) {
			return nil, errCut
		}
		return r.reply, r.err
	case <-ctx.Done():
		return nil, code.Unknownf(code.DeadlineExceeded, "no reply in time").WithCause(ctx.Err())
	}
}

func (c client) deliver(target *process, req *proto.PermitRequest) (*proto.PermitReply, error) {
	if !c.from.waitWhilePaused(c.from.fleet.ctx) || !c.transmit(target) || !target.waitWhilePaused(c.from.fleet.ctx) {
		<-c.from.fleet.ctx.Done()
		return nil, errCut
	}
	target.mu.Lock()
	agent, killed, silent := target.agent, target.killed, target.silent
	target.mu.Unlock()
	if killed && !silent {
		return nil, code.NotRunf(code.PeerUnreachable, "refused").WithCause(errors.WithStack(syscall.ECONNREFUSED))
	}
	if !killed {
		reply, err := agent.Permit(c.from.fleet.ctx, &proto.Peer{Hello: proto.Hello{Address: c.from.address}}, req)
		if c.transmit(target) {
			return reply, err
		}
	}
	<-c.from.fleet.ctx.Done()
	return nil, errCut
}

// transmit waits for the latency, and reports false when the processes do not reach each other.
func (c client) transmit(target *process) bool {
	f := c.from.fleet
	delay := f.between(200*time.Microsecond, 3400*time.Microsecond)
	if f.loses(link{c.from, target}) {
		delay += 200 * time.Millisecond
	}
	return c.from.sleep(delay) && c.from.reaches(target)
}
