package gate

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Guards against a free slot, a response for a resolve or a stop while the server still reads the body of a request that it has answered,
// and against a body that is cut because its last piece ends the stream.
func TestEarlyAnswerKeepsSlotEntryAndStop(t *testing.T) {
	inBubble(t, func(r *rig) {
		received := int64(0)
		r.usePipeServer(func(conn net.Conn, request *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			time.Sleep(2 * time.Second)
			received, _ = io.Copy(io.Discard, request.Body)
		})
		head := r.writeHead("/early")
		head.Body, head.End, head.ContentLength = make([]byte, proto.MaxPiece), false, -1
		s := r.call(&proto.Peer{}, head)
		time.Sleep(time.Millisecond)
		_, last := s.frames()
		r.Expect(last.(*proto.Answer).End).To(BeTrue())
		r.Expect(r.running.Load()).To(BeEquivalentTo(1))
		r.Expect(r.resolve(head.ID).State).To(Equal(proto.StateRunning))
		s.pieces <- &proto.Piece{Data: make([]byte, proto.MaxPiece)}
		ctx, cancel := context.WithTimeout(r.t.Context(), time.Second)
		defer cancel()
		r.Expect(r.Drain(ctx)).To(MatchError(context.DeadlineExceeded))
		s.pieces <- &proto.Piece{Data: make([]byte, proto.MaxPiece), End: true}
		s.cancel()
		r.calls.Wait()
		r.Expect(r.Drain(r.t.Context())).To(Succeed())
		synctest.Wait()
		r.Expect(received).To(BeEquivalentTo(3 * proto.MaxPiece))
		r.Expect(r.running.Load()).To(BeZero())
		found := r.resolve(head.ID)
		r.Expect(found.State).To(Equal(proto.StateFinished))
		r.Expect(found.Answer).To(BeNil())
	})
}
