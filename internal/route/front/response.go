package front

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/route/call"
)

// writeResponse forwards a server's response to the caller.
func (f *Front) writeResponse(w http.ResponseWriter, r *http.Request, response *call.Response) {
	// Wait for the first part of the body before sending the header, so that an early failure can still be reported
	// as an error response.
	held := hold(response, w)
	if held.failed() {
		f.truncated.Add(1)
		f.writeError(w, held.err)
		return
	}
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
	if response.ContentLength >= 0 && r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	w.WriteHeader(response.Status)
	f.copyBody(w, response, held)
	for name, values := range response.Trailer {
		header[http.TrailerPrefix+name] = values
	}
}

// copyBody forwards the body part by part and flushes each, unless the first part is the whole body. A truncated response
// aborts the caller's connection, because a regular end of the body would make it look complete.
func (f *Front) copyBody(w http.ResponseWriter, response *call.Response, held *heldBody) {
	control := http.NewResponseController(w)
	complete := held.isWhole(response)
	for piece, err := held.data, held.err; ; piece, err = held.next(response) {
		if len(piece) > 0 {
			if _, writeErr := w.Write(piece); writeErr != nil {
				panic(http.ErrAbortHandler) // the caller has disconnected
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			f.truncated.Add(1)
			panic(http.ErrAbortHandler)
		}
		if !complete {
			_ = control.Flush()
		}
	}
}

// problemBody returns the body of an error response, in the format of application/problem+json.
func problemBody(failure *code.Error) []byte {
	body, err := json.Marshal(map[string]any{
		"type":    "about:blank",
		"title":   failure.Code.String(),
		"status":  failure.HTTPStatus(),
		"detail":  failure.Detail,
		"code":    int(failure.Code),
		"outcome": failure.Outcome.String(),
	})
	if err != nil {
		return nil
	}
	return body
}

// meanRetryAfter is about the time in which a server's load changes. Retry-After is randomized around it, so that callers do
// not retry all at once.
const meanRetryAfter = 120 * time.Millisecond

func retryAfter() time.Duration {
	return meanRetryAfter/2 + rand.N(meanRetryAfter)
}

// writeError sends an error response.
func (f *Front) writeError(w http.ResponseWriter, err error) {
	f.failures.Add(1)
	failure := code.Of(err)
	body := problemBody(failure)
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(headerCode, strconv.Itoa(int(failure.Code)))
	header.Set(headerOutcome, failure.Outcome.String())
	switch failure.HTTPStatus() {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		wait := failure.RetryAfter
		if wait <= 0 {
			wait = retryAfter()
		}
		header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	case http.StatusUnauthorized:
		header.Set("WWW-Authenticate", f.Dialect.KeyScheme)
	}
	w.WriteHeader(failure.HTTPStatus())
	_, _ = w.Write(body) // fails only if the caller has disconnected
}
