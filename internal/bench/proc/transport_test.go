package proc_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/bench/proc"
)

var _ = Describe("a transport with kept connections", func() {
	// Guards against a request that the harness itself sends twice, which would be counted as a fault of a daemon.
	It("does not resend a request when a reused connection breaks", func(ctx SpecContext) {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		var requests atomic.Int64
		go serveOnePerConnection(listener, &requests)
		address := netip.MustParseAddrPort(listener.Addr().String())
		transport := &proc.Transport{KeepAlive: true, Seeds: []netip.AddrPort{address}}
		Expect(transport.Refresh(ctx)).To(Succeed())
		for range 2 {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/jars", http.NoBody)
			Expect(err).NotTo(HaveOccurred())
			if response, err := transport.RoundTrip(request); err == nil {
				_ = response.Body.Close()
			}
		}
		Eventually(requests.Load).Should(BeNumerically("==", 2))
		Consistently(requests.Load, "200ms").Should(BeNumerically("==", 2))
	})
})

// serveOnePerConnection answers the first request of each connection, keeps it open, and closes it without an answer to the second.
func serveOnePerConnection(listener net.Listener, requests *atomic.Int64) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for n := 0; ; n++ {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				body := `{"daemons":[{"address":"` + listener.Addr().String() + `"}]}`
				if request.URL.Path == "/jars" {
					body = ""
					requests.Add(1)
				}
				if n > 0 {
					return
				}
				if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
					return
				}
			}
		}()
	}
}
