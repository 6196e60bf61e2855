package link

import (
	"context"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// releaseReceived returns the connection of a complete upload to the pool once the peer has received its last frame. The server may have
// answered before, and the peer reads the body at the server's pace, until the deadline at the latest. A ping confirms that, because the
// peer handles one stream of a connection at a time; a call would wait for its ack in vain.
func (p *Pool) releaseReceived(c *conn, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(p.CheckTimeout))
	defer cancel()
	if c.rpc.Invoke(ctx, rpcPing, proto.Codec{}, &proto.Ping{}, &proto.Ping{}) != nil {
		p.drop(c)
		return
	}
	p.release(c)
}
