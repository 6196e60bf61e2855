package call

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Guards against bodies of refused attempts that saturate a server's link, and against an attempt that gets only a part of its body.
func TestLargeBodyWaitsForTheAck(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		g := gomega.NewWithT(t)
		f := &fake{}
		f.script = func(head *proto.Head) string {
			if head.ID.Attempt == 1 {
				return "refuse"
			}
			return "queue; 1ms; answer 200 stored"
		}
		c := newClient(f, 3)
		c.Config.Get().Services["stock"].ReportsLoad = true
		const size = 3 * maxInlineBody
		x, err := c.Do(context.Background(), &Request{
			Service: "stock", Method: "POST", Path: "/", Target: "/", Timeout: time.Second,
			ContentLength: size, Body: strings.NewReader(strings.Repeat("b", size)),
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		body, _ := readAll(x)
		g.Expect(body).To(gomega.Equal("stored"))
		g.Expect(f.streams).To(gomega.HaveLen(2))
		g.Expect(f.streams[0].bodySize()).To(gomega.BeZero())
		g.Expect(f.streams[1].bodySize()).To(gomega.Equal(size))
		time.Sleep(time.Minute)
	})
}

// Guards against an upload that a stopping daemon accepts and then cuts off.
func TestUploadsThatOutlastAStopAreRefused(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		g := gomega.NewWithT(t)
		f := &fake{script: func(*proto.Head) string { return "ack; answer 200 ok" }}
		c := newClient(f, 3)
		upload := func(timeout time.Duration) error {
			x, err := c.Do(context.Background(), &Request{
				Service: "stock", Method: "POST", Path: "/", Target: "/", Timeout: timeout,
				Route: &config.Route{Kind: config.UploadOnce, Timeout: timeout, Servers: 1},
			})
			if err == nil {
				_, err = readAll(x)
				x.Close()
			}
			return err
		}
		g.Expect(upload(time.Minute)).To(gomega.MatchError("EOF"))
		c.SetStopTime(time.Now().Add(2 * time.Second))
		g.Expect(upload(time.Second)).To(gomega.MatchError("EOF"))
		failure := code.Of(upload(3 * time.Second))
		g.Expect(failure.Code).To(gomega.Equal(code.Stopping))
		g.Expect(failure.Outcome).To(gomega.Equal(code.NotRun))
		time.Sleep(time.Minute)
	})
}

// Guards against an order that a stopping daemon takes without knowing that orders end in time, and against one that it takes for longer
// than it runs.
func TestOrdersOfAStopEndWithIt(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		g := gomega.NewWithT(t)
		f := &fake{script: func(*proto.Head) string { return "ack; 100ms; answer 200 ok" }}
		c := newClient(f, 3)
		order := func(timeout time.Duration) error {
			x, err := c.Do(context.Background(), &Request{Service: "stock", Method: "POST", Path: "/", Target: "/", Timeout: timeout})
			if err == nil {
				_, err = readAll(x)
			}
			return err
		}
		c.SetStopTime(time.Now().Add(2 * time.Second))
		failure := code.Of(order(3 * time.Second))
		g.Expect(failure.Code).To(gomega.Equal(code.Stopping))
		g.Expect(failure.Outcome).To(gomega.Equal(code.NotRun))
		g.Expect(order(time.Second)).To(gomega.MatchError("EOF"))
		g.Expect(order(3 * time.Second)).To(gomega.MatchError("EOF"))
		g.Expect(f.heads[1].Remaining).To(gomega.Equal(1900 * time.Millisecond))
		time.Sleep(time.Minute)
	})
}

// Guards against giving up a running attempt because resolves are delayed on a busy link and the fleet takes the daemon for ended, although
// its reports still arrive.
func TestDaemonThatReportsIsAskedAgain(t *testing.T) {
	for _, reports := range []bool{false, true} {
		synctest.Test(t, func(*testing.T) {
			g := gomega.NewWithT(t)
			f := &fake{resolves: []string{"error", "error", "error", "running"}}
			f.script = func(head *proto.Head) string {
				if head.ID.Attempt == 1 {
					return "ack; 4s; answer 200 first"
				}
				return "ack; answer 200 second"
			}
			c := newClient(f, 1)
			for range 500 {
				c.Budgets.Service("stock").RecordRequest(0.1, 0)
			}
			servers := c.Choice.Members.Service("stock")
			endAll(c, 500*time.Millisecond)
			ctx, cancel := context.WithCancel(context.Background())
			if reports {
				go func() {
					for ; ctx.Err() == nil; time.Sleep(25 * time.Millisecond) {
						for _, record := range servers {
							c.Pool.Service("stock").AddReport(proto.Report{Server: record.Address, Limit: 1})
						}
					}
				}()
			}
			x, err := c.Do(ctx, &Request{Service: "stock", Method: "GET", Path: "/", Target: "/", Timeout: 10 * time.Second})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			body, _ := readAll(x)
			want := map[bool]string{false: "second", true: "first"}[reports]
			g.Expect(body).To(gomega.Equal(want))
			cancel()
			time.Sleep(time.Minute)
		})
	}
}
