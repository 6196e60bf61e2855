package tally_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/roll/tally"
)

func TestTally(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "tally")
}

var _ = ginkgo.Describe("a tally", func() {
	// Guards against durations in the wrong bucket, by which a slow release would look like a normal one.
	ginkgo.It("puts each duration into the bucket whose bound it does not exceed", func() {
		Expect(tally.Bucket(0)).To(Equal(0))
		Expect(tally.Bucket(time.Hour)).To(Equal(tally.Buckets - 1))
		for b := range tally.Buckets - 1 {
			Expect(tally.Bucket(tally.Bound(b))).To(Equal(b))
			Expect(tally.Bucket(tally.Bound(b) + tally.Bound(b)/100)).To(Equal(b + 1))
		}
	})

	// Guards against a tally that grows with the number of routes, and against responses that are lost at its bound.
	ginkgo.It("counts further routes together", func() {
		var all tally.Tally
		for i := range 100 {
			var one tally.Tally
			one.Add(fmt.Sprintf("route-%02d", i), i%10 == 0, time.Millisecond)
			all.Merge(&one)
		}
		Expect(all.Routes).To(HaveLen(tally.MaxRoutes))
		Expect(all.Routes[0].Name).To(BeEmpty())
		responses, failures := all.Total()
		Expect(responses).To(Equal(uint64(100)))
		Expect(failures).To(Equal(uint64(10)))
	})

	// Guards against copies that share counts, and counts below zero after a daemon has left.
	ginkgo.It("is cloned, and subtracted without going below zero", func() {
		var first tally.Tally
		first.Add("a", true, time.Millisecond)
		later := first.Clone()
		later.Add("a", false, time.Second)
		later.Add("b", false, time.Second)
		Expect(first.Routes).To(HaveLen(1))
		since := later.Since(&first)
		Expect(since.Routes[0].Responses).To(Equal(uint64(1)))
		Expect(since.Routes[0].Failures).To(BeZero())
		Expect(first.Since(later).Routes[0].Responses).To(BeZero())
		Expect((*tally.Tally)(nil).Clone().Routes).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("a recorder", func() {
	// Guards against comparing responses that are far apart, between which a server may have become slow for another reason.
	ginkgo.It("counts the ratios of successive durations", func() {
		var r tally.Recorder
		now := time.UnixMilli(0)
		add := func(after time.Duration, failed bool, took time.Duration) {
			now = now.Add(after)
			r.Add(now, "a", failed, took)
		}
		add(0, false, 10*time.Millisecond)
		add(10*time.Millisecond, false, 80*time.Millisecond)
		add(10*time.Millisecond, true, time.Millisecond)
		add(10*time.Millisecond, false, 10*time.Millisecond)
		add(time.Second, false, 80*time.Millisecond)
		var want [tally.Buckets]uint64
		want[3*tally.BucketsPerDouble] = 2
		Expect(r.Tally.Steps).To(Equal(want))
	})
})
