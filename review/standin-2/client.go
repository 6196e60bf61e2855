package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one request of a client with its answer.
type sent struct {
	id, path string
	via      string // name of the machine
	at       time.Time
	status   int // 0 without an answer
	stamp    string
	err      error
}

var lastID atomic.Uint64

func newID() string {
	return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastID.Add(1))
}

// client sends requests to one machine over kept connections.
type client struct {
	machine *machine
	http    *http.Client
}

func newClient(m *machine) *client {
	dialer := net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, IdleConnTimeout: 10 * time.Second}
	return &client{machine: m, http: &http.Client{Transport: transport}}
}

// send sends one request and waits for its answer.
func (c *client) send(method, path, body string, timeout time.Duration) sent {
	s := sent{id: newID(), path: path, via: c.machine.name, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+500*time.Millisecond)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.machine.outbound+path, reader)
	if err != nil {
		s.err = err
		return s
	}
	request.Host = callersHost
	request.Header.Set(headerID, s.id)
	request.Header.Set(headerTimeout, fmt.Sprint(timeout.Milliseconds()))
	response, err := c.http.Do(request)
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	if err != nil {
		s.err = err
	} else {
		s.status, s.stamp = response.StatusCode, response.Header.Get(headerStamp)
	}
	c.machine.run.rec.line("client: %s %s %s sent to %s at %.3f: status %d, stamp %q, error %v",
		s.id, method, path, s.via, s.at.Sub(c.machine.run.rec.start).Seconds(), s.status, s.stamp, s.err)
	return s
}

// traffic sends requests of one kind to a machine at a steady pace until it is stopped.
type traffic struct {
	mu    sync.Mutex
	sent  []sent
	stop  chan struct{}
	ended sync.WaitGroup
}

func newTraffic() *traffic {
	return &traffic{stop: make(chan struct{})}
}

func (t *traffic) add(c *client, method, path, body string, every, timeout time.Duration) {
	t.ended.Add(1)
	go func() {
		defer t.ended.Done()
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			select {
			case <-t.stop:
				return
			case <-ticker.C:
			}
			s := c.send(method, path, body, timeout)
			t.mu.Lock()
			t.sent = append(t.sent, s)
			t.mu.Unlock()
		}
	}()
}

// end stops the traffic and returns all that was sent.
func (t *traffic) end() []sent {
	close(t.stop)
	t.ended.Wait()
	return t.sent
}
