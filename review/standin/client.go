package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a requester has seen of one request.
type answer struct {
	id      string
	sent    time.Time
	ended   time.Time
	status  int // 0: the connection ended or the time passed without a complete answer
	stamped bool
	cause   string
}

var lastID atomic.Uint64

// send sends one request on a new connection and waits for its answer until its time budget has passed.
func send(rec *recorder, to, method, target, host, body string, budget time.Duration) answer {
	a := answer{id: fmt.Sprintf("%016x", 0x9c41d07b00000000+lastID.Add(1)), sent: time.Now()}
	rec.add("request %s sent to %s: %s %s%s", a.id, to, method, host, target)
	a.status, a.stamped, a.cause = exchange(a.id, to, method, target, host, body, budget)
	a.ended = time.Now()
	rec.add("request %s: status %d, stamp %v, after %d ms %s", a.id, a.status, a.stamped, a.ended.Sub(a.sent).Milliseconds(), a.cause)
	return a
}

func exchange(id, to, method, target, host, body string, budget time.Duration) (int, bool, string) {
	conn, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return 0, false, "not connected"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(budget))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, target, host, headerID, id, headerDeadline, budget.Milliseconds())
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(conn, text+"\r\n"+body); err != nil {
		return 0, false, "not sent"
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false, "no answer: " + strings.ReplaceAll(err.Error(), "\n", " ")
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0, false, "broken answer"
	}
	return response.StatusCode, response.Header.Get(headerStamp) != "", ""
}
