package http1

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a request that runs and gets no response because the one ahead of it, which has begun, breaks off: it waits, and runs when
// that one has ended well.
func TestRequestBehindAResponseThatCanBreakOff(t *testing.T) {
	for path, want := range map[string]struct {
		first, second string
		runs          int32
	}{
		"/breaks-off": {"200 part broken", "no response", 0},
		"/ends":       {"200 part", "200 next", 1},
	} {
		t.Run(path, func(t *testing.T) {
			var runs atomic.Int32
			behind := make(chan struct{})
			r := start(t, func(w http.ResponseWriter, q *http.Request) {
				if q.URL.Path == "/next" {
					runs.Add(1)
					_, _ = io.WriteString(w, "next")
					return
				}
				if !w.(*exchange).Expose() {
					t.Error("no request is behind")
				}
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				<-behind
				time.Sleep(maxExposedWait / 2)
				if path == "/breaks-off" {
					panic(http.ErrAbortHandler)
				}
			})
			conn, reader := r.connect(t, get(path))
			_, err := reader.Peek(1) // the response has begun
			r.Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(conn, get("/next"))
			r.Expect(err).NotTo(HaveOccurred())
			close(behind)
			r.Expect(r.readResponse(reader)).To(Equal(want.first))
			r.Expect(r.readResponse(reader)).To(Equal(want.second))
			r.Expect(runs.Load()).To(Equal(want.runs))
		})
	}
}
