package bucket

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a bucket that grants more than its capacity and the gain of the elapsed time, in any order of operations.
func TestGrantsStayWithinCapacityAndRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, capacity := rapid.Float64Range(0.1, 300).Draw(t, "rate"), rapid.Float64Range(1, 300).Draw(t, "capacity")
		var b Bucket
		b.Set(start, rate, capacity)
		b.Fill(start, capacity)
		now, net := start, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "elapsed")))
			taken := b.Take(now, rapid.IntRange(0, 50).Draw(t, "wanted"))
			net += taken
			if returned := rapid.IntRange(0, taken).Draw(t, "returned"); returned > 0 {
				b.Return(now, returned)
				net -= returned
			}
			if most := capacity + rate*now.Sub(start).Seconds() + 0.01; float64(net) > most {
				t.Fatalf("granted %d, at most %v allowed", net, most)
			}
		}
	})
}

// Guards against a Next at which no token is available, or which is later than needed.
func TestNextIsWhenATokenIsAvailable(t *testing.T) {
	g := NewWithT(t)
	for _, rate := range []float64{0.3, 2, 7, 250} {
		var b Bucket
		b.Set(start, rate, 1)
		next := b.Next(start)
		g.Expect(next.Seconds()).To(BeNumerically("~", 1/rate, 1e-5))
		g.Expect(b.Take(start.Add(next-time.Millisecond), 1)).To(BeZero())
		g.Expect(b.Take(start.Add(next), 5)).To(Equal(1))
	}
}

// Guards against tokens of an earlier, higher cap that outlive it.
func TestLowerCapacityRemovesTokens(t *testing.T) {
	g := NewWithT(t)
	var b Bucket
	b.Set(start, 100, 100)
	b.Fill(start, 100)
	b.Set(start, 2, 2)
	g.Expect(b.Take(start, 50)).To(Equal(2))
}

// Guards against a clock that is passed in out of order, as by concurrent requests, and adds tokens twice.
func TestEarlierTimesAddNothing(t *testing.T) {
	g := NewWithT(t)
	var b Bucket
	b.Set(start, 10, 100)
	for range 10 {
		b.Tokens(start.Add(time.Second))
		b.Tokens(start)
	}
	g.Expect(b.Tokens(start.Add(time.Second))).To(BeNumerically("~", 10, 1e-9))
}
