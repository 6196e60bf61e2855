package call

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/route/choice"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// outrank sends a request that every server refuses by precedence, and returns the heads of its attempts and its failure.
func outrank(t *testing.T, precedence bool) ([]*proto.Head, *code.Error) {
	f := &fake{script: func(*proto.Head) string { return "outranked" }}
	c := newClient(f, 5)
	service := config.NewService("stock")
	service.ReportsLoad = true
	conf := &config.Config{Revision: 2, Services: map[string]*config.Service{"stock": service}, Precedence: precedence}
	NewWithT(t).Expect(c.Config.Set(conf)).To(Succeed())
	request := keyed(conf, "public", "")
	request.Organisation, request.Priority, request.Route.Objective = config.NewOrganisation("ann"), 3, 300*time.Millisecond
	_, err := c.Do(t.Context(), request)
	return f.heads, code.Of(err)
}

// Guards against a request whose server does not learn its precedence, against one that visits all servers though others come first at
// each, and against a caller that does not learn when there is likely to be room.
func TestPrecedenceIsStated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		heads, failure := outrank(t, true)
		g.Expect(heads).To(HaveLen(maxPrecedenceAttempts))
		for _, head := range heads {
			g.Expect([]any{head.Priority, head.Organisation}).To(Equal([]any{3, "ann"}))
			g.Expect(head.Objective).To(BeNumerically("~", 300*time.Millisecond, 10*time.Millisecond))
		}
		g.Expect([]any{failure.Code, failure.Outcome}).To(Equal([]any{code.LowPrecedence, code.NotRun}))
		g.Expect(failure.RetryAfter).To(BeNumerically("~", 1125*time.Millisecond, 125*time.Millisecond))
	})
}

// Guards against fields of precedence that are sent although the configuration does not enable it.
func TestNoPrecedenceIsStated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		heads, failure := outrank(t, false)
		g.Expect(heads).To(HaveLen(maxAttempts))
		for _, head := range heads {
			g.Expect([]any{head.Priority, head.Objective, head.Organisation}).To(Equal([]any{0, time.Duration(0), ""}))
		}
		g.Expect(failure.RetryAfter).To(BeZero())
	})
}

// Guards against a request that is refused by the floors of servers without the time that their daemons state to others.
func TestRetryAfterOfFloors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := &request{c: &Client{}, req: &Request{Service: "stock"}, precedence: precedence{enabled: true, priority: 2}}
		refused := func() *code.Error {
			return code.Of(r.withRetryAfter(code.NotRunf(code.LowPrecedence, "floor").WithCause(choice.ErrFull)))
		}
		g.Expect(refused().RetryAfter).To(BeZero())
		r.retryAfter(400 * time.Millisecond)
		g.Expect(refused().RetryAfter).To(BeNumerically("~", 450*time.Millisecond, 50*time.Millisecond))
		g.Expect(errors.Is(refused(), choice.ErrFull)).To(BeTrue())
		time.Sleep(2 * maxStatedAge)
		g.Expect(refused().RetryAfter).To(BeZero())
	})
}
