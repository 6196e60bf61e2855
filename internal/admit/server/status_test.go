package server

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// Guards against a response whose status is no status of a response and that is passed on, passed over until another response or the
// deadline, or taken for a proof that the request was not run.
func TestInvalidStatusEndsTheAttempt(t *testing.T) {
	statuses := []string{"000", "001", "099", "600", "700", "999", "+20", "+99", "-99", "20", "2", "2000", "0200", "2x0", "0x9", ""}
	for _, status := range statuses {
		for _, rest := range []string{
			"Content-Length: 2\r\n\r\nok",
			"\r\nok",
			"X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
			"Content-Length: 0\r\n\r\n" + reply("1", "ok"),
			"Content-Length: 2\r\n\r\nok" + reply("1", "ok"),
		} {
			for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					began := time.Now()
					raw := interim + strings.Replace(headStart, "200", status, 1) + rest
					body, failed := exchangeCut(t, http.MethodPost, raw, "silence")
					g.Expect(failed).NotTo(BeNil(), "%q passed with %q", raw, body)
					g.Expect([]any{failed.Code, failed.Outcome}).To(Equal([]any{code.ServerUnreachable, code.Unknown}), raw)
					g.Expect(time.Since(began)).To(BeNumerically("<", time.Second), raw)
				})
			}
		}
	}
}

// Guards against an interim response whose body, which it must not have, is passed on or taken for the response, and against valid
// statuses at the ends of the range that are refused.
func TestInterimResponseBesideABody(t *testing.T) {
	for raw, want := range map[string]string{
		"HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\nok" + reply("1", "right"):                                 "",
		"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" + reply("1", "right"):         "",
		"HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\n" + reply("1", "right"):                                      "right",
		"HTTP/1.1 199 Other\r\n\r\n" + reply("1", "right"):                                                              "right",
		strings.Replace(reply("1", "right"), "200", "599", 1):                                                           "right",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + reply("1", "right"):                                  "",
		"HTTP/1.1 103 Early Hints\r\n\r\n" + strings.Replace(headStart, "200", "099", 1) + "\r\n" + reply("1", "right"): "",
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			body, failed := exchangeCut(t, http.MethodPost, raw, "silence")
			if want != "" {
				g.Expect(failed).To(BeNil(), raw)
				g.Expect(body).To(Equal(want))
				return
			}
			g.Expect(failed).NotTo(BeNil(), "%q passed with %q", raw, body)
			g.Expect([]any{failed.Code, failed.Outcome}).To(Equal([]any{code.ServerUnreachable, code.Unknown}), raw)
		})
	}
}
