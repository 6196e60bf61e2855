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

// writeResponse passes a server's response on.
func (f *Front) writeResponse(w http.ResponseWriter, r *http.Request, response *call.Response) {
	// The first part comes before the header is sent, so that an early failure can still be reported as one.
	piece, err := response.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		f.truncated.Add(1)
		f.writeError(w, err)
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
	f.copyBody(w, response, piece, err)
	for name, values := range response.Trailer {
		header[http.TrailerPrefix+name] = values
	}
}

// copyBody passes the body on part by part, each flushed unless it is the last. A truncated response aborts the caller's
// connection, since ending it in order would present it as complete.
func (f *Front) copyBody(w http.ResponseWriter, response *call.Response, piece []byte, err error) {
	control := http.NewResponseController(w)
	complete := response.ContentLength >= 0 && int64(len(piece)) == response.ContentLength
	for err == nil {
		if _, writeErr := w.Write(piece); writeErr != nil {
			panic(http.ErrAbortHandler) // the caller has gone
		}
		if !complete {
			_ = control.Flush()
		}
		piece, err = response.Next()
	}
	if !errors.Is(err, io.EOF) {
		f.truncated.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// problemBody is the body of an own response.
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

// meanRetryAfter is about the time in which a server's load changes; callers come back spread around it.
const meanRetryAfter = 120 * time.Millisecond

func retryAfter() time.Duration {
	return meanRetryAfter/2 + rand.N(meanRetryAfter)
}

// writeError sends an own response.
func (f *Front) writeError(w http.ResponseWriter, err error) {
	f.failures.Add(1)
	failure := code.Of(err)
	body := problemBody(failure)
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(headerCode, strconv.Itoa(int(failure.Code)))
	header.Set(headerOutcome, failure.Outcome.String())
	if status := failure.HTTPStatus(); status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter().Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(failure.HTTPStatus())
	_, _ = w.Write(body) // a caller that has gone needs no answer
}

// serveDaemons answers with the daemons that may be used now.
func (f *Front) serveDaemons(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		f.writeError(w, code.NotRunf(code.BadRequest, "%s accepts GET only", DaemonsPath))
		return
	}
	daemons := []map[string]string{}
	for _, record := range f.usableDaemons() {
		daemons = append(daemons, map[string]string{
			"address": record.Front.String(), "service": record.Service, "zone": record.Zone,
		})
	}
	body, err := json.Marshal(map[string]any{"daemons": daemons})
	if err != nil {
		f.writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(body)
}
