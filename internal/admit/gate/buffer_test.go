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

const bodyLength = 3 << 10

// upload starts a call whose body has not been sent yet.
func (r *rig) upload(length int64) *stream {
	head := r.writeHead("/upload")
	head.Class, head.End, head.ContentLength = ident.Upload, false, length
	return r.call(&proto.Peer{}, head)
}

// sendBody sends the body in three pieces, spread evenly over the given time.
func (r *rig) sendBody(s *stream, over time.Duration) {
	r.calls.Go(func() {
		for n := range 3 {
			time.Sleep(over / 3)
			select {
			case s.pieces <- &proto.Piece{Data: make([]byte, bodyLength/3), End: n == 2}:
			case <-s.ctx.Done():
				return
			}
		}
	})
}

// Guards against a slot that is held while a request body is transferred over a slow link. Until the body is complete, all slots must
// remain available to other requests.
func TestBodyIsBufferedBeforeSlot(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.service.ReportsLoad, r.service.Slots, r.service.CheckReserve = true, 2, 0
		r.warm()
		s := r.upload(bodyLength)
		r.sendBody(s, 300*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		ack, _ := s.frames()
		r.Expect(ack.Verdict).To(Equal(proto.Queued), "the router may send the body")
		r.Expect(r.running.Load()).To(BeZero())
		r.Expect(r.Report().Queued).To(Equal(1), "the report to routers includes the arriving body")
		r.Expect(r.Dump().(Dump).Arriving).To(BeEquivalentTo(1))
		r.Expect(r.backend.count("/upload")).To(BeZero())
		r.calls.Wait()
		r.Expect(r.backend.count("/upload")).To(Equal(1))
		_, last := s.frames()
		r.Expect(last).To(BeAssignableToTypeOf(&proto.Answer{}))
	})
}

// Guards against request bodies that saturate the link together. One above the maximum is refused after maxQueueWait, before its body is
// sent.
func TestBufferingLimit(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.service.ReportsLoad = true
		r.warm()
		for range maxArriving {
			r.sendBody(r.upload(bodyLength), time.Second)
		}
		time.Sleep(time.Millisecond)
		began := time.Now()
		excess := r.upload(bodyLength)
		<-excess.ctx.Done()
		r.Expect(time.Since(began)).To(Equal(maxQueueWait))
		r.Expect(excess.refusal()).To(Equal([]any{code.Overloaded, code.NotRun}))
		r.calls.Wait()
		r.Expect(r.backend.count("/upload")).To(Equal(maxArriving))
		r.Expect(r.arriving.Load()).To(BeZero())
	})
}

// Guards against a buffered request that is refused after maxQueueWait, so that its body must be sent again to another server,
// and against one that waits without limit.
func TestBufferedRequestWaitsLonger(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.service.ReportsLoad, r.service.Slots, r.service.CheckReserve = true, 1, 0
		r.warm()
		r.backend.set(func() {
			r.backend.serve = func(*http.Request) time.Duration { return 2 * maxQueueWait }
		})
		r.lookup(time.Second)
		served := r.upload(bodyLength)
		r.sendBody(served, 3*time.Millisecond)
		r.calls.Wait()
		_, last := served.frames()
		r.Expect(last).To(BeAssignableToTypeOf(&proto.Answer{}))
		r.backend.set(func() {
			r.backend.serve = func(*http.Request) time.Duration { return 2 * maxQueueWaitBuffered }
		})
		r.lookup(5 * time.Second)
		refused := r.upload(bodyLength)
		r.sendBody(refused, 3*time.Millisecond)
		r.calls.Wait()
		r.Expect(refused.refusal()).To(Equal([]any{code.Overloaded, code.NotRun}))
	})
}

// Guards against an incomplete body that reaches the server, and against an unknown outcome, when the router disconnects or the body does
// not arrive before the deadline.
func TestIncompleteBodyDoesNotRun(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.service.ReportsLoad = true
		r.warm()
		disconnected := r.upload(bodyLength)
		disconnected.pieces <- &proto.Piece{Data: make([]byte, 1)}
		close(disconnected.pieces)
		r.calls.Wait()
		r.Expect(disconnected.refusal()).To(Equal([]any{code.Cancelled, code.NotRun}))
		late := r.upload(bodyLength)
		r.calls.Wait()
		r.Expect(late.refusal()).To(Equal([]any{code.DeadlineExceeded, code.NotRun}))
		r.Expect(r.backend.count("/upload")).To(BeZero())
		r.Expect(r.arriving.Load()).To(BeZero())
	})
}

// Guards against a peer that exhausts memory with a body longer than its content length, and against a shorter body that is passed to
// the server.
func TestBodyLengthMismatchDoesNotRun(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.service.ReportsLoad = true
		r.warm()
		for _, length := range []int64{bodyLength - 1, bodyLength + 1} {
			s := r.upload(length)
			r.sendBody(s, 3*time.Millisecond)
			r.calls.Wait()
			r.Expect(s.refusal()).To(Equal([]any{code.BadRequest, code.NotRun}))
		}
		endless := r.upload(bodyLength)
		accepted := 0
		for endless.ctx.Err() == nil {
			select {
			case endless.pieces <- &proto.Piece{Data: make([]byte, bodyLength/3)}:
				accepted++
			case <-endless.ctx.Done():
			}
		}
		r.calls.Wait()
		r.Expect(accepted).To(Equal(4), "pieces accepted until the body exceeds its content length")
		r.Expect(r.backend.count("/upload")).To(BeZero())
	})
}

// Guards against a log line that counts the time of receiving the body as time in the queue.
func TestSlowCallLogsBodyTime(t *testing.T) {
	inBubble(t, func(r *rig) {
		var text bytes.Buffer
		r.service.ReportsLoad = true
		r.warm()
		for range 20 { // until the typical service time of uploads is known
			r.sendBody(r.upload(bodyLength), 3*time.Millisecond)
			r.calls.Wait()
		}
		r.Decisions = &logs.Sampler{Log: logs.New(&text, slog.LevelInfo)}
		r.sendBody(r.upload(bodyLength), 300*time.Millisecond)
		r.calls.Wait()
		r.Expect(text.String()).To(And(ContainSubstring("event=call-slow"), ContainSubstring("body=300ms waited=0s at-server=10ms")))
	})
}

// Guards against a Drain that returns while a body is being received, and against the refusal of a call that began before Drain.
func TestDrainWaitsForBodies(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.service.ReportsLoad = true
		r.warm()
		s := r.upload(bodyLength)
		r.sendBody(s, 300*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		r.Expect(r.Drain(r.t.Context())).To(Succeed())
		r.Expect(time.Since(began)).To(BeNumerically("~", 200*time.Millisecond+serviceTime, serviceTime))
		r.calls.Wait()
		_, last := s.frames()
		r.Expect(last).To(BeAssignableToTypeOf(&proto.Answer{}))
	})
}
