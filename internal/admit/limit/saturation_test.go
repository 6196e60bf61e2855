package limit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// Guards against using all slots of a server that slows down when it is nearly full, and against leaving slots of other
// servers unused.
func TestSaturationDetection(t *testing.T) {
	const slots = 12
	for _, c := range []struct {
		name  string
		ratio float64 // latency under high load over that under low load
		share float64
	}{
		{"no slowdown", 1, 1},
		{"slowdown below slowdownRatio", 1.2, 1},
		{"slowdown above slowdownRatio", 1.7, reducedShare},
	} {
		g := NewWithT(t)
		now := time.Now()
		var k saturation
		g.Expect(k.share(now)).To(Equal(1.0), c.name)
		for i := range 200 {
			running := 1 + i%slots
			latency := 100 * time.Millisecond
			if float64(running) > highLoad*slots {
				latency = time.Duration(float64(latency) * c.ratio)
			}
			k.add(ident.Lookup, latency, running, slots)
		}
		g.Expect(k.share(now)).To(Equal(c.share), c.name)
		g.Expect(k.share(now.Add(reducedFor-time.Second))).To(Equal(c.share), c.name)
		g.Expect(k.share(now.Add(reducedFor+time.Second))).To(Equal(1.0), "%s: all slots are tried again", c.name)
	}
}
