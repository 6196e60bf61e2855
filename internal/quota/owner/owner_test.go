package owner

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time {
	return start.Add(d)
}

func seconds(s float64) time.Time {
	return at(time.Duration(s * float64(time.Second)))
}

// drain asks for permits in small steps and returns how many are granted in the time.
func drain(o *Owner, from, to, rate float64, standing Standing) int {
	total := 0
	for s := from; s < to; s += 0.01 {
		if int(s*100)%10 == 0 {
			o.Tick(seconds(s))
		}
		ask := Ask{Organisation: "kiosk", Cap: Cap{Revision: 1, Rate: rate, Burst: int(rate)}, Wanted: 1000}
		total += o.Grant(seconds(s), ask, standing).Granted
	}
	return total
}

var established = Standing{First: true, Since: start.Add(-time.Hour), Share: 1}

// Guards against a cap that is exceeded, or not reached, by an owner that grants alone.
func TestAnEstablishedOwnerGrantsTheRateAndTheBurst(t *testing.T) {
	g := NewWithT(t)
	g.Expect(drain(&Owner{Slack: 20}, 0, 5, 100, established)).To(BeNumerically("~", 600, 2))
}

// Guards against a new owner that repeats the burst of its predecessor, and against one that then stays below the rate.
func TestAnOwnerWithoutHistoryStartsCautiously(t *testing.T) {
	g := NewWithT(t)
	o := &Owner{Slack: 20}
	standing := Standing{Share: 1}
	g.Expect(drain(o, 0, 1.5, 100, standing)).To(BeNumerically("~", 8+0.3*150, 2))
	g.Expect(drain(o, 1.5, 3.5, 100, standing)).To(BeNumerically("~", 200, 2))
	g.Expect(drain(&Owner{Slack: 20}, 0, 1, 100, Standing{Alone: true, Share: 1})).To(BeNumerically("~", 108, 2), "none grants beside it")
}

// Guards against a paused owner that resumes with a full bucket while another daemon has granted in its place.
func TestAResumedOwnerStartsWithAnEmptyBucket(t *testing.T) {
	g := NewWithT(t)
	o := &Owner{Slack: 20}
	o.Tick(start)
	g.Expect(drain(o, 0, 0.2, 100, established)).To(BeNumerically(">", 100))
	ask := Ask{Organisation: "kiosk", Cap: Cap{Revision: 1, Rate: 100, Burst: 100}, Wanted: 1000}
	g.Expect(o.Grant(seconds(8), ask, established).Granted).To(BeZero(), "before the first tick after the pause")
	g.Expect(drain(o, 8, 9.5, 100, established)).To(BeNumerically("~", 0.3*150, 2))
}

// Guards against two sides of a partition that grant more than the cap together.
func TestAnOwnerGrantsTheShareThatItReaches(t *testing.T) {
	g := NewWithT(t)
	for _, parts := range [][]float64{{0.5, 0.5}, {0.34, 0.66}, {0.2, 0.2, 0.6}} {
		sum := 0.0
		for _, share := range parts {
			sum += Part(share)
		}
		g.Expect(sum).To(BeNumerically("<=", 1))
	}
	half := established
	half.Share = 0.5
	g.Expect(drain(&Owner{}, 0, 5, 100, half)).To(BeNumerically("~", 0.45*600, 2))
	g.Expect(Part(0.97)).To(Equal(1.0), "a few paused daemons lower no cap")
}

// Guards against a substitute that is asked now and then, because single replies of the owner are late, and that grants with tokens that it
// gained in between.
func TestASubstituteGainsNothingWhileItIsNotAsked(t *testing.T) {
	g := NewWithT(t)
	o := &Owner{Slack: 20}
	standing, ask := Standing{Share: 1}, Ask{Organisation: "kiosk", Cap: Cap{Rate: 100, Burst: 100}, Wanted: 1000}
	total := 0
	for s := 0.0; s < 20; s += 0.1 {
		o.Tick(seconds(s))
		if int(s*10)%50 == 0 {
			total += o.Grant(seconds(s), ask, standing).Granted
		}
	}
	g.Expect(total).To(BeNumerically("<=", 4*8))
	o.Yield("kiosk")
	g.Expect(o.Grant(seconds(20.1), ask, standing).Granted).To(BeZero())
}

// Guards against an owner that applies the cap of an earlier revision after it has seen a later one.
func TestTheHighestRevisionCounts(t *testing.T) {
	g := NewWithT(t)
	o := &Owner{}
	ask := func(revision uint64, rate float64) Ask {
		return Ask{Organisation: "kiosk", Cap: Cap{Revision: revision, Rate: rate, Burst: int(rate)}, Wanted: 1000}
	}
	g.Expect(o.Grant(start, ask(4, 10), established).Granted).To(Equal(10))
	o.SetCap("kiosk", Cap{Revision: 6, Rate: 5, Burst: 5})
	g.Expect(o.Grant(seconds(10), ask(5, 1000), established).Granted).To(Equal(5))
	g.Expect(o.Grant(seconds(20), ask(7, 50), established).Granted).To(Equal(5), "a higher cap fills over time")
	g.Expect(o.Grant(seconds(30), ask(7, 50), established).Granted).To(Equal(50))
}

// Guards against permits that are lost when routers return them, and against more than the burst of returned ones.
func TestReturnedPermitsAreGrantedAgain(t *testing.T) {
	g := NewWithT(t)
	o := &Owner{}
	ask := Ask{Organisation: "kiosk", Cap: Cap{Rate: 10, Burst: 10}, Wanted: 10}
	g.Expect(o.Grant(start, ask, established).Granted).To(Equal(10))
	ask.Returned = 4
	decided := o.Grant(start, ask, established)
	g.Expect(decided.Granted).To(Equal(4))
	g.Expect(decided.Next).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond))
	ask.Returned = 50
	g.Expect(o.Grant(start, ask, established).Granted).To(Equal(10))
}

// Guards against routers that all ask for each permit of an organisation far above its cap, and against permits that are lost because
// they wait too long.
func TestDeniedRoutersReturnOneAfterTheOther(t *testing.T) {
	g := NewWithT(t)
	o := &Owner{}
	ask := Ask{Organisation: "kiosk", Cap: Cap{Rate: 50, Burst: 50}, Wanted: 2}
	var next [75]time.Duration // after the start
	asks, granted := 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += 2 * time.Millisecond {
		if now%(100*time.Millisecond) == 0 {
			o.Tick(at(now))
		}
		for router := range next {
			if next[router] > now {
				continue
			}
			asks++
			decided := o.Grant(at(now), ask, established)
			granted += decided.Granted
			next[router] = now + max(decided.Next, 20*time.Millisecond)
		}
	}
	g.Expect(granted).To(BeNumerically(">=", 0.98*50*20))
	g.Expect(granted).To(BeNumerically("<=", 50*21))
	g.Expect(asks/20).To(BeNumerically("<", 600), "3,750 at the minimum")
}

// Guards against a daemon that is cut off and loses its part of a small cap between two requests.
func TestACutOffDaemonKeepsItsTokens(t *testing.T) {
	g := NewWithT(t)
	o := &Owner{Slack: 20}
	ask, granted := Ask{Organisation: "kiosk", Cap: Cap{Rate: 40, Burst: 40}, Wanted: 1}, 0
	for s := 0.0; s < 60; s += 0.1 {
		o.Tick(seconds(s))
		if int(s*10)%30 == 0 {
			granted += o.Grant(seconds(s), ask, Standing{Share: 1.0 / 75}).Granted
		}
	}
	g.Expect(granted).To(BeNumerically(">=", 18))
}
