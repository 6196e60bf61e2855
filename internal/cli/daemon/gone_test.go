package daemon_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/bench/memnet"
)

// lateCalls makes the servers of orders call the service stock some time after the start of each order, unless the order's connection is
// closed before, and records when the servers of stock receive these calls.
type lateCalls struct {
	after time.Duration // from the arrival of the order

	mu       sync.Mutex
	began    []time.Time // arrivals of orders
	received []time.Time
}

func (c *lateCalls) wrap(s *system, n *node, next http.Handler) http.Handler {
	client := s.client(n.host)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.service == "stock" && strings.HasPrefix(r.URL.Path, "/late/") {
			c.record(&c.received)
		}
		if n.service == "orders" && r.Method == http.MethodPost {
			_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body has been read
			c.record(&c.began)
			select {
			case <-r.Context().Done():
				return
			case <-time.After(c.after):
			}
			_ = s.send(client, n, s.request(http.MethodGet, "/stock/late/1", "late", http.NoBody).WithContext(r.Context()))
		}
		next.ServeHTTP(w, r)
	})
}

func (c *lateCalls) start(t *testing.T) *system {
	longer := strings.ReplaceAll(folder, "timeout = 1s", "timeout = 5s")
	return layout{folder: longer, services: []string{"stock", "orders"}, perService: 3, wrap: c.wrap}.start(t)
}

func (c *lateCalls) record(times *[]time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*times = append(*times, time.Now())
}

// order sends an order through the daemon of a node.
func (s *system) order(ctx context.Context, n *node, id string) <-chan callResult {
	result := make(chan callResult, 1)
	request := s.request(http.MethodPost, "/orders/new", id, strings.NewReader("licorice")).WithContext(ctx)
	s.running.Go(func() { result <- s.send(s.client("callers"), n, request) })
	return result
}

// expectNoCalls checks that the servers began all orders and made no calls for them.
func (c *lateCalls) expectNoCalls(s *system, orders int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Expect(c.began).To(HaveLen(orders), "every order has reached a server before its caller left")
	s.Expect(c.received).To(BeEmpty(), "calls for orders whose callers left 650 ms before")
}

// Guards against calls that a server makes for an order long after the order's caller has left.
func TestOrderEndsWithItsCaller(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := &lateCalls{after: 700 * time.Millisecond}
		s := c.start(t)
		time.Sleep(10 * time.Second)
		for _, n := range s.nodes {
			ctx, leave := context.WithCancel(t.Context())
			s.order(ctx, n, "left")
			time.Sleep(50 * time.Millisecond)
			leave()
			time.Sleep(2 * time.Second)
		}
		c.expectNoCalls(s, len(s.nodes))
	})
}

// Guards against calls for an order whose caller left after a connection between daemons was lost.
func TestOrderWithoutItsConnectionEndsWithItsCaller(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := &lateCalls{after: 1200 * time.Millisecond}
		s := c.start(t)
		time.Sleep(10 * time.Second)
		ctx, leave := context.WithCancel(t.Context())
		s.order(ctx, s.nodes[0], "left")
		time.Sleep(50 * time.Millisecond)
		s.fabric.EachPath(betweenDaemons, (*memnet.Path).Cut)
		time.Sleep(500 * time.Millisecond) // in which the order is resolved
		leave()
		time.Sleep(2 * time.Second)
		c.expectNoCalls(s, 1)
	})
}

// Guards against an order that is cancelled because a connection between daemons is lost, although its caller is waiting.
func TestOrderOutlivesALostConnection(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := &lateCalls{after: 700 * time.Millisecond}
		s := c.start(t)
		time.Sleep(10 * time.Second)
		order := s.order(t.Context(), s.nodes[0], "once-kept")
		time.Sleep(50 * time.Millisecond)
		s.fabric.EachPath(betweenDaemons, (*memnet.Path).Cut)
		answer := <-order
		s.Expect(answer.err).NotTo(HaveOccurred())
		s.Expect(answer.status).To(Equal(http.StatusOK))
		s.Expect(s.runs("once-kept")).To(Equal(1))
	})
}
