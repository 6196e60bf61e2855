package front

import (
	"errors"
	"io"
	"net/http"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/route/call"
)

const (
	// maxHeldBytes limits what is held of a response; the last frame may exceed it.
	maxHeldBytes = 64 << 10
	// maxHeldTime is how long a response whose turn has come is held for the requests behind it. One that takes longer is a stream, whose
	// caller waits for its parts.
	maxHeldTime = time.Second
	// brokenWait is how long a response whose turn has come waits for the frame that it expects: one that has broken off shows it at once.
	brokenWait = 5 * time.Millisecond
)

// heldBody is the part of a response body that was read before the header is written.
type heldBody struct {
	data []byte
	err  error     // of the read that followed data; io.EOF at the end of the body
	read chan part // receives the result of a read in progress; nil if there is none
}

type part struct {
	piece []byte
	err   error
}

// hold reads the first piece of a response, and what follows while the response must not begin yet: earlier responses of its connection are
// awaited, or requests behind it are in service, which its end in the middle would take with it. A response that is held whole can't break
// off any more. A failure that shows before the header takes no other response of the connection with it.
func hold(response *call.Response, w http.ResponseWriter) *heldBody {
	held := &heldBody{}
	held.data, held.err = response.Next()
	order, ordered := w.(pipelined)
	if !ordered || held.ended(response) {
		return held
	}
	turn := order.Turn()
	if !isPending(turn) && order.Expose() {
		return held
	}
	held.data = append([]byte(nil), held.data...)
	var limit <-chan time.Time // of the time after the turn has come
	for !held.ended(response) && len(held.data) <= maxHeldBytes {
		held.begin(response)
		select {
		case next := <-held.read:
			held.add(next)
		case <-turn:
			turn, limit = nil, time.After(maxHeldTime)
			held.awaitBriefly()
			if held.ended(response) || order.Expose() {
				return held
			}
		case <-limit:
			return held
		}
	}
	return held
}

// ended reports whether nothing follows what is held.
func (h *heldBody) ended(response *call.Response) bool {
	return h.err != nil || h.isWhole(response)
}

// begin starts to read the next piece, unless a read is in progress.
func (h *heldBody) begin(response *call.Response) {
	if h.read != nil {
		return
	}
	read := make(chan part, 1)
	h.read = read
	go func() {
		piece, err := response.Next()
		read <- part{piece, err}
	}()
}

func (h *heldBody) add(next part) {
	h.data, h.err, h.read = append(h.data, next.piece...), next.err, nil
}

func (h *heldBody) awaitBriefly() {
	timer := time.NewTimer(brokenWait)
	defer timer.Stop()
	select {
	case next := <-h.read:
		h.add(next)
	case <-timer.C:
	}
}

// next returns the piece that follows what is held, and then those of the response.
func (h *heldBody) next(response *call.Response) ([]byte, error) {
	if h.read == nil {
		return response.Next()
	}
	next := <-h.read
	h.read = nil
	return next.piece, next.err
}

// failed reports whether the response has broken off.
func (h *heldBody) failed() bool {
	return h.err != nil && !errors.Is(h.err, io.EOF)
}

// isWhole reports whether the whole body is held.
func (h *heldBody) isWhole(response *call.Response) bool {
	return response.ContentLength >= 0 && int64(len(h.data)) == response.ContentLength
}

// pipelined is a writer of responses on a connection that may carry several requests at once.
type pipelined interface {
	// Turn returns a channel that is closed when the earlier responses of the connection have been written.
	Turn() <-chan struct{}
	// Expose reports whether the response may begin though it can still break off, since no request behind it is in service. From then on
	// such requests wait for its end.
	Expose() bool
}

func isPending(turn <-chan struct{}) bool {
	select {
	case <-turn:
		return false
	default:
		return true
	}
}
