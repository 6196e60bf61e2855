package front

import (
	"net/http"

	"marigoldwinch.example/marigoldwinch/internal/route/call"
)

// finisher is a response writer that can complete its response before the handler returns, as that of http1 does.
type finisher interface {
	FinishResponse() error
}

// awaitBody completes the response of a server that may read on, and waits until it has the rest of the body. If that breaks off behind a
// response of success, the caller's connection is aborted, since a caller that could send all of it would take the upload for stored.
func (f *Front) awaitBody(w http.ResponseWriter, response *call.Response) {
	if !response.SendsBody() {
		return
	}
	if early, ok := w.(finisher); ok {
		_ = early.FinishResponse() // the body fails as well when the caller has disconnected
	}
	if response.AwaitBody() != nil && response.Status < http.StatusBadRequest {
		panic(http.ErrAbortHandler)
	}
}
