package proto

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against heads that are refused on an old connection because the clocks of two hosts differ in rate.
func TestTransitIgnoresClockDrift(t *testing.T) {
	g := NewWithT(t)
	peer := &Peer{}
	for sent := time.Duration(0); sent < 24*time.Hour; sent += time.Second {
		drift := time.Duration(float64(sent) * clockDrift / 2)
		g.Expect(peer.ExcessTransit(sent, time.Hour+sent+drift+time.Millisecond)).To(BeZero())
	}
	sent := 24 * time.Hour
	late := 50 * time.Millisecond
	excess := peer.ExcessTransit(sent, time.Hour+sent+time.Duration(float64(sent)*clockDrift/2)+time.Millisecond+late)
	g.Expect(excess).To(BeNumerically("~", late, time.Millisecond))
}
