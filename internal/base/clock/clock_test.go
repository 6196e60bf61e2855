package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against waits and periodic work that go on after their context has ended.
func TestWorkEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		g.Expect(Sleep(ctx, 500*time.Millisecond)).To(BeTrue())
		var calls []time.Duration
		Every(ctx, time.Second, func(now time.Time) { calls = append(calls, now.Sub(start)) })
		g.Expect(calls).To(Equal([]time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond}))
		g.Expect(Sleep(ctx, time.Hour)).To(BeFalse())
		g.Expect(time.Since(start)).To(Equal(3 * time.Second))
	})
}
