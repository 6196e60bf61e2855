package recent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a request that is begun although its kind recently took longer than the time left, and against one that is not begun
// because of a single long request of the past.
func TestFits(t *testing.T) {
	g := NewWithT(t)
	var times Times
	g.Expect(times.Fits(time.Second, true)).To(BeTrue(), "idempotent, nothing known")
	g.Expect(times.Fits(time.Second, false)).To(BeFalse(), "not idempotent, nothing known")
	for range 100 {
		times.Add(10 * time.Millisecond)
	}
	g.Expect(times.Fits(10*time.Millisecond, false)).To(BeTrue())
	times.AddUnfinished(5 * time.Millisecond)
	times.AddUnfinished(2 * time.Second)
	g.Expect(times.Fits(time.Second, true)).To(BeTrue(), "a single long one")
	g.Expect(times.Fits(time.Second, false)).To(BeFalse(), "not idempotent, a single long one")
	for range 100 {
		times.Add(10 * time.Millisecond)
	}
	g.Expect(times.Fits(time.Second, false)).To(BeTrue(), "long ago")
	for range 100 {
		times.Add(2 * time.Second)
	}
	g.Expect(times.Fits(time.Second, true)).To(BeFalse(), "usually long")
}
