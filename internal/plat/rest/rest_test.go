package rest_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/bench/memnet"
	"marigoldwinch.example/marigoldwinch/internal/plat/rest"
)

var storeAddress = netip.MustParseAddrPort("10.0.0.1:80")

// read reads a response whose first bytes come at once, and then the given number of pieces, one in each interval.
func read(t *testing.T, first, pieces, size int, interval time.Duration) (rest.Response, error) {
	network := memnet.New()
	listener, err := network.Process("store").Listen(storeAddress)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(make([]byte, first))
		_ = http.NewResponseController(w).Flush()
		for range pieces {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(interval):
			}
			if _, err := w.Write(make([]byte, size)); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	})}
	go func() { _ = server.Serve(listener) }()
	dial := network.Process("daemon").Dial
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return dial(ctx, storeAddress) }}
	defer func() {
		transport.CloseIdleConnections()
		_ = server.Close()
	}()
	client := rest.Client{Address: storeAddress, Timeout: time.Second, HTTP: &http.Client{Transport: transport}}
	return client.Do(context.Background(), rest.Request{Method: http.MethodGet, Path: "/"})
}

// Guards against a large response that is given up and begun again, for ever, because a slow link needs longer than the timeout for it.
func TestLargeResponseOnASlowLinkIsReadToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		response, err := read(t, 0, 40, 125_000, 100*time.Millisecond)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Body).To(HaveLen(40 * 125_000))
	})
}

// Guards against a response that holds a request for ever because single bytes of it keep arriving, and against one that stops.
func TestStalledResponseIsGivenUp(t *testing.T) {
	for name, s := range map[string]struct {
		first    int
		interval time.Duration
	}{
		"trickles":         {0, 10 * time.Millisecond},
		"stops":            {0, time.Hour},
		"stops after much": {2_000_000, time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				start := time.Now()
				_, err := read(t, s.first, 100_000, 1, s.interval)
				g.Expect(code.Of(err).Code).To(Equal(code.PlatformUnavailable))
				g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
			})
		})
	}
}
