package watch

import (
	"context"
	"net/netip"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// link is one direction of a daemon's link.
type link struct {
	daemon netip.AddrPort
	out    bool
}

// networkClient is the client of one daemon on the simulated network. A lost message and a stopped daemon both lead to no reply.
type networkClient struct {
	fleet *fleet
	self  netip.AddrPort
}

func (p networkClient) Exchange(ctx context.Context, to netip.AddrPort, request *proto.Exchange) (*proto.Exchange, error) {
	request, err := p.fleet.received(request)
	if err != nil {
		return nil, err
	}
	target, err := p.deliver(ctx, p.self, to, exchangeSize(request))
	if err != nil {
		return nil, err
	}
	// The handler runs in its own goroutine as it would in the other process: when that is paused, the caller still returns in time.
	peer := &proto.Peer{Hello: proto.Hello{Address: p.self}}
	replies := make(chan *proto.Exchange, 1)
	go func() {
		if reply, err := target.node.Exchange(ctx, peer, request); err == nil {
			replies <- reply
		}
	}()
	size := headerSize
	var reply *proto.Exchange
	select {
	case reply = <-replies:
		size = exchangeSize(reply)
	case <-ctx.Done():
	}
	if _, err = p.deliver(ctx, to, p.self, size); err != nil {
		return nil, err
	}
	return p.fleet.received(reply)
}

// received returns an exchange as the other daemon decodes it.
func (f *fleet) received(sent *proto.Exchange) (*proto.Exchange, error) {
	if !f.encoded.Load() {
		return sent, nil
	}
	encoded, err := proto.Codec{}.Marshal(sent)
	if err != nil {
		return nil, err
	}
	decoded := new(proto.Exchange)
	return decoded, proto.Codec{}.Unmarshal(encoded, decoded)
}

func (p networkClient) Status(ctx context.Context, to netip.AddrPort, request *proto.Status) (*proto.Status, error) {
	target, err := p.deliver(ctx, p.self, to, headerSize)
	if err != nil {
		return nil, err
	}
	return target.node.Status(ctx, nil, request)
}

// deliver carries one message between two addresses. It waits while the remote daemon is paused, at most until ctx ends, and returns
// to a paused caller only when that is resumed, even when ctx has long ended.
func (p networkClient) deliver(ctx context.Context, from, to netip.AddrPort, size int) (*daemon, error) {
	f := p.fleet
	f.mu.Lock()
	sender, target := f.daemons[from], f.daemons[to]
	lost := sender == nil || target == nil || f.side[from] != f.side[to] || f.random.Float64() < f.loss
	// Messages arrive at whole milliseconds of virtual time, so that daemons with arrivals at the same instant run in parallel.
	latency := time.Until(time.Now().Truncate(time.Millisecond).Add(time.Duration(1+f.random.IntN(3)) * time.Millisecond))
	f.bytes += int64(size)
	f.mu.Unlock()
	time.Sleep(latency)
	f.carry(ctx, from, to, size)
	if lost {
		<-ctx.Done()
	}
	for _, address := range []netip.AddrPort{from, to} {
		if paused := f.pausedOf(address); paused != nil && address != p.self {
			select {
			case <-paused:
			case <-ctx.Done():
			}
		}
	}
	if paused := f.pausedOf(p.self); paused != nil {
		<-paused
	}
	if ctx.Err() != nil {
		return nil, code.Unknownf(code.PeerUnreachable, "no reply from %s", to)
	}
	return target, nil
}

const linkPiece = 4 << 10 // bytes that a link carries of one message before it carries those of others

// carry waits until the links of both daemons have carried size bytes, at most until ctx ends. What was carried until then is lost.
func (f *fleet) carry(ctx context.Context, from, to netip.AddrPort, size int) {
	for left := size; left > 0 && ctx.Err() == nil; left -= linkPiece {
		time.Sleep(time.Until(f.occupy(from, to, min(left, linkPiece))))
	}
}

// rateOf returns the rate of a daemon's link. One in fastOneIn is fast.
func (f *fleet) rateOf(daemon netip.AddrPort) int {
	const fastOneIn, fastTimes = 7, 20
	if daemon.Addr().As4()[3]%fastOneIn == 0 {
		return fastTimes * f.rate
	}
	return f.rate
}

// occupy books the links of both daemons for size bytes and returns when both have carried them.
func (f *fleet) occupy(from, to netip.AddrPort, size int) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.rate == 0 {
		return now
	}
	carried := now
	for _, used := range []link{{from, true}, {to, false}} {
		if !used.daemon.IsValid() {
			continue // the store, whose link is fast
		}
		free := f.free[used]
		if free.Before(now) {
			free = now
		}
		f.free[used] = free.Add(time.Duration(size) * time.Second / time.Duration(f.rateOf(used.daemon)))
		if f.free[used].After(carried) {
			carried = f.free[used]
		}
	}
	return carried
}

func (f *fleet) pausedOf(address netip.AddrPort) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d := f.daemons[address]; d != nil {
		return d.paused
	}
	return nil
}

// headerSize estimates the bytes of the frame, TCP and IP headers of a message and its acknowledgment.
const headerSize = 120

// exchangeSize estimates the encoded size of an exchange in bytes.
func exchangeSize(m *proto.Exchange) int {
	size := headerSize + recordSize(m.From) + 24 + 9*(len(m.Digests)+len(m.Held))
	for _, r := range m.Members {
		size += recordSize(r)
	}
	for _, c := range m.Changes {
		for _, file := range c.Put {
			size += 64 + len(file.Name) + len(file.Content)
		}
	}
	if m.Snapshot != nil {
		size += setSize(*m.Snapshot)
	}
	if m.Part != nil {
		size += 9 * len(m.Part.Digests)
		for _, file := range m.Part.Files {
			size += 8 + len(file.Name) + len(file.Content)
		}
	}
	return size
}

func setSize(set files.Set) int {
	size := 0
	for _, file := range set.Files {
		size += 8 + len(file.Name) + len(file.Content)
	}
	return size
}

func recordSize(r member.Record) int {
	return 2*10 + 6 + len(r.Service) + len(r.Zone) + len(r.Region) + 11 + 2 + 4 + 2
}
