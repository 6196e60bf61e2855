package daemon_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against whole daemons that lose requests or tell wrong outcomes when precedence is enabled and a service is overloaded. Servers
// that do not check in are loaded through paths, so that the class decides the priority.
func TestOverloadWithPrecedence(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const enabled = "[precedence]\nenabled = true\n"
		s := layout{
			folder: folder + enabled, services: []string{"stock", "orders"}, perService: 2, serviceTime: 100 * time.Millisecond,
		}.start(t)
		time.Sleep(20 * time.Second) // the servers become warm
		s.expectTruthfulOutcomes(<-s.load(s.plan(40, 20*time.Second)))
		result := <-s.load(s.plan(1200, 5*time.Second)) // lookups at several times the capacity of about 240 a second
		s.expectTruthfulOutcomes(result)
		t.Logf("answered: lookups %.3f, orders %.3f", answered(result, "lookup"), answered(result, "order"))
		s.Expect(answered(result, "lookup")).To(BeNumerically(">", 0.1))
		s.Expect(s.metrics(s.nodes[0])).To(ContainElement(MatchRegexp(`admission_refused_by_precedence_total\{priority="1"\} [1-9]`)))
	})
}
