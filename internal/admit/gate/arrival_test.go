package gate

import (
	"bytes"
	"log/slog"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/base/logs"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const arriveLength = 3 << 10

// upload starts a call whose body is still to come.
func (r *rig) upload(length int64) *stream {
	head := r.order("/upload")
	head.Class, head.End, head.ContentLength = ident.Upload, false, length
	return r.call(&proto.Peer{}, head)
}

// arrive delivers the body in pieces over a time.
func (r *rig) arrive(s *stream, over time.Duration) {
	r.calls.Go(func() {
		for n := range 3 {
			time.Sleep(over / 3)
			select {
			case s.pieces <- &proto.Piece{Data: make([]byte, arriveLength/3), End: n == 2}:
			case <-s.ctx.Done():
				return
			}
		}
	})
}

// Guards against slots that wait for a link: while bodies arrive, all slots serve other requests.
func TestBodyIsBufferedBeforeSlot(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.service.ReportsLoad, r.service.Slots, r.service.CheckReserve = true, 2, 0
		r.warm()
		s := r.upload(arriveLength)
		r.arrive(s, 300*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		ack, _ := s.frames()
		r.Expect(ack.Verdict).To(Equal(proto.Queued), "the body may come")
		r.Expect(r.running.Load()).To(BeZero())
		r.Expect(r.Report().Queued).To(Equal(1), "routers see the body that arrives")
		r.Expect(r.Dump().(Dump).Arriving).To(BeEquivalentTo(1))
		r.Expect(r.backend.count("/upload")).To(BeZero())
		r.calls.Wait()
		r.Expect(r.backend.count("/upload")).To(Equal(1))
		_, last := s.frames()
		r.Expect(last).To(BeAssignableToTypeOf(&proto.Answer{}))
	})
}

// Guards against bodies that fill the link together: one above the bound is refused after a short wait, before it is sent.
func TestBufferingLimit(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.service.ReportsLoad = true
		r.warm()
		for range maxArriving {
			r.arrive(r.upload(arriveLength), time.Second)
		}
		time.Sleep(time.Millisecond)
		began := time.Now()
		more := r.upload(arriveLength)
		<-more.ctx.Done()
		r.Expect(time.Since(began)).To(Equal(shortWait))
		r.Expect(more.refusal()).To(Equal([]any{code.Overloaded, code.NotRun}))
		r.calls.Wait()
		r.Expect(r.backend.count("/upload")).To(Equal(maxArriving))
		r.Expect(r.arriving.Load()).To(BeZero())
	})
}

// Guards against a body that has arrived and is sent to another server because of a short wait, and against one that waits for ever.
func TestBufferedRequestWaitsLonger(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.service.ReportsLoad, r.service.Slots, r.service.CheckReserve = true, 1, 0
		r.warm()
		r.backend.set(func() {
			r.backend.serve = func(*http.Request) time.Duration { return 2 * shortWait }
		})
		r.get(time.Second)
		served := r.upload(arriveLength)
		r.arrive(served, 3*time.Millisecond)
		r.calls.Wait()
		_, last := served.frames()
		r.Expect(last).To(BeAssignableToTypeOf(&proto.Answer{}))
		r.backend.set(func() {
			r.backend.serve = func(*http.Request) time.Duration { return 2 * collectedWait }
		})
		r.get(5 * time.Second)
		refused := r.upload(arriveLength)
		r.arrive(refused, 3*time.Millisecond)
		r.calls.Wait()
		r.Expect(refused.refusal()).To(Equal([]any{code.Overloaded, code.NotRun}))
	})
}

// Guards against a part of a body that reaches the server, and against an outcome that is left open, when the router goes away or the
// body is late.
func TestIncompleteBodyDoesNotRun(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.service.ReportsLoad = true
		r.warm()
		gone := r.upload(arriveLength)
		gone.pieces <- &proto.Piece{Data: make([]byte, 1)}
		close(gone.pieces)
		r.calls.Wait()
		r.Expect(gone.refusal()).To(Equal([]any{code.Cancelled, code.NotRun}))
		late := r.upload(arriveLength)
		r.calls.Wait()
		r.Expect(late.refusal()).To(Equal([]any{code.DeadlineExceeded, code.NotRun}))
		r.Expect(r.backend.count("/upload")).To(BeZero())
		r.Expect(r.arriving.Load()).To(BeZero())
	})
}

// Guards against a peer that fills the memory with a body longer than announced, and against one that reaches the server short.
func TestBodyLengthMismatchDoesNotRun(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.service.ReportsLoad = true
		r.warm()
		for _, length := range []int64{arriveLength - 1, arriveLength + 1} {
			s := r.upload(length)
			r.arrive(s, 3*time.Millisecond)
			r.calls.Wait()
			r.Expect(s.refusal()).To(Equal([]any{code.BadRequest, code.NotRun}))
		}
		endless := r.upload(arriveLength)
		taken := 0
		for endless.ctx.Err() == nil {
			select {
			case endless.pieces <- &proto.Piece{Data: make([]byte, arriveLength/3)}:
				taken++
			case <-endless.ctx.Done():
			}
		}
		r.calls.Wait()
		r.Expect(taken).To(Equal(4), "pieces until the body is too long")
		r.Expect(r.backend.count("/upload")).To(BeZero())
	})
}

// Guards against a line that blames the queue for the time in which a body arrived.
func TestSlowCallLogsBodyTime(t *testing.T) {
	inBubble(t, func(r *rig) {
		var text bytes.Buffer
		r.service.ReportsLoad = true
		r.warm()
		for range 20 { // until the usual time of an upload is known
			r.arrive(r.upload(arriveLength), 3*time.Millisecond)
			r.calls.Wait()
		}
		r.Decisions = &logs.Sampler{Log: logs.New(&text, slog.LevelInfo)}
		r.arrive(r.upload(arriveLength), 300*time.Millisecond)
		r.calls.Wait()
		r.Expect(text.String()).To(And(ContainSubstring("event=call-slow"), ContainSubstring("body=300ms waited=0s at-server=10ms")))
	})
}

// Guards against a stop that ends while a body arrives, and against one that is refused although it came in time.
func TestDrainWaitsForBodies(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.service.ReportsLoad = true
		r.warm()
		s := r.upload(arriveLength)
		r.arrive(s, 300*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		r.Expect(r.Drain(r.t.Context())).To(Succeed())
		r.Expect(time.Since(began)).To(BeNumerically("~", 200*time.Millisecond+service, service))
		r.calls.Wait()
		_, last := s.frames()
		r.Expect(last).To(BeAssignableToTypeOf(&proto.Answer{}))
	})
}
