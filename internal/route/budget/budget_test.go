package budget

import (
	"sync"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against more additional attempts than their share, also by retries and hedges together and by concurrent calls.
func TestAdditionalAttemptsStayWithinTheirShare(t *testing.T) {
	g := gomega.NewWithT(t)
	b := &Budgets{}
	s := b.Service("stock")
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 1000 {
				s.RecordRequest(0.1, 0.05)
				s.TakeHedge()
				s.TakeRetry()
			}
		})
	}
	group.Wait()
	d := b.Dump().(Dump).Services[0]
	g.Expect(d.Retries + d.Hedges).To(gomega.BeNumerically("<=", 800))
	g.Expect(d.Retries+d.Hedges).To(gomega.BeNumerically(">=", 799), "the budget can be used up")
	g.Expect(d.Hedges).To(gomega.BeNumerically("<=", 400))
}

// Guards against a router that has just started and denies the retry of a lost request, and against an advance that raises the share.
func TestFirstRequestsMayBeRetried(t *testing.T) {
	g := gomega.NewWithT(t)
	s := (&Budgets{}).Service("stock")
	retries := 0
	for range 50 {
		s.RecordRequest(0.1, 0.1)
		if retries < 5 {
			g.Expect(s.TakeRetry()).To(gomega.BeTrue())
			retries++
		}
	}
	g.Expect(s.TakeRetry()).To(gomega.BeFalse(), "5 of 50 are used up")
	off := (&Budgets{}).Service("orders")
	off.RecordRequest(0, 0)
	g.Expect(off.TakeRetry()).To(gomega.BeFalse(), "no advance on a share of nothing")
}

// Guards against a burst of retries after a long time without failures.
func TestSavedAttemptsAreBounded(t *testing.T) {
	s := (&Budgets{}).Service("stock")
	for range 10_000 {
		s.RecordRequest(0.1, 0.05)
	}
	n := 0
	for s.TakeRetry() {
		n++
	}
	gomega.NewWithT(t).Expect(n).To(gomega.Equal(maxTokens))
}

// Guards against hedges that use up the budget, so that the retry of a lost request is denied.
func TestHedgesLeaveRoomForRetries(t *testing.T) {
	g := gomega.NewWithT(t)
	s := (&Budgets{}).Service("stock")
	for range 1000 {
		s.RecordRequest(0.1, 0.1)
		s.TakeHedge()
	}
	for range hedgeReserve {
		g.Expect(s.TakeRetry()).To(gomega.BeTrue())
	}
	g.Expect(s.TakeHedge()).To(gomega.BeFalse())
}
