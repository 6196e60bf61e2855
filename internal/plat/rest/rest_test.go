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

// read reads a response of the given number of pieces, of which the store sends one in each interval.
func read(t *testing.T, pieces, size int, interval time.Duration) (rest.Response, error) {
	network := memnet.New()
	listener, err := network.Process("store").Listen(storeAddress)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
		response, err := read(t, 40, 125_000, 100*time.Millisecond)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Body).To(HaveLen(40 * 125_000))
	})
}

// Guards against a response that holds a request for ever because single bytes of it keep arriving, and against one that stops.
func TestStalledResponseIsGivenUp(t *testing.T) {
	for name, interval := range map[string]time.Duration{"trickles": 10 * time.Millisecond, "stops": time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				start := time.Now()
				_, err := read(t, 100_000, 1, interval)
				g.Expect(code.Of(err).Code).To(Equal(code.PlatformUnavailable))
				g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
			})
		})
	}
}
