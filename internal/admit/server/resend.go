package server

import (
	"io"
	"net/http"
)

// replayHeaders make net/http resend a request whatever its method is.
var replayHeaders = []struct{ canonical, wire string }{
	{"Idempotency-Key", "idempotency-key"},
	{"X-Idempotency-Key", "x-idempotency-key"},
}

// forbidResend makes the transport take the request to be not replayable. It resends a request without a body on a
// reused connection when the method is GET, HEAD, OPTIONS or TRACE or when one of replayHeaders is present.
func forbidResend(req *http.Request) {
	req.GetBody = nil
	if req.Body != nil && req.Body != http.NoBody {
		return
	}
	// The transport looks the names up in canonical form only; on the wire the case has no meaning.
	for _, name := range replayHeaders {
		if values, present := req.Header[name.canonical]; present {
			delete(req.Header, name.canonical)
			req.Header[name.wire] = values
		}
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		// The transport reads such a body ahead and sends none, but does not rewind it.
		req.Body = io.NopCloser(emptyBody{})
	default:
		req.Body = nil // any other body of unknown length would be sent chunked
	}
}

// emptyBody differs from http.NoBody, which counts as replayable.
type emptyBody struct{}

// Read returns io.EOF.
func (emptyBody) Read([]byte) (int, error) {
	return 0, io.EOF
}
