package front

import (
	"errors"
	"io"
	"net/http"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/route/call"
)

const (
	// maxHeldBytes limits what is held of a response that waits for its turn; the last frame may exceed it.
	maxHeldBytes = 64 << 10
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

// hold reads the first piece of a response and, while earlier responses of its connection are awaited, what follows. A response that is
// held whole can't break off any more. A failure that shows before the header takes no other response of the connection with it.
func hold(response *call.Response, turn <-chan struct{}) *heldBody {
	held := &heldBody{}
	held.data, held.err = response.Next()
	if held.err != nil || held.isWhole(response) || !isPending(turn) {
		return held
	}
	held.data = append([]byte(nil), held.data...)
	for held.err == nil && len(held.data) <= maxHeldBytes {
		held.begin(response)
		select {
		case next := <-held.read:
			held.add(next)
		case <-turn:
			held.awaitBriefly()
			return held
		}
	}
	return held
}

// begin starts to read the next piece.
func (h *heldBody) begin(response *call.Response) {
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

// turnOf returns the channel that is closed when the earlier responses of the connection have been written; nil if there can't be any.
func turnOf(w http.ResponseWriter) <-chan struct{} {
	if pipelined, ok := w.(interface{ Turn() <-chan struct{} }); ok {
		return pipelined.Turn()
	}
	return nil
}

func isPending(turn <-chan struct{}) bool {
	if turn == nil {
		return false
	}
	select {
	case <-turn:
		return false
	default:
		return true
	}
}
