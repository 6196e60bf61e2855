package http1

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// closingHandler answers with the path of the request. See testdata/closing for the paths.
func closingHandler(server func() *Server) http.HandlerFunc {
	nextRuns := make(chan struct{}, maxPipelined)
	return func(w http.ResponseWriter, q *http.Request) {
		giveUp := func() { _ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) }
		switch q.URL.Path {
		case "/give-up":
			_, _ = io.Copy(io.Discard, q.Body)
			<-nextRuns
			giveUp()
		case "/give-up-at-once":
			giveUp()
		case "/stop":
			time.Sleep(30 * time.Millisecond) // the bytes behind the request arrive meanwhile
			server().DisableKeepAlives()
		case "/next":
			nextRuns <- struct{}{}
		}
		_, _ = io.WriteString(w, q.URL.Path)
	}
}

// Guards against a response behind one that has closed the connection: its request counts as not read, and its caller sends it again.
func TestNothingFollowsAResponseThatCloses(t *testing.T) {
	datadriven.RunTest(t, "testdata/closing", func(t *testing.T, d *datadriven.TestData) string {
		var r *harness
		r = start(t, closingHandler(func() *Server { return r.server }))
		_, reader := r.connect(t, strings.ReplaceAll(d.Input, "\n", "\r\n")+"\r\n\r\n")
		var responses strings.Builder
		for {
			response := r.readResponse(reader)
			responses.WriteString(response + "\n")
			if response == "no response" {
				return responses.String()
			}
		}
	})
}
