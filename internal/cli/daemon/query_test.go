package daemon_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/wire/dgram"
)

// datagrams carries datagrams between sockets in memory, without loss or delay.
type datagrams struct {
	sockets sync.Map // netip.AddrPort to *socket
}

type datagram struct {
	payload []byte
	from    netip.AddrPort
}

type socket struct {
	network *datagrams
	address netip.AddrPort
	arrived chan datagram
	closed  chan struct{}
}

func (d *datagrams) listen(address netip.AddrPort) (dgram.Conn, error) {
	s := &socket{network: d, address: address, arrived: make(chan datagram, 16), closed: make(chan struct{})}
	d.sockets.Store(address, s)
	return s, nil
}

func (s *socket) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-s.arrived:
		return copy(b, d.payload), d.from, nil
	case <-s.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (s *socket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if receiver, found := s.network.sockets.Load(to); found {
		receiver.(*socket).arrived <- datagram{append([]byte(nil), b...), s.address}
	}
	return len(b), nil
}

func (s *socket) Close() error {
	close(s.closed)
	return nil
}

// Guards against counts of load queries that an operator does not see, in the state dump or in the metrics.
func TestLoadQueriesAreShown(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		network := &datagrams{}
		s := layout{
			folder: folder, services: []string{"stock"}, perService: 2, settings: "[fleet]\nload-queries = on\n", datagrams: network.listen,
		}.start(t)
		time.Sleep(5 * time.Second)
		collect(s.sendThrough(s.nodes[0], "/stock/jars/1", 5), 5)
		var router, other struct{ Sent, Answered, Received uint64 }
		s.Expect(s.dump(s.nodes[0], "load-queries", &router)).To(Succeed())
		s.Expect(s.dump(s.nodes[1], "load-queries", &other)).To(Succeed())
		s.Expect(router.Sent).To(BeNumerically(">", 0))
		s.Expect(router.Received).To(Equal(router.Sent))
		s.Expect(other.Answered).To(BeNumerically(">", 0))
		s.Expect(s.metrics(s.nodes[0])).To(ContainElements(
			fmt.Sprintf("marigoldwinch_load_queries_sent_total %d", router.Sent),
			fmt.Sprintf("marigoldwinch_load_reports_received_total %d", router.Received),
		))
		s.Expect(s.metrics(s.nodes[1])).To(ContainElement(fmt.Sprintf("marigoldwinch_load_queries_answered_total %d", other.Answered)))
	})
}

// metrics reads the metrics of a daemon, a line each.
func (s *system) metrics(n *node) []string {
	response, err := s.client(n.host).Get("http://" + n.settings.Admin.String() + "/metrics")
	s.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	s.Expect(response.StatusCode).To(Equal(http.StatusOK))
	var lines []string
	for scanner := bufio.NewScanner(response.Body); scanner.Scan(); {
		lines = append(lines, scanner.Text())
	}
	return lines
}
