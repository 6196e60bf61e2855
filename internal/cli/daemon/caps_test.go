package daemon_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

// capRun sends requests of an organisation through the nodes in turn at regular intervals, and returns how many were answered with each
// status.
func (s *system) capRun(nodes []*node, rate int, d time.Duration) map[int]int {
	client, count := s.client("callers"), rate*int(d/time.Second)
	statuses := make(chan int, count)
	for i := range count {
		s.running.Go(func() {
			request := s.request(http.MethodGet, "/stock/1", fmt.Sprintf("cap-%d-%d", time.Now().UnixNano(), i), http.NoBody)
			request.Header.Set("Authorization", "Bearer key-1")
			answered := s.send(client, nodes[i%len(nodes)], request)
			statuses <- answered.status
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	counts := make(map[int]int)
	for range count {
		counts[<-statuses]++
	}
	return counts
}

// Guards against whole daemons that exceed the cap of an organisation together, refuse requests below it, refuse without a Retry-After, go
// on with an earlier cap, or send messages for organisations without one.
func TestDaemonsKeepTheCapOfAnOrganisation(t *testing.T) {
	t.Parallel()
	for name, l := range map[string]layout{
		"connections": {},
		"datagrams":   {settings: "[fleet]\nload-queries = on\n", datagrams: (&datagrams{}).listen},
	} {
		l.folder, l.services, l.perService = folder, []string{"stock"}, 4
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { testCap(t, l) }) })
	}
}

func testCap(t *testing.T, l layout) {
	s := l.start(t)
	put := func(limit string) {
		text := fmt.Sprintf("[organisation ann]\nname = Ann\nkey-digests = %s\n%s", config.DigestKey("key-1"), limit)
		_, err := s.writer("anna").Add(t.Context(), []files.File{{Name: "50-ann.ini", Content: text}}, change.Options{})
		s.Expect(err).NotTo(HaveOccurred())
		time.Sleep(inForceBound)
	}
	put("")
	s.Expect(s.capRun(s.nodes, 20, 5*time.Second)).To(Equal(map[int]int{http.StatusOK: 100}))
	for _, n := range s.nodes {
		s.Expect(s.metrics(n)).To(ContainElements("marigoldwinch_caps_asks_total 0", "marigoldwinch_caps_pings_answered_total 0"))
	}
	put("rate = 20\nburst = 20\n")
	s.Expect(s.capRun(s.nodes, 18, 5*time.Second)).To(Equal(map[int]int{http.StatusOK: 90}), "below the cap")
	hot := s.capRun(s.nodes, 100, 10*time.Second)
	s.Expect(hot[http.StatusOK]).To(BeNumerically("~", 220, 11))
	s.Expect(hot[http.StatusTooManyRequests]).To(Equal(1000 - hot[http.StatusOK]))
	s.Expect(s.retryAfter(s.nodes[0])).To(BeNumerically(">", 0))
	put("rate = 5\nburst = 5\n")
	lowered := s.capRun(s.nodes[:1], 50, 10*time.Second)
	s.Expect(lowered[http.StatusOK]).To(BeNumerically("~", 55, 5))

	var dump struct {
		Known  int
		Stocks []struct{ Owners []string }
	}
	s.Expect(s.dump(s.nodes[0], "caps", &dump)).To(Succeed())
	s.Expect(dump.Known).To(Equal(4))
	s.Expect(dump.Stocks).To(HaveLen(1))
	s.Expect(dump.Stocks[0].Owners).To(HaveLen(4))
}

// retryAfter sends requests until one is refused, and returns the seconds of its Retry-After.
func (s *system) retryAfter(n *node) float64 {
	client := s.client("callers")
	for i := range 100 {
		request := s.request(http.MethodGet, "/stock/1", fmt.Sprintf("retry-%d", i), http.NoBody)
		request.Header.Set("Authorization", "Bearer key-1")
		if answered := s.send(client, n, request); answered.status == http.StatusTooManyRequests {
			s.Expect(answered.outcome).To(Equal("not-run"))
			seconds, err := strconv.ParseFloat(answered.header.Get("Retry-After"), 64)
			s.Expect(err).NotTo(HaveOccurred())
			return seconds
		}
	}
	return 0
}
