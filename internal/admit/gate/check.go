package gate

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"marigoldwinch.example/marigoldwinch/internal/admit/limit"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

// refusing returns the service's configuration, or why all new work is refused.
func (g *Gate) refusing() (*config.Service, *code.Error) {
	c := g.Config.Get()
	if c == nil {
		return nil, code.NotRunf(code.NoConfiguration, "no configuration is in force yet")
	}
	service := c.Services[g.Service]
	switch {
	case service == nil:
		return nil, code.NotRunf(code.UnknownService, "service %s is not configured", g.Service)
	case g.Isolated != nil && g.Isolated():
		return nil, code.NotRunf(code.Isolated, "neither the platform nor a peer was heard from")
	case c.ZoneOut(g.Zone):
		return nil, code.NotRunf(code.ZoneOut, "zone %s is out", g.Zone)
	case !service.AllowsZone(g.Zone):
		return nil, code.NotRunf(code.ZoneOut, "zone %s may not carry service %s", g.Zone, g.Service)
	case c.Leaving(g.Address):
		return nil, code.NotRunf(code.ServerLeaving, "server %s is leaving", g.Address)
	case g.Server.Draining():
		return nil, code.NotRunf(code.ServerLeaving, "server %s is draining", g.Address)
	case g.stopping.Load():
		return nil, code.NotRunf(code.Stopping, "daemon %s is stopping", g.Address)
	}
	if g.Instance != nil {
		if refused := g.Instance.Refusing(); refused != nil {
			return nil, refused
		}
	}
	return service, nil
}

// check applies the checks of a new head that precede the one for capacity.
func (g *Gate) check(c *call, excess time.Duration) (*config.Service, *code.Error) {
	if refused := c.validate(); refused != nil {
		return nil, refused
	}
	if c.head.Service != g.Service {
		return nil, code.NotRunf(code.WrongServer, "this server carries %s, not %s", g.Service, c.head.Service)
	}
	service, refused := g.refusing()
	if refused != nil {
		return nil, refused
	}
	if excess > 0 && excess >= c.head.Remaining {
		return nil, code.NotRunf(code.StaleTransit, "the head was in transit %s too long", excess)
	}
	return service, c.expired()
}

// recheck repeats, just before the run, the checks that can have changed while the request waited or the daemon was
// paused. A request that already holds a slot when the daemon stops still runs.
func (g *Gate) recheck(c *call) *code.Error {
	if c.peer.Revoked() {
		return code.NotRunf(code.Revoked, "connection %d is revoked", c.peer.Hello.Conn)
	}
	if _, refused := g.refusing(); refused != nil && refused.Code != code.Stopping {
		return refused
	}
	return c.expired()
}

func (c *call) expired() *code.Error {
	if late := time.Since(c.deadline); late >= 0 {
		return code.NotRunf(code.DeadlineExceeded, "the deadline passed %s ago", late)
	}
	return nil
}

// validate refuses a head that the transport could not send, so that a bad request does not count against the server. It
// keeps the parsed target.
func (c *call) validate() *code.Error {
	head := c.head
	switch {
	case head.Class < ident.Check || head.Class > ident.Upload:
		return code.NotRunf(code.BadRequest, "class %d is unknown", head.Class)
	case head.Depth < 0 || head.Depth > ident.MaxDepth:
		return code.NotRunf(code.BadRequest, "depth %d is not in 0 to %d", head.Depth, ident.MaxDepth)
	case !httpguts.ValidHeaderFieldName(head.Method) || head.Method == http.MethodConnect:
		return code.NotRunf(code.BadRequest, "method %q cannot be passed on", head.Method)
	case !strings.HasPrefix(head.Target, "/") && head.Target != "*":
		return code.NotRunf(code.BadRequest, "target %q is not a path", head.Target)
	case !httpguts.ValidHostHeader(head.Host):
		return code.NotRunf(code.BadRequest, "host %q is not valid", head.Host)
	}
	target, err := url.ParseRequestURI(head.Target)
	if err != nil {
		return code.NotRunf(code.BadRequest, "target %q is not valid", head.Target).WithCause(err)
	}
	c.target = target
	for name, values := range head.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return code.NotRunf(code.BadRequest, "header name %q is not valid", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return code.NotRunf(code.BadRequest, "value of header %s is not valid", name)
			}
		}
	}
	return nil
}

// observe acts on a change of the standing reason to refuse work: it refuses the queue, logs the reason, and begins the
// warm-up of a server that returns. The warm-up limit is already in force while the server is out, so that no request
// that precedes the observation of its return runs under the old limit.
func (g *Gate) observe() {
	g.mu.Lock()
	_, refused := g.refusing()
	now := code.None
	if refused != nil {
		now = refused.Code
	}
	before := g.standing
	g.standing = now
	if refused != nil {
		g.flush(refused)
	}
	g.mu.Unlock()
	if before == now {
		return
	}
	g.Log.Info("admission-changed", "refusing", now.String(), "before", before.String())
	if coolsDown(before) || coolsDown(now) {
		g.Limit.Restart(limit.Returned)
	}
}

func coolsDown(c code.Code) bool {
	return c == code.ZoneOut || c == code.ServerLeaving
}
