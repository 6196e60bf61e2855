package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var ids atomic.Uint64
var idSalt = rand.Uint64()

// Request is a request of a stand-in client.
type Request struct {
	Method, Path, Kind string
	Body               []byte
	Chunked            bool
	DeadlineMs         int
	Keep               bool
	SlowBody           bool
	Header             string // further lines
	id                 string
}

// Conn is a client's connection to the daemon of its machine.
type Conn struct {
	net    net.Conn
	reader *bufio.Reader
	rec    *Recorder
	m      *Machine
	used   int
}

// Dial opens a connection to the daemon of the machine.
func Dial(m *Machine, rec *Recorder) (*Conn, error) {
	c, err := net.DialTimeout("tcp", m.Out, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{net: c, reader: bufio.NewReader(c), rec: rec, m: m}, nil
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.net.Close() }

// Send sends a request and notes it.
func (c *Conn) Send(q *Request) error {
	q.id = fmt.Sprintf("%016x", idSalt+ids.Add(1))
	sent := &Sent{ID: q.id, Method: q.Method, Path: q.Path, Kind: q.Kind, Caller: c.m.Service, Body: hash(q.Body), At: c.rec.Now()}
	c.rec.mu.Lock()
	c.rec.Sent[q.id] = sent
	c.rec.mu.Unlock()
	c.rec.Note("client sends %s %s %s to %s", q.id, q.Method, q.Path, c.m.Name)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: test.example\r\nX-Marigoldwinch-Request-Id: %s\r\n", q.Method, q.Path, q.id)
	head += q.Header
	if q.DeadlineMs > 0 {
		head += fmt.Sprintf("X-Marigoldwinch-Deadline-Ms: %d\r\n", q.DeadlineMs)
	}
	if !q.Keep {
		head += "Connection: close\r\n"
	}
	if q.Chunked {
		head += "Transfer-Encoding: chunked\r\n"
	} else if q.Body != nil {
		head += "Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n"
	}
	if _, err := c.net.Write([]byte(head + "\r\n")); err != nil {
		return err
	}
	rest := q.Body
	for len(rest) > 0 {
		n := min(len(rest), 1+rand.IntN(40000))
		var err error
		if q.Chunked {
			_, err = fmt.Fprintf(c.net, "%x\r\n%s\r\n", n, rest[:n])
		} else {
			_, err = c.net.Write(rest[:n])
		}
		if err != nil {
			return err
		}
		rest = rest[n:]
		if q.SlowBody {
			time.Sleep(time.Duration(rand.IntN(15)) * time.Millisecond)
		}
	}
	if q.Chunked {
		_, err := c.net.Write([]byte("0\r\n\r\n"))
		return err
	}
	return nil
}

// Receive reads the answer to a request and notes it. It reports whether the connection can carry another one.
func (c *Conn) Receive(q *Request, wait time.Duration) (*End, bool) {
	end := &End{}
	_ = c.net.SetReadDeadline(time.Now().Add(wait))
	keep := false
	method := q.Method
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	switch {
	case err != nil:
		end.Note = "no answer: " + err.Error()
	default:
		body, err := io.ReadAll(response.Body)
		end.Status, end.Stamp, end.Body = response.StatusCode, response.Header.Get("X-Marigoldwinch-Response-Stamp"), hash(body)
		end.Len, end.Text = len(body), string(body)
		keep = err == nil && !response.Close
		if err != nil {
			end.Note = fmt.Sprintf("answer %d broke off: %v", end.Status, err)
			end.Status = 0
		} else if end.Stamp == "" {
			end.Note = string(body)
		}
		if id := response.Header.Get("X-Marigoldwinch-Request-Id"); id != "" && id != q.id {
			end.Note += " FOREIGN ID " + id
		}
	}
	end.At = c.rec.Now()
	c.rec.mu.Lock()
	c.rec.Ends[q.id] = end
	c.rec.mu.Unlock()
	c.rec.Note("client gets for %s: %d stamp %q %s", q.id, end.Status, end.Stamp, end.Note)
	c.used++
	return end, keep
}
