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

// serviceOrRefusal returns the configuration of the service, or the reason why the gate refuses all new calls.
func (g *Gate) serviceOrRefusal() (*config.Service, *code.Error) {
	service, refused := g.inService()
	if refused == nil && g.Rollout != nil {
		refused = g.Rollout.Refusing()
	}
	if refused != nil {
		return nil, refused
	}
	return service, nil
}

// InService reports whether the gate admits calls, apart from a roll-out and from the capacity.
func (g *Gate) InService() bool {
	_, refused := g.inService()
	return refused == nil
}

func (g *Gate) inService() (*config.Service, *code.Error) {
	c := g.Config.Get()
	if c == nil {
		return nil, code.NotRunf(code.NoConfiguration, "no configuration is in force yet")
	}
	service := c.Services[g.Service]
	switch {
	case service == nil:
		return nil, code.NotRunf(code.UnknownService, "service %s is not configured", g.Service)
	case g.Isolated != nil && g.Isolated():
		return nil, code.NotRunf(code.Isolated, "the daemon is isolated: no contact with the platform or any peer")
	case c.ZoneOut(g.Zone):
		return nil, code.NotRunf(code.ZoneOut, "zone %s is out of service", g.Zone)
	case !service.AllowsZone(g.Zone):
		return nil, code.NotRunf(code.ZoneOut, "zone %s is not allowed for service %s", g.Zone, g.Service)
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

// checkHead validates the head of a new call and refuses calls that cannot run, before the call is checked against the capacity.
// excess is how much longer the head was in transit than the fastest message of its connection.
func (g *Gate) checkHead(c *call, excess time.Duration) (*config.Service, *code.Error) {
	if refused := c.validate(); refused != nil {
		return nil, refused
	}
	if c.head.Service != g.Service {
		return nil, code.NotRunf(code.WrongServer, "this server runs service %s, not %s", g.Service, c.head.Service)
	}
	service, refused := g.serviceOrRefusal()
	if refused != nil {
		return nil, refused
	}
	if excess > 0 && excess >= c.head.Remaining {
		return nil, code.NotRunf(code.StaleTransit, "the request head was delayed by %s in transit, past its deadline", excess)
	}
	if refused := c.outlastsStop(); refused != nil {
		return nil, refused
	}
	return service, c.expired()
}

// recheck repeats, just before the run, the checks whose result can change while the request waits or the process is paused.
// A request that holds a slot when the daemon begins to stop still runs.
func (g *Gate) recheck(c *call) *code.Error {
	if c.peer.Revoked() {
		return code.NotRunf(code.Revoked, "connection %d is revoked", c.peer.Hello.Conn)
	}
	if c.stream.Context().Err() != nil {
		return code.NotRunf(code.Cancelled, "the call ended before the request ran")
	}
	if _, refused := g.serviceOrRefusal(); refused != nil && refused.Code != code.Stopping {
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

// validate refuses a head that the HTTP transport cannot send, so that a malformed request is not counted as a failure of the
// server. It sets c.target.
func (c *call) validate() *code.Error {
	head := c.head
	switch {
	case head.Class < ident.Check || head.Class > ident.Upload:
		return code.NotRunf(code.BadRequest, "unknown request class %d", head.Class)
	case head.Depth < 0 || head.Depth > ident.MaxDepth:
		return code.NotRunf(code.BadRequest, "call depth %d is not in the range 0 to %d", head.Depth, ident.MaxDepth)
	case !httpguts.ValidHeaderFieldName(head.Method) || head.Method == http.MethodConnect:
		return code.NotRunf(code.BadRequest, "method %q cannot be forwarded", head.Method)
	case !strings.HasPrefix(head.Target, "/") && head.Target != "*":
		return code.NotRunf(code.BadRequest, "request target %q is not a path", head.Target)
	case !httpguts.ValidHostHeader(head.Host):
		return code.NotRunf(code.BadRequest, "invalid host %q", head.Host)
	}
	target, err := url.ParseRequestURI(head.Target)
	if err != nil {
		return code.NotRunf(code.BadRequest, "invalid request target %q", head.Target).WithCause(err)
	}
	c.target = target
	for name, values := range head.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return code.NotRunf(code.BadRequest, "invalid header name %q", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return code.NotRunf(code.BadRequest, "invalid value of header %s", name)
			}
		}
	}
	return nil
}

// refreshRefusing updates the reason for which all new calls are refused. When the gate starts to refuse, queued calls are refused
// too. A change is logged, and restarts the warm-up when the zone or the server goes out of service or returns. The warm-up limit
// applies from the moment when the server goes out, because a request may be admitted after the server has returned and before
// refreshRefusing has seen it; that request must not run under the old limit.
func (g *Gate) refreshRefusing() {
	g.mu.Lock()
	_, refused := g.serviceOrRefusal()
	current := code.None
	if refused != nil {
		current = refused.Code
	}
	previous := g.lastRefusing
	g.lastRefusing = current
	if refused != nil {
		g.refuseQueued(refused)
	}
	g.mu.Unlock()
	// The allowance of a server in trial runs out several times per second, so that these changes are not logged.
	if previous == current || current == code.OutOfService && previous == code.None || previous == code.OutOfService && current == code.None {
		return
	}
	g.Log.Info("admission-changed", "refusing", current.String(), "before", previous.String())
	if restartsWarmUp(previous) || restartsWarmUp(current) {
		g.Limit.Restart(limit.Returned)
	}
}

// restartsWarmUp reports whether the warm-up restarts when the gate begins or ceases to refuse all calls with the code.
func restartsWarmUp(c code.Code) bool {
	return c == code.ZoneOut || c == code.ServerLeaving
}
