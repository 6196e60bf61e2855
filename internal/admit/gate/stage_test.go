package gate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// Guards against counts that do not tell a wait for a place from a transfer, and against a body sent in vain that is not counted.
func TestStageCounts(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.service.ReportsLoad, r.service.Slots, r.service.CheckReserve = true, 1, 0
		r.warm()
		r.sendBody(r.upload(bodyLength), 300*time.Millisecond)
		r.calls.Wait()
		body := r.StageCounts(ReceivingBody, ident.Upload)
		r.Expect(body).To(Equal(StageCounts{Passed: 1, Took: 300 * time.Millisecond}))
		r.Expect(r.StageCounts(Running, ident.Upload)).To(Equal(StageCounts{Passed: 1, Took: serviceTime}))
		s := r.upload(bodyLength)
		r.sendBody(s, 300*time.Millisecond)
		time.Sleep(250 * time.Millisecond)
		s.cancel()
		r.calls.Wait()
		r.Expect(r.StageCounts(ReceivingBody, ident.Upload)).To(Equal(StageCounts{
			Passed: 1, Refused: 1, Took: 550 * time.Millisecond, WastedBytes: bodyLength * 2 / 3,
		}))
	})
}
