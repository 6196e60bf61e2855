package server

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
)

// healthStep is a health poll among the request ids of a repeatedRefusal.
const healthStep = "poll"

// repeatedRefusal is a server that refuses the first request and sends the refusal again before it answers the last one.
type repeatedRefusal struct {
	dialect hdrs.Dialect
	refusal string
	steps   []string // ids of the requests, in this order
	interim string   // sent before the copy
	dials   int      // expected connections
}

func (s repeatedRefusal) play(t *testing.T) {
	g := NewWithT(t)
	dials, step := 0, 0
	c := rawClient(&dials, func(r *http.Request) string {
		step++
		answer := reply(r.Header.Get("X-Id"), "right")
		if r.Header.Get("X-Id") == "" {
			answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright"
		}
		switch {
		case step == 1:
			return s.refusal
		case step == len(s.steps) && dials == 1:
			return s.interim + s.refusal + answer
		}
		return answer
	})
	defer c.Close()
	c.Dialect, c.MaxConns = s.dialect, 1
	c.once.Do(c.setUp)
	_, _ = s.send(t, c, s.steps[0])
	for i, id := range s.steps[1:] {
		body, failed := s.send(t, c, id)
		g.Expect([]any{body, failed}).To(Equal([]any{"right", (*code.Error)(nil)}))
		g.Expect(step).To(Equal(i+2), "each request reaches the server once")
	}
	g.Expect(dials).To(Equal(s.dials))
}

func (s repeatedRefusal) send(t *testing.T, c *Client, id string) (string, *code.Error) {
	if id == healthStep {
		result := c.poll(t.Context(), "/up")
		synctest.Wait()
		return result.Body, nil
	}
	r := request(t, http.MethodPost, "/run", "body")
	if id != "" {
		r.Header.Set("X-Id", id)
	}
	body, failed := do(c, &Attempt{Request: r, ID: id, ShedsBeforeRun: s.dialect.RequestID == ""})
	synctest.Wait()
	return body, failed
}

// Guards against taking a second copy of an earlier refusal for the response to a request that the server runs.
func TestCopyOfARefusalRefusesNoOtherRequest(t *testing.T) {
	const (
		full      = "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		other     = "HTTP/1.1 421 Misdirected\r\nX-Id: 1\r\nX-Identity: i-2\r\nContent-Length: 0\r\n\r\n"
		withoutID = "HTTP/1.1 400 Bad\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		shed      = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
	)
	ids, none := testDialect, hdrs.Default()
	for name, s := range map[string]repeatedRefusal{
		"another request":             {ids, full, []string{"1", "2"}, "", 1},
		"the request again":           {ids, full, []string{"1", "1"}, "", 2},
		"again after an interim one":  {ids, full, []string{"1", "1"}, "HTTP/1.1 102 Processing\r\n\r\n", 2},
		"again, others between":       {ids, full, []string{"1", "2", healthStep, "3", "1"}, "", 2},
		"again at another server":     {ids, other, []string{"1", "1"}, "", 2},
		"a health poll":               {ids, full, []string{"1", healthStep}, "", 1},
		"a health poll, no id":        {ids, withoutID, []string{"", healthStep}, "", 2},
		"no id, then an id":           {ids, withoutID, []string{"", "1"}, "", 1},
		"no id twice":                 {ids, withoutID, []string{"", ""}, "", 2},
		"refused poll, then no id":    {ids, withoutID, []string{healthStep, ""}, "", 2},
		"dialect without ids":         {none, shed, []string{"", ""}, "", 2},
		"dialect without ids, a poll": {none, shed, []string{healthStep, ""}, "", 2},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, s.play) })
	}
}

// Guards against memory that grows with the refusals on a connection.
func TestRefusalsOfAConnectionAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dials := 0
		c := rawClient(&dials, func(r *http.Request) string {
			return fmt.Sprintf("HTTP/1.1 503 Busy\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
		})
		defer c.Close()
		for i := range 3 * maxRefusals {
			_, failed := send(t, c, fmt.Sprint(i))
			g.Expect(failed.Outcome).To(Equal(code.NotRun))
		}
		g.Expect(dials).To(Equal(3))
	})
}

// Guards against a new connection after each 503 of a service that nobody takes for a refusal.
func TestConnectionIsKeptAfterOtherFailures(t *testing.T) {
	for header, sheds := range map[string]bool{"": false, codeHeader + ": 8\r\n": true} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			dials := 0
			c := rawClient(&dials, func(*http.Request) string {
				return "HTTP/1.1 503 Busy\r\n" + header + "Content-Length: 2\r\n\r\nno"
			})
			defer c.Close()
			c.Dialect = hdrs.Default()
			for range 3 {
				g.Expect(do(c, &Attempt{Request: request(t, http.MethodPost, "/run", ""), ShedsBeforeRun: sheds})).To(Equal("no"))
				synctest.Wait()
			}
			g.Expect(dials).To(Equal(1))
		})
	}
}
