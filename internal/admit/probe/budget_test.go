package probe

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

// Guards against answered probes above the budget in any second, and against probe traffic that grows with the routers.
func TestProbesStayWithinBudget(t *testing.T) {
	for _, routers := range []int{13, 50, 200} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var b Budget
				b.Config = &config.Holder{}
				const settle, measure = 30, 60
				var answered, asked [settle + measure]int
				start := time.Now()
				due := make([]time.Time, routers)
				for i := range due {
					due[i] = start.Add(time.Duration(i) * time.Millisecond)
				}
				for now := start; now.Before(start.Add((settle + measure) * time.Second)); now = time.Now() {
					second := int(now.Sub(start) / time.Second)
					for i := range due {
						if now.Before(due[i]) {
							continue
						}
						within, next := b.Allow(ident.Incarnation(i + 1))
						due[i] = now.Add(next)
						asked[second]++
						if within {
							answered[second]++
						}
					}
					time.Sleep(time.Millisecond)
				}
				total := 0
				for second := range answered {
					g.Expect(answered[second]).To(BeNumerically("<=", config.DefaultProbes), "second %d", second)
					if second >= settle {
						total += asked[second]
					}
				}
				g.Expect(total).To(BeNumerically("<=", measure*config.DefaultProbes))
				g.Expect(total).To(BeNumerically(">=", measure*config.DefaultProbes/2), "the budget is of use")
				g.Expect(b.Dump().(Dump).Routers).To(Equal(routers))
			})
		})
	}
}

// Guards against routers that ignore the interval: they get no more answers than the budget.
func TestBudgetHoldsWhenIntervalIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := &Budget{Config: &config.Holder{}}
		answered := 0
		for i := range 10_000 {
			if within, _ := b.Allow(ident.Incarnation(i%200 + 1)); within {
				answered++
			}
			time.Sleep(time.Millisecond)
		}
		g.Expect(answered).To(BeNumerically("<=", 10*config.DefaultProbes))
	})
}
