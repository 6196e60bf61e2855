package load_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/bench/load"
	"marigoldwinch.example/marigoldwinch/internal/bench/sample"
)

// handlerTransport answers requests from a handler without a network, so that a run works in virtual time.
type handlerTransport struct{ handler http.Handler }

func (t handlerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	t.handler.ServeHTTP(recorder, request)
	response := recorder.Result()
	response.Request = request
	return response, nil
}

func plan() load.Plan {
	return load.Plan{
		Daemons:  []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
		Rate:     100,
		Duration: 10 * time.Second,
		Timeout:  time.Minute,
		Seed:     1,
		InFlight: 10000,
		Kinds:    []load.Kind{{Name: "stock", Weight: 1, Method: http.MethodGet, Service: "stock", Path: "/"}},
	}
}

// Guards against a generator that waits for slow responses before it sends the next request, which hides the latency of the
// requests that had to wait (coordinated omission).
func TestLatencyCountsFromThePlannedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		stalledUntil := time.Now().Add(5 * time.Second)
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Until(stalledUntil)) // no response in the first half of the run
			w.Header().Set(sample.RequestHeader, r.Header.Get(sample.RequestHeader))
		})
		run := &load.Run{Plan: plan(), Client: &http.Client{Transport: handlerTransport{handler}}, Log: logr.Discard()}
		result, err := run.Do(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		row := result.Rows[0]
		g.Expect(row.Outcomes[load.OK]).To(Equal(row.Total()))
		g.Expect(row.Total()).To(BeNumerically("~", 1000, 150))
		g.Expect(row.Quantile(0.75)).To(BeNumerically("~", 2500*time.Millisecond, 500*time.Millisecond))
	})
}

// Guards against a check that accepts a response that belongs to another request.
func TestWrongResponseIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(sample.RequestHeader, "another")
		})
		run := &load.Run{Plan: plan(), Client: &http.Client{Transport: handlerTransport{handler}}, Log: logr.Discard()}
		result, err := run.Do(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Violations()).To(HaveLen(1))
	})
}

var _ = Describe("a run against a stand-in server", func() {
	// Guards against a check that misses non-idempotent requests that ran more than once.
	It("reports non-idempotent requests that ran twice and writes a plot", func(ctx SpecContext) {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &sample.Server{Name: "s", Listener: listener, Slots: 4, ServiceTime: time.Millisecond, Log: logr.Discard()}
		serving, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- server.Run(serving) }()
		address := netip.MustParseAddrPort(listener.Addr().String())

		p := plan()
		p.Duration = 300 * time.Millisecond
		p.Daemons = []netip.AddrPort{address}
		p.Servers = p.Daemons
		p.Kinds[0].Method, p.Kinds[0].Once, p.Kinds[0].Body = http.MethodPost, true, 100
		duplicating := &http.Client{Transport: repeatPosts{http.DefaultTransport}}
		result, err := (&load.Run{Plan: p, Client: duplicating, Log: logr.Discard()}).Do(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.RanTwice).NotTo(BeEmpty())

		p.Kinds[0].Name = "again"
		result, err = (&load.Run{Plan: p, Client: http.DefaultClient, Log: logr.Discard()}).Do(ctx)
		Expect(err).NotTo(HaveOccurred())
		plot := filepath.Join(GinkgoT().TempDir(), "latency.svg")
		Expect(result.Plot(plot)).To(Succeed())
		Expect(os.Stat(plot)).NotTo(BeNil())
		stop()
		Expect(<-done).To(Succeed())
	})
})

// repeatPosts sends each POST request twice, as a faulty retry would.
type repeatPosts struct{ next http.RoundTripper }

func (r repeatPosts) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Method == http.MethodPost {
		duplicate := request.Clone(request.Context())
		duplicate.Body = http.NoBody
		duplicate.ContentLength = 0
		response, err := r.next.RoundTrip(duplicate)
		if err != nil {
			return nil, err
		}
		_ = response.Body.Close()
	}
	return r.next.RoundTrip(request)
}
