package stock

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	owner = netip.MustParseAddrPort("10.1.0.1:9000")
	other = netip.MustParseAddrPort("10.1.0.2:9000")
)

func after(d time.Duration) time.Time {
	return start.Add(d)
}

// Guards against a router that uses permits after their lifetime, for example when it resumes after a pause.
func TestPermitsExpire(t *testing.T) {
	g := NewWithT(t)
	var s Stock
	s.Put(after(30*time.Millisecond), Permit{Owner: owner, Requested: start}, 2)
	_, ok := s.Take(after(Lifetime - time.Millisecond))
	g.Expect(ok).To(BeTrue())
	_, ok = s.Take(after(Lifetime))
	g.Expect(ok).To(BeFalse(), "counted from the request, not from the grant")
}

// Guards against expired permits that are lost to the organisation, returned twice, or returned to a daemon that did not grant them.
func TestUnusedPermitsAreReturnedOnceToTheirOwner(t *testing.T) {
	g := NewWithT(t)
	var s Stock
	s.Put(start, Permit{Owner: owner, Requested: start}, 3)
	s.Put(start, Permit{Owner: other, Requested: start}, 2)
	g.Expect(s.Unused(after(Lifetime-1), owner)).To(BeZero())
	g.Expect(s.Unused(after(Lifetime), owner)).To(Equal(3))
	g.Expect(s.Unused(after(Lifetime), owner)).To(BeZero())

	s.Put(after(time.Second), Permit{Owner: owner, Requested: after(time.Second)}, 3)
	g.Expect(s.Unused(after(time.Second+returnAge), owner)).To(BeZero(), "of an earlier window")
}

// Guards against a permit that is used before one that expires earlier.
func TestTheOldestPermitIsUsedFirst(t *testing.T) {
	g := NewWithT(t)
	var s Stock
	s.Put(after(20*time.Millisecond), Permit{Owner: owner, Requested: after(20 * time.Millisecond)}, 1)
	s.Put(after(30*time.Millisecond), Permit{Owner: other, Requested: start}, 1) // a late reply
	taken, ok := s.Take(after(40 * time.Millisecond))
	g.Expect(ok).To(BeTrue())
	g.Expect(taken.Owner).To(Equal(other))
}

// Guards against a router that asks for permits that will expire unused at low rates, or for each request singly at high ones.
func TestPermitsAreRequestedAheadOnlyAtHighRates(t *testing.T) {
	g := NewWithT(t)
	var slow, fast Stock
	now := start
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		slow.Record(now)
	}
	g.Expect(slow.Wanted(now, 1)).To(Equal(1))
	g.Expect(slow.Wanted(now, 0)).To(BeZero())
	now = start
	for range 1000 {
		now = now.Add(4 * time.Millisecond)
		fast.Record(now)
	}
	g.Expect(fast.Demand(now)).To(BeNumerically("~", 250, 10))
	g.Expect(fast.Wanted(now, 1)).To(BeNumerically("~", 26, 2))
	fast.Put(now, Permit{Owner: owner, Requested: now}, 20)
	g.Expect(fast.Wanted(now, 0)).To(BeZero())
}

// Guards against messages for an organisation that has reached its cap, before a permit can be available.
func TestNothingIsRequestedWhileDenied(t *testing.T) {
	g := NewWithT(t)
	var s Stock
	s.Deny(start, 80*time.Millisecond)
	s.Deny(start, time.Millisecond)
	g.Expect(s.Denied(start)).To(Equal(80 * time.Millisecond))
	g.Expect(s.Wanted(start, 3)).To(BeZero())
	g.Expect(s.Wanted(after(80*time.Millisecond), 3)).To(Equal(3))
}
