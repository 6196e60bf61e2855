package member

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against departures that daemons keep for ever by telling them to one another, that an earlier one replaces, or that push out that
// of the daemon that asks.
func TestDeparturesExpireAndGiveWayToLaterOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		born := time.UnixMilli(1_700_000_000_123)
		left := Departure{Daemon: address(1), Server: "i-1", Born: born}
		var first, second Departures
		g.Expect(first.Add(left)).To(BeTrue())
		time.Sleep(departureRetain / 2)
		g.Expect(first.Add(left)).To(BeFalse(), "told once more by another daemon")
		g.Expect(first.Add(Departure{Daemon: address(2), Server: "i-2"})).To(BeTrue())
		told := first.Latest(1, address(1))
		g.Expect(told).To(HaveLen(1))
		g.Expect(told[0]).To(Equal(Departure{Daemon: address(1), Server: "i-1", Born: born, Age: departureRetain / 2}))
		later := Departure{Daemon: address(1), Server: "i-3", Born: born.Add(time.Minute), Age: time.Second}
		g.Expect(second.Add(later)).To(BeTrue())
		g.Expect(second.Add(told[0])).To(BeFalse())
		g.Expect(second.Holds(told[0])).To(BeTrue(), "the later departure says as much")
		time.Sleep(departureRetain / 2)
		g.Expect(first.Latest(2, address(1))).To(HaveLen(1), "the first has expired")
		g.Expect(first.Add(Departure{Daemon: address(1), Server: "i-1", Age: departureRetain})).To(BeFalse())
		g.Expect(first.Add(Departure{Daemon: address(1)})).To(BeFalse(), "of no server")
	})
}
