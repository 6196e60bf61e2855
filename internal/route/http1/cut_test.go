package http1

import (
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against the response to a later request that follows a response that broke off: its bytes would pass for the rest of that one.
func TestNothingFollowsABrokenResponse(t *testing.T) {
	r := start(t, func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/later" {
			_, _ = io.WriteString(w, "later")
			return
		}
		if q.URL.Path == "/length" {
			w.Header().Set("Content-Length", "10")
		}
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	for _, path := range []string{"/length", "/chunks"} {
		_, reader := r.connect(t, get(path)+get("/later")+get("/later"))
		r.Expect(r.readResponse(reader)).To(Equal("200 part broken"), path)
		r.Expect(r.readResponse(reader)).To(Equal("no response"), path)
	}
}
