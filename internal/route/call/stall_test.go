package call

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Guards against two chains of stall checks for one attempt, when the ack arrives while the first resolve is on its way: every check opens
// a connection, and the one that close does not stop acts after the response.
func TestAckDuringAResolveLeavesOneChainOfChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := &fake{resolves: []string{"running"}, resolveDelay: 100 * time.Millisecond}
		f.script = func(*proto.Head) string { return "300ms; ack; 3650ms; answer 200 hello" }
		c := newClient(f, 3)
		x, err := c.Do(context.Background(), &Request{Service: "stock", Method: "POST", Path: "/", Target: "/", Timeout: 8 * time.Second})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, _ = readAll(x)
		resolves := c.Counts().Resolves
		g.Expect(resolves).To(gomega.BeNumerically("<=", 4), "one without an ack, then one a second")
		time.Sleep(10 * time.Second)
		g.Expect(c.Counts().Resolves).To(gomega.Equal(resolves), "resolves after the response")
	})
}

// Guards against another attempt beside one whose ack has arrived while the resolve that asked for it stayed without a reply.
func TestNoRetryBesideAnAttemptThatWasAckedDuringAResolve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := &fake{resolves: []string{"error"}, resolveDelay: 200 * time.Millisecond}
		f.script = func(*proto.Head) string { return "300ms; ack; 500ms; answer 200 hello" }
		c := newClient(f, 3)
		x, err := c.Do(context.Background(), &Request{Service: "stock", Method: "GET", Path: "/", Target: "/", Timeout: 8 * time.Second})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, _ = readAll(x)
		time.Sleep(10 * time.Second)
		g.Expect(c.Counts().Attempts).To(gomega.BeEquivalentTo(1))
	})
}
