package limit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// Guards against a limit that overfills servers that slow down when they are nearly full, and against one that leaves the
// last slots of the others unused.
func TestSaturationDetection(t *testing.T) {
	const slots = 12
	for _, c := range []struct {
		name  string
		ratio float64 // time of an answer on a nearly full server over that on one with room
		share float64
	}{
		{"no slowdown", 1, 1},
		{"a little slower", 1.2, 1},
		{"slower than the slots bring", 1.7, kneeShare},
	} {
		g := NewWithT(t)
		now := time.Now()
		var k knee
		g.Expect(k.share(now)).To(Equal(1.0), c.name)
		for i := range 200 {
			running := 1 + i%slots
			latency := 100 * time.Millisecond
			if float64(running) > highShare*slots {
				latency = time.Duration(float64(latency) * c.ratio)
			}
			k.add(ident.Lookup, latency, running, slots)
		}
		g.Expect(k.share(now)).To(Equal(c.share), c.name)
		g.Expect(k.share(now.Add(kneeFor-time.Second))).To(Equal(c.share), c.name)
		g.Expect(k.share(now.Add(kneeFor+time.Second))).To(Equal(1.0), "%s: the last slots are tried again", c.name)
	}
}
