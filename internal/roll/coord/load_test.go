package coord

import (
	"math/rand/v2"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
)

// load sends requests at the rate until the end of the time. A refused request is sent to another server up to three times.
func (f *fleet) load(rate int, duration time.Duration) {
	f.running.Go(func() {
		end := time.Now().Add(duration)
		for time.Now().Before(end) && clock.Sleep(f.ctx, time.Second/time.Duration(rate)) {
			f.running.Go(f.request)
		}
	})
}

func (f *fleet) request() {
	f.requests.Add(1)
	for attempt := range 4 {
		if n := f.choose(); n != nil && n.serve(attempt) {
			return
		}
	}
	f.refused.Add(1)
}

// choose returns a random daemon that its report does not exclude.
func (f *fleet) choose() *node {
	nodes := f.all()
	for _, at := range rand.Perm(len(nodes)) {
		if n := nodes[at]; !n.killed.Load() && n.agent.Refusing() == nil {
			return n
		}
	}
	return nil
}

func (n *node) serve(attempt int) bool {
	n.eligible() // a request that reaches a paused daemon waits until it goes on
	if attempt == 0 {
		n.agent.Received()
	}
	run, refused := n.agent.Begin()
	if refused != nil {
		return false
	}
	f := n.fleet
	failed, took := false, serviceTime/2+rand.N(serviceTime)
	if n.release == oldRelease && run != nil && f.completed.Load() {
		f.oldAtCompletion.Add(1)
	}
	if n.release == newRelease {
		f.toTarget.Add(1)
		if at := f.fiftieth.Load(); at != 0 && time.Now().UnixNano() > at+int64(5*time.Second) {
			f.afterBad.Add(1)
		}
		if f.respond != nil {
			failed, took = f.respond(n)
		}
	}
	time.Sleep(took)
	if (failed || took > 2*serviceTime) && f.bad.Add(1) == badResponses {
		f.fiftieth.Store(time.Now().UnixNano())
	}
	if run != nil {
		run.End("lookup", failed, took)
	}
	return true
}
