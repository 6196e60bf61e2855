package proto

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against refusing heads on a long-lived connection because the clocks of the two hosts run at different rates.
func TestTransitIgnoresClockDrift(t *testing.T) {
	g := NewWithT(t)
	peer := &Peer{}
	for sent := time.Duration(0); sent < 24*time.Hour; sent += time.Second {
		drift := time.Duration(float64(sent) * clockDrift / 2)
		g.Expect(peer.ExcessTransit(sent, time.Hour+sent+drift+time.Millisecond)).To(BeZero())
	}
	sent := 24 * time.Hour
	delay := 50 * time.Millisecond
	excess := peer.ExcessTransit(sent, time.Hour+sent+time.Duration(float64(sent)*clockDrift/2)+time.Millisecond+delay)
	g.Expect(excess).To(BeNumerically("~", delay, time.Millisecond))
}
