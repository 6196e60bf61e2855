package call

import (
	"sync/atomic"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// rest is the part of a request body that is sent after the ack, perhaps still after the response.
type rest struct {
	ended   chan struct{} // closed when sendBody has ended; nil unless it was started
	sent    atomic.Bool   // to the end
	reading atomic.Bool   // sendBody waits for the caller, or has just been told that the stream has ended
	lost    bool          // Recv has failed; used only by the goroutine that receives
}

func (a *attempt) startBody() {
	a.sendingBody.Store(true)
	a.rest.ended = make(chan struct{})
	go a.sendBody()
}

// readBody reads a part of the body, unless the stream has ended. It sets reading before it looks at the stream, while awaitRest looks at
// the stream first. Hence one of them sees that the other waits in vain.
func (a *attempt) readBody(offset int64, piece []byte) (int, error) {
	a.rest.reading.Store(true)
	defer a.rest.reading.Store(false)
	if err := a.stream.Context().Err(); err != nil {
		return 0, err
	}
	return a.r.body.read(a.bodyGeneration, offset, piece)
}

// closeBeforeRest closes an attempt whose response is complete before its body has been sent; end must follow. It reports false when the
// body has been sent, or when the response was resolved because the stream has failed: admission holds it only for a whole body.
func (a *attempt) closeBeforeRest() bool {
	if a.rest.ended == nil || a.rest.lost {
		return false
	}
	if a.rest.sent.Load() {
		<-a.rest.ended // otherwise the attempt would seem to send its body
		return false
	}
	return a.close()
}

// awaitRest waits until sendBody has ended, or can no longer reach the server, and reports whether it has sent the body to its end.
func (a *attempt) awaitRest() bool {
	select {
	case <-a.rest.ended:
	case <-a.stream.Context().Done():
		if !a.rest.reading.Load() {
			<-a.rest.ended // the last piece may have ended the stream
		}
	}
	return a.rest.sent.Load()
}

// AwaitBody waits until the request body has been sent to its end. It is called after Next has returned io.EOF: the server may read on
// after its response. An error means that the server gets only a part of the body, which breaks off there.
func (x *Response) AwaitBody() error {
	if !x.late {
		return nil
	}
	if !x.a.awaitRest() {
		failure := code.Unknownf(code.Cancelled, "the request body broke off after the response")
		x.a.logFailure(failure)
		return failure
	}
	x.storeForClaim()
	return nil
}

// SendsBody reports whether AwaitBody has to wait.
func (x *Response) SendsBody() bool {
	return x.late
}
