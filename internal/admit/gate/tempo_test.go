package gate

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// unsteady is a server whose instance is slower for moments, and whose link takes the pieces of bodies one after the other.
type unsteady struct {
	*rig
	random *rand.Rand // guarded by mu of backend
	pace   int
	link   chan struct{} // holds a value while a piece is on the link; no mutex, whose holder in a bubble cannot sleep
	heads  sync.Mutex

	inTime, late, refused int
}

const (
	momentLength     = 150 * time.Millisecond
	responseInterval = 25 * time.Millisecond
	slowShare        = 0.35
	slowPace         = 500
	uploadWork       = 350 * time.Millisecond
	uploadTransfer   = 48 * time.Millisecond
	uploadAim        = 1200 * time.Millisecond
	uploadDeadline   = 8 * time.Second
)

func (*unsteady) Identity() string      { return "i" }
func (*unsteady) Refusing() *code.Error { return nil }
func (*unsteady) Take(time.Time) bool   { return true }

func (u *unsteady) Pace() int {
	u.backend.mu.Lock()
	defer u.backend.mu.Unlock()
	return u.pace
}

// change draws the pace of the next moment. Responses tell it, of which a busy server sends one every responseInterval.
func (u *unsteady) change() {
	u.backend.set(func() {
		u.pace = 100
		if u.random.Float64() < slowShare {
			u.pace = slowPace
		}
	})
	for range momentLength / responseInterval {
		time.Sleep(responseInterval)
		u.ObservePace(u.Pace())
	}
}

// send is a caller, with up to four attempts, and its router.
func (u *unsteady) send() {
	began := time.Now()
	for range 4 {
		u.heads.Lock()
		s := u.upload(bodyLength)
		u.heads.Unlock()
		u.transfer(s)
		<-s.ctx.Done()
		if s.refusal() == nil {
			counted := &u.late
			if time.Since(began) <= uploadAim {
				counted = &u.inTime
			}
			u.backend.set(func() { *counted++ })
			return
		}
	}
	u.backend.set(func() { u.refused++ })
}

// transfer sends the body once the ack permits it.
func (u *unsteady) transfer(s *stream) {
	for ack, _ := s.frames(); ack == nil && s.ctx.Err() == nil; ack, _ = s.frames() {
		time.Sleep(time.Millisecond)
	}
	for n := range 3 {
		if s.ctx.Err() != nil {
			return
		}
		u.link <- struct{}{}
		time.Sleep(uploadTransfer / 3)
		<-u.link
		select {
		case s.pieces <- &proto.Piece{Data: make([]byte, bodyLength/3), End: n == 2}:
		case <-s.ctx.Done():
		}
	}
}

// Guards against uploads that start at a slow moment of the instance, so that they take five times as long, are late and keep the slots
// of others.
func TestUploadsOnAnUnsteadyInstance(t *testing.T) {
	u := &unsteady{random: rand.New(rand.NewPCG(1, 1)), pace: 100}
	inBubbleWith(t, func(r *rig) { r.Instance = u }, func(r *rig) {
		u.rig, u.link = r, make(chan struct{}, 1)
		r.service.ReportsLoad, r.service.Slots, r.service.CheckReserve = true, 18, 0
		r.warm()
		r.backend.set(func() {
			r.backend.serve = func(*http.Request) time.Duration { return uploadWork * time.Duration(u.pace) / 100 }
		})
		end := time.Now().Add(30 * time.Second)
		r.calls.Go(func() {
			for time.Now().Before(end.Add(uploadDeadline)) {
				u.change()
			}
		})
		sent := 0
		for ; time.Now().Before(end); sent++ {
			r.calls.Go(u.send)
			time.Sleep(time.Duration(rand.New(rand.NewPCG(2, uint64(sent))).ExpFloat64() * float64(time.Second) / 11))
		}
		r.calls.Wait()
		t.Logf("of %d uploads %d in time, %d late, %d refused", sent, u.inTime, u.late, u.refused)
		r.Expect(u.inTime).To(BeNumerically(">", sent*8/10))
		r.Expect(u.refused).To(BeNumerically("<", sent/50))
		r.Expect(r.StageCounts(ReceivingBody, ident.Upload).Passed).To(BeNumerically("<", sent*11/10), "bodies sent twice")
	})
}
