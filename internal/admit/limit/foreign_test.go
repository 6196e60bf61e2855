package limit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
)

// fullReporter is a server with 18 slots.
type fullReporter struct{}

func (fullReporter) Slots() int { return 18 }
func (fullReporter) Pace() int  { return hdrs.NormalPace }
func (fullReporter) Cold() bool { return false }

func newReporting(t *testing.T, precedence bool) *Limiter {
	service := config.NewService("stock")
	service.ReportsLoad = true
	holder := &config.Holder{}
	c := &config.Config{Revision: 1, Services: map[string]*config.Service{"stock": service}, Precedence: precedence}
	NewWithT(t).Expect(holder.Set(c)).To(Succeed())
	return &Limiter{Config: holder, Service: "stock", Reporter: fullReporter{}, Log: logr.Discard()}
}

// Guards against a daemon that restarts beside a busy server and sends it more than the slots that the runs of its earlier process leave.
// A server of some services never answers a request that it cannot queue.
func TestRestartBesideABusyServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, l := NewWithT(t), newReporting(t, true)
		l.evaluate(time.Now())
		g.Expect(l.Current()).To(Equal(1), "the load is unknown")
		l.ObserveLoad(hdrs.Load{Running: 16, Waiting: 1, Slots: 18})
		g.Expect(l.Current()).To(Equal(1))
		l.ObserveLoad(hdrs.Load{Running: 10, Slots: 18})
		g.Expect(l.Current()).To(Equal(8))
		var ticket Ticket
		l.Begin(&ticket, ident.Lookup, 1, true)
		time.Sleep(2 * foreignWindow)
		l.ObserveLoad(hdrs.Load{Running: 4, Slots: 18})
		g.Expect(l.Current()).To(Equal(15), "one of the 4 is the daemon's own")
		l.End(&ticket, Ignored)
		time.Sleep(2 * foreignWindow)
		l.ObserveLoad(hdrs.Load{Running: 1, Slots: 18})
		g.Expect(l.Current()).To(Equal(17), "a cancelled request still runs")
		l.ObserveLoad(hdrs.Load{Slots: 18})
		g.Expect(l.Current()).To(Equal(18))
	})
}

// Guards against a limit that stays at 1 for a server which never tells its load, and against a changed limit without precedence.
func TestUnknownLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, l := NewWithT(t), newReporting(t, true)
		l.evaluate(time.Now())
		time.Sleep(unknownLoadFor)
		l.evaluate(time.Now())
		g.Expect(l.Current()).To(Equal(18))
		l = newReporting(t, false)
		l.evaluate(time.Now())
		l.ObserveLoad(hdrs.Load{Running: 16, Slots: 18})
		g.Expect(l.Current()).To(Equal(18))
	})
}
